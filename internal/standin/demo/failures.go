package demo

import (
	"context"
	"fmt"
	"net/http"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	standin "baobabladder.example/baobabladder/internal/standin/firm"
	"baobabladder.example/baobabladder/internal/standin/store"
)

// storeOutage looks up while the store is down.
func storeOutage(ctx context.Context, f *firm) (string, error) {
	f.Store.SetFaults(store.Faults{Unavailable: true})
	defer f.Store.SetFaults(store.Faults{})
	before := f.lookUpsAnswered(ctx, lookUpCount)
	if err := clock.Sleep(ctx, outageTime); err != nil {
		return "", err
	}
	after := f.lookUpsAnswered(ctx, lookUpCount)
	happened := fmt.Sprintf("%d of %d answered at once, %d of %d after %d ms", before, lookUpCount, after, lookUpCount, outageTime)
	return happened, mustAll(before+after, 2*lookUpCount, "answered")
}

// entryDeath cuts an entry VM off while callers use it.
func entryDeath(ctx context.Context, f *firm) (string, error) {
	victim := f.EntryVMs[0]
	victim.TakenDown = true
	f.Network.IsolateVM(victim.Settings.Name, true)
	for _, caller := range f.callers {
		caller.http.CloseIdleConnections()
	}
	victim.Stop()
	f.Store.RemoveVM(victim.Settings.Name)
	answered := f.lookUpsAnswered(ctx, lookUpCount)
	happened := fmt.Sprintf("%s died, %d of %d answered", victim.Settings.Name, answered, lookUpCount)
	return happened, mustAll(answered, lookUpCount, "answered")
}

// withdrawKey withdraws a key that callers use on open connections.
func withdrawKey(ctx context.Context, f *firm) (string, error) {
	withdrawn := f.Keys[0]
	if err := f.WithdrawKey(ctx, withdrawn.ID); err != nil {
		return "", err
	}
	// Later steps use the others.
	f.Keys = f.Keys[1:]
	ctx, cancel := context.WithTimeout(ctx, withdrawTime.Duration())
	defer cancel()
	refused := 0
	for _, entry := range f.EntryVMs {
		if !entry.TakenDown && f.awaitRefusal(ctx, entry, withdrawn) {
			refused++
		}
	}
	return fmt.Sprintf("%d entry VMs refuse it within %d ms", refused, withdrawTime), mustAll(refused, f.liveEntries(), "entry VMs refuse it")
}

// awaitRefusal sends look-ups with a key until an entry VM refuses it.
func (f *firm) awaitRefusal(ctx context.Context, entry *standin.EntryVM, withdrawn standin.Key) bool {
	_, route := f.Route(document.WorkCatalogue, false)
	wanted := &request{method: http.MethodGet, path: route.Prefix + "withdrawn", key: withdrawn.Text, work: document.WorkCatalogue}
	for ctx.Err() == nil {
		got, err := f.callers[0].try(ctx, entry, wanted)
		if refuses(got, err, reason.KeyWithdrawn) {
			return true
		}
		_ = clock.Sleep(ctx, pollInterval)
	}
	return false
}

func (f *firm) liveEntries() (live int) {
	for _, entry := range f.EntryVMs {
		if !entry.TakenDown {
			live++
		}
	}
	return live
}

// plannedStop stops an entry VM while callers look up through all of them.
func plannedStop(ctx context.Context, f *firm) (string, error) {
	stopped := f.EntryVMs[1]
	if stopped.TakenDown {
		return "", errNotHeld.New("%s is gone already", stopped.Settings.Name)
	}
	stopped.TakenDown = true
	before := f.tally.count("no_answer")
	answered := inParallel(lookUpCount, func(i int) bool {
		if i == lookUpCount/3 {
			stopped.Stop()
		}
		got, err := f.lookUp(ctx, i)
		return err == nil && got.status == http.StatusOK
	})
	cut := f.tally.count("no_answer") - before
	happened := fmt.Sprintf("%s stopped, %d of %d answered, %d cut", stopped.Settings.Name, answered, lookUpCount, cut)
	if cut > 0 {
		return happened, errNotHeld.New("the stop cut requests")
	}
	select {
	case <-stopped.Ended:
	case <-standin.After(ctx, stopTime):
		return happened, errNotHeld.New("it did not end within %d ms", stopTime)
	}
	return happened, mustAll(answered, lookUpCount, "answered")
}
