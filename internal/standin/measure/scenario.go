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

// Names of the scenarios.
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

// Scenarios lists the scenarios' names.
func Scenarios() []string {
	return []string{OrdinaryDay, LargestWorkspaceTimes5, SingleEntryVM, RegionLost, Drain, RegionPairPartitioned, StoreDown, FrozenLoadReports, FalseLoadReports, RegionLostStoreDown, NewVersionHealthy, NewVersionFails, NewVersionSlow, NewVersionFailsLater, NewVersionFailsUnderLoad, NewVersionFailsOnRoute}
}

// step is a change during a run, at a part of its length in percent.
type step struct {
	percent int
	do      func(ctx context.Context, run *run) error
}

// scenarioSteps returns what changes during a scenario.
func scenarioSteps(name string) []step {
	switch name {
	case RegionLost:
		return []step{{25, loseRegion}, {65, returnRegion}}
	case Drain:
		return []step{{30, drain}}
	case RegionPairPartitioned:
		return []step{{25, cutPair(true)}, {70, cutPair(false)}}
	case StoreDown:
		return []step{{20, storeDown(true)}, {40, killEntry}, {80, storeDown(false)}}
	case FrozenLoadReports:
		return []step{{20, spoilReports(endpoint.ReportFault{Frozen: true})}}
	case FalseLoadReports:
		idle := 0
		return []step{{20, spoilReports(endpoint.ReportFault{Running: &idle})}}
	case RegionLostStoreDown:
		return []step{{20, storeDown(true)}, {30, loseRegion}, {65, returnRegion}, {85, storeDown(false)}}
	}
	if fault, isMove := versionFaults[name]; isMove {
		return []step{{5, startMove(fault)}, {moveByPercent, endMove}}
	}
	return nil
}

// lostRegion is the last region of the document that does not hold the store.
func (r *run) lostRegion() string {
	regions := r.firm.Fleet.Regions
	for _, region := range regions {
		if region.Name != r.firm.StoreRegion() {
			return region.Name
		}
	}
	return regions[0].Name
}

// loseRegion ends a region's entry VMs and cuts its endpoints off.
func loseRegion(_ context.Context, r *run) error {
	lost := r.lostRegion()
	r.lostAt = r.clock.Now()
	r.watcher.leaveOut(lost, true)
	for _, service := range r.firm.CurrentServices() {
		for _, endpoint := range service.Endpoints {
			if endpoint.Region == lost {
				r.firm.Network.IsolateVM(endpoint.Name, true)
			}
		}
	}
	for _, entry := range r.firm.EntryVMs {
		if entry.Settings.Region == lost {
			r.kill(entry)
		}
	}
	return nil
}

// kill ends an entry VM as a loss of power does, as far as others can tell. The
// platform's list drops it.
func (r *run) kill(entry *firm.EntryVM) {
	entry.TakenDown = true
	entry.Stop()
	r.firm.Network.KillVM(entry.Settings.Name)
	r.firm.Store.RemoveVM(entry.Settings.Name)
}

// returnRegion starts a lost region cold.
func returnRegion(ctx context.Context, r *run) error {
	lost := r.lostRegion()
	r.backAt = r.clock.Now()
	for _, service := range r.firm.CurrentServices() {
		for _, endpoint := range service.Endpoints {
			if endpoint.Region == lost {
				r.firm.Endpoint(endpoint.Name).ResetWarmUp()
				r.firm.Network.IsolateVM(endpoint.Name, false)
			}
		}
	}
	for i, entry := range r.firm.EntryVMs {
		if entry.Settings.Region != lost {
			continue
		}
		select {
		case <-entry.Ended:
		case <-firm.After(ctx, endWait):
			r.notes = append(r.notes, entry.Settings.Name+" did not end and stays out")
			continue
		}
		r.firm.Network.IsolateVM(entry.Settings.Name, false)
		r.firm.EntryVMs[i] = r.firm.StartEntryVM(ctx, entry.Settings)
	}
	return nil
}

// endWait is how long the return of a region waits for an entry VM's old process.
const endWait = 2 * clock.Second

// drain empties the first data centre of the store's region.
func drain(ctx context.Context, r *run) error {
	var name string
	for _, region := range r.firm.Fleet.Regions {
		if region.Name == r.firm.StoreRegion() {
			name = region.DataCentres[0]
		}
	}
	r.watcher.drain(name)
	r.drainedAt = r.clock.Now()
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

// cutPair cuts or heals the links between the two regions without the store.
func cutPair(isCut bool) func(ctx context.Context, r *run) error {
	return func(_ context.Context, r *run) error {
		var pair []string
		for _, region := range r.firm.Fleet.Regions {
			if region.Name != r.firm.StoreRegion() {
				pair = append(pair, region.Name)
			}
		}
		r.firm.Network.PartitionRegions(pair[0], pair[1], isCut)
		return nil
	}
}

func storeDown(isDown bool) func(ctx context.Context, r *run) error {
	return func(_ context.Context, r *run) error {
		r.firm.Store.SetFaults(store.Faults{Unavailable: isDown})
		return nil
	}
}

func killEntry(_ context.Context, r *run) error {
	r.kill(r.firm.EntryVMs[0])
	return nil
}

// spoilReports lets each second endpoint report its load wrongly.
func spoilReports(fault endpoint.ReportFault) func(ctx context.Context, r *run) error {
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
