package firm

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/process"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// EntryVM is a running entry VM.
type EntryVM struct {
	Settings settings.Settings
	// Stop starts a graceful shutdown: the process exits after the requests in flight.
	// Exited is closed when it has exited.
	Stop   context.CancelFunc
	Exited chan struct{}
	// TakenDown is true if the VM was stopped or killed on purpose.
	TakenDown bool
}

// StartEntryVM starts an entry VM's process and adds the VM to the platform's list. The
// process stops when ctx ends or Stop is called.
func (f *Firm) StartEntryVM(ctx context.Context, vmSettings settings.Settings) *EntryVM {
	ctx, stop := context.WithCancel(ctx)
	entryVM := &EntryVM{Settings: vmSettings, Stop: stop, Exited: make(chan struct{})}
	location := EntryVMLocation(vmSettings)
	for _, address := range []string{vmSettings.CallerAddress, vmSettings.PeerAddress, vmSettings.OperatorAddress} {
		f.Network.SetLocation(address, location)
	}
	f.Store.PutVM(registeredVM(vmSettings))
	f.startComponent(vmSettings.Name, func() error {
		defer close(entryVM.Exited)
		if f.ServeEntryVM != nil {
			return f.ServeEntryVM(ctx, f, vmSettings)
		}
		entryProcess := &process.Process{Settings: vmSettings, Log: f.Log.WithField("vm", vmSettings.Name), Dial: f.Network.Dialer(location)}
		return entryProcess.Run(ctx)
	})
	return entryVM
}

// EntryVMLocation returns the location of an entry VM in the simulated network.
func EntryVMLocation(vmSettings settings.Settings) link.Location {
	return link.Location{VM: vmSettings.Name, Region: vmSettings.Region, DataCentre: vmSettings.DataCentre}
}

// registeredVM returns an entry VM's entry in the platform's list.
func registeredVM(vmSettings settings.Settings) vm.VM {
	return vm.VM{
		Name: vmSettings.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: vmSettings.Region, DataCentre: vmSettings.DataCentre,
		CallerAddress: vmSettings.CallerAddress, PeerAddress: vmSettings.PeerAddress,
	}
}
