package measure

import (
	"context"
	"fmt"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/firm"
	"baobabladder.example/baobabladder/internal/standin/store"
)

// The names of the scenarios.
const (
	OrdinaryDay              = "ordinary-day"
	LargestWorkspaceTimes5   = "large-times-five"
	SingleEntryVM            = "leaning-on-one"
	RegionLost               = "region-lost"
	Drain                    = "drain"
	RegionPairPartitioned    = "pair-cut"
	StoreDown                = "store-down"
	FrozenLoadReports        = "reports-frozen"
	FalseLoadReports         = "reports-lying"
	RegionLostStoreDown      = "region-lost-store-down"
	NewVersionHealthy        = "good-version"
	NewVersionFails          = "bad-version-fails"
	NewVersionSlow           = "bad-version-slow"
	NewVersionFailsLater     = "bad-version-later"
	NewVersionFailsUnderLoad = "bad-version-under-load"
	NewVersionFailsOnRoute   = "bad-version-on-route"
)

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	return []string{OrdinaryDay, LargestWorkspaceTimes5, SingleEntryVM, RegionLost, Drain, RegionPairPartitioned, StoreDown, FrozenLoadReports, FalseLoadReports, RegionLostStoreDown, NewVersionHealthy, NewVersionFails, NewVersionSlow, NewVersionFailsLater, NewVersionFailsUnderLoad, NewVersionFailsOnRoute}
}

// step is a change during a run. It applies after atPercent of the scored time.
type step struct {
	atPercent int
	apply     func(ctx context.Context, run *run) error
}

// scenarioSteps returns the steps of a scenario, earliest first.
func scenarioSteps(name string) []step {
	switch name {
	case RegionLost:
		return []step{{25, failRegion}, {65, restoreRegion}}
	case Drain:
		return []step{{30, drainDataCentre}}
	case RegionPairPartitioned:
		return []step{{25, setRegionPartition(true)}, {70, setRegionPartition(false)}}
	case StoreDown:
		return []step{{20, setStoreDown(true)}, {40, killFirstEntryVM}, {80, setStoreDown(false)}}
	case FrozenLoadReports:
		return []step{{20, corruptLoadReports(endpoint.ReportFault{Frozen: true})}}
	case FalseLoadReports:
		idle := 0
		return []step{{20, corruptLoadReports(endpoint.ReportFault{Running: &idle})}}
	case RegionLostStoreDown:
		return []step{{20, setStoreDown(true)}, {30, failRegion}, {65, restoreRegion}, {85, setStoreDown(false)}}
	}
	if fault, isMove := versionFaults[name]; isMove {
		return []step{{5, startMove(fault)}, {moveDeadlinePercent, recordRunsAtDeadline}}
	}
	return nil
}

// outageRegion returns the region that fails: the first one of the fleet document
// that does not hold the store.
func (r *run) outageRegion() string {
	regions := r.firm.Fleet.Regions
	for _, region := range regions {
		if region.Name != r.firm.StoreRegion() {
			return region.Name
		}
	}
	return regions[0].Name
}

// failRegion starts the outage of a region: it kills the region's entry VMs and
// isolates its endpoints from the network.
func failRegion(_ context.Context, r *run) error {
	failed := r.outageRegion()
	r.outageStart = r.clock.Now()
	r.monitor.setExcluded(failed, true)
	for _, service := range r.firm.CurrentServices() {
		for _, endpoint := range service.Endpoints {
			if endpoint.Region == failed {
				r.firm.Network.IsolateVM(endpoint.Name, true)
			}
		}
	}
	for _, entry := range r.firm.EntryVMs {
		if entry.Settings.Region == failed {
			r.killEntryVM(entry)
		}
	}
	return nil
}

// killEntryVM stops an entry VM and isolates it from the network at once, so that it
// looks like a loss of power to other processes. It also removes the VM from the
// platform's list.
func (r *run) killEntryVM(entry *firm.EntryVM) {
	entry.TakenDown = true
	entry.Stop()
	r.firm.Network.KillVM(entry.Settings.Name)
	r.firm.Store.RemoveVM(entry.Settings.Name)
}

// restoreRegion ends the outage of a region: its entry VMs start again, and its
// endpoints are reachable again and cold.
func restoreRegion(ctx context.Context, r *run) error {
	restored := r.outageRegion()
	r.outageEnd = r.clock.Now()
	for _, service := range r.firm.CurrentServices() {
		for _, endpoint := range service.Endpoints {
			if endpoint.Region == restored {
				r.firm.Endpoint(endpoint.Name).ResetWarmUp()
				r.firm.Network.IsolateVM(endpoint.Name, false)
			}
		}
	}
	for i, entry := range r.firm.EntryVMs {
		if entry.Settings.Region != restored {
			continue
		}
		select {
		case <-entry.Exited:
		case <-firm.After(ctx, entryVMExitTimeout):
			r.notes = append(r.notes, entry.Settings.Name+" did not end and stays out")
			continue
		}
		r.firm.Network.IsolateVM(entry.Settings.Name, false)
		r.firm.EntryVMs[i] = r.firm.StartEntryVM(ctx, entry.Settings)
	}
	return nil
}

// entryVMExitTimeout limits the wait for the old process of an entry VM to exit
// when its region is restored. After that, the entry VM is not started again.
const entryVMExitTimeout = 2 * clock.Second

// drainDataCentre drains the first data centre of the region that holds the store.
func drainDataCentre(ctx context.Context, r *run) error {
	var name string
	for _, region := range r.firm.Fleet.Regions {
		if region.Name == r.firm.StoreRegion() {
			name = region.DataCentres[0]
		}
	}
	r.monitor.startDrain(name)
	r.drainStartedAt = r.clock.Now()
	for _, service := range r.firm.Services {
		if !slices.ContainsFunc(service.Endpoints, func(e document.Endpoint) bool { return e.DataCentre == name }) {
			continue
		}
		text := service.Text + fmt.Sprintf("\n[drain %s]\nkind = %s\n", name, document.DrainDataCentre)
		if err := r.firm.Apply(ctx, service, text); err != nil {
			return err
		}
	}
	return nil
}

// setRegionPartition returns a step that starts or ends a partition between the two
// regions that don't hold the store.
func setRegionPartition(isPartitioned bool) func(ctx context.Context, r *run) error {
	return func(_ context.Context, r *run) error {
		var pair []string
		for _, region := range r.firm.Fleet.Regions {
			if region.Name != r.firm.StoreRegion() {
				pair = append(pair, region.Name)
			}
		}
		r.firm.Network.PartitionRegions(pair[0], pair[1], isPartitioned)
		return nil
	}
}

func setStoreDown(isDown bool) func(ctx context.Context, r *run) error {
	return func(_ context.Context, r *run) error {
		r.firm.Store.SetFaults(store.Faults{Unavailable: isDown})
		return nil
	}
}

func killFirstEntryVM(_ context.Context, r *run) error {
	r.killEntryVM(r.firm.EntryVMs[0])
	return nil
}

// corruptLoadReports returns a step that makes every second endpoint of each service
// send false load reports.
func corruptLoadReports(fault endpoint.ReportFault) func(ctx context.Context, r *run) error {
	return func(_ context.Context, r *run) error {
		for _, service := range r.firm.CurrentServices() {
			for i := range service.Endpoints {
				if i%2 == 0 {
					r.firm.Endpoint(service.Endpoints[i].Name).SetFaults(endpoint.Faults{Report: fault})
				}
			}
		}
		return nil
	}
}
