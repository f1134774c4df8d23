package demo

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/process"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// entry is a running entry VM.
type entry struct {
	settings settings.Settings
	// stop begins a planned stop; ended closes when the process has ended.
	stop  context.CancelFunc
	ended chan struct{}
	// gone says that a step has ended the VM; later steps leave it alone.
	gone bool
}

// startEntry runs an entry VM's process and lists it.
func (f *firm) startEntry(ctx context.Context, read settings.Settings) *entry {
	ctx, stop := context.WithCancel(ctx)
	started := &entry{settings: read, stop: stop, ended: make(chan struct{})}
	place := link.Place{VM: read.Name, Region: read.Region, DataCentre: read.DataCentre}
	for _, address := range []string{read.CallerAddress, read.PeerAddress, read.OperatorAddress} {
		f.network.Locate(address, place)
	}
	f.store.ListVM(listed(read))
	run := &process.Process{Settings: read, Log: f.log.WithField("vm", read.Name), Dial: f.network.Dialer(place)}
	f.start(read.Name, func() error {
		defer close(started.ended)
		return run.Run(ctx)
	})
	return started
}

// listed returns what the platform's list says of an entry VM.
func listed(read settings.Settings) vm.VM {
	return vm.VM{
		Name: read.Name, Role: vm.Entry, State: vm.Live, Region: read.Region, DataCentre: read.DataCentre,
		CallerAddress: read.CallerAddress, PeerAddress: read.PeerAddress,
	}
}
