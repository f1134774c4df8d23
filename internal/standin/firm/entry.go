package firm

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/process"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Entry is a running entry VM.
type Entry struct {
	Settings settings.Settings
	// Stop begins a planned stop; Ended closes when the process has ended.
	Stop  context.CancelFunc
	Ended chan struct{}
	// Gone says that the VM was ended on purpose.
	Gone bool
}

// StartEntry runs an entry VM's process and lists it.
func (f *Firm) StartEntry(ctx context.Context, read settings.Settings) *Entry {
	ctx, stop := context.WithCancel(ctx)
	started := &Entry{Settings: read, Stop: stop, Ended: make(chan struct{})}
	place := Place(read)
	for _, address := range []string{read.CallerAddress, read.PeerAddress, read.OperatorAddress} {
		f.Network.Locate(address, place)
	}
	f.Store.ListVM(listed(read))
	f.start(read.Name, func() error {
		defer close(started.Ended)
		if f.Serve != nil {
			return f.Serve(ctx, f, read)
		}
		run := &process.Process{Settings: read, Log: f.Log.WithField("vm", read.Name), Dial: f.Network.Dialer(place)}
		return run.Run(ctx)
	})
	return started
}

// Place returns where an entry VM runs.
func Place(read settings.Settings) link.Place {
	return link.Place{VM: read.Name, Region: read.Region, DataCentre: read.DataCentre}
}

// listed returns what the platform's list says of an entry VM.
func listed(read settings.Settings) vm.VM {
	return vm.VM{
		Name: read.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: read.Region, DataCentre: read.DataCentre,
		CallerAddress: read.CallerAddress, PeerAddress: read.PeerAddress,
	}
}
