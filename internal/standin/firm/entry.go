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
	// Stop begins a planned stop; Ended closes when the process has ended.
	Stop  context.CancelFunc
	Ended chan struct{}
	// Gone says that the VM was ended on purpose.
	TakenDown bool
}

// StartEntryVM runs an entry VM's process and lists it.
func (f *Firm) StartEntryVM(ctx context.Context, read settings.Settings) *EntryVM {
	ctx, stop := context.WithCancel(ctx)
	started := &EntryVM{Settings: read, Stop: stop, Ended: make(chan struct{})}
	place := EntryVMLocation(read)
	for _, address := range []string{read.CallerAddress, read.PeerAddress, read.OperatorAddress} {
		f.Network.SetLocation(address, place)
	}
	f.Store.PutVM(listed(read))
	f.start(read.Name, func() error {
		defer close(started.Ended)
		if f.ServeEntryVM != nil {
			return f.ServeEntryVM(ctx, f, read)
		}
		run := &process.Process{Settings: read, Log: f.Log.WithField("vm", read.Name), Dial: f.Network.Dialer(place)}
		return run.Run(ctx)
	})
	return started
}

// EntryVMLocation returns where an entry VM runs.
func EntryVMLocation(read settings.Settings) link.Location {
	return link.Location{VM: read.Name, Region: read.Region, DataCentre: read.DataCentre}
}

// listed returns what the platform's list says of an entry VM.
func listed(read settings.Settings) vm.VM {
	return vm.VM{
		Name: read.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: read.Region, DataCentre: read.DataCentre,
		CallerAddress: read.CallerAddress, PeerAddress: read.PeerAddress,
	}
}
