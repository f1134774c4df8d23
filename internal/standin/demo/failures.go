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

// lookUpDuringStoreOutage sends look-ups at the start of a store outage and again after
// outageDuration. All must be answered.
func lookUpDuringStoreOutage(ctx context.Context, f *firm) (string, error) {
	f.Store.SetFaults(store.Faults{Unavailable: true})
	defer f.Store.SetFaults(store.Faults{})
	answeredAtStart := f.countAnsweredLookUps(ctx, lookUpCount)
	if err := clock.Sleep(ctx, outageDuration); err != nil {
		return "", err
	}
	answeredLater := f.countAnsweredLookUps(ctx, lookUpCount)
	happened := fmt.Sprintf("%d of %d answered at once, %d of %d after %d ms", answeredAtStart, lookUpCount, answeredLater, lookUpCount, outageDuration)
	return happened, requireAll(answeredAtStart+answeredLater, 2*lookUpCount, "answered")
}

// killEntryVM isolates an entry VM that callers use, stops it and removes it from the
// platform's list. All look-ups after that must be answered.
func killEntryVM(ctx context.Context, f *firm) (string, error) {
	killed := f.EntryVMs[0]
	killed.TakenDown = true
	f.Network.IsolateVM(killed.Settings.Name, true)
	for _, caller := range f.callers {
		caller.http.CloseIdleConnections()
	}
	killed.Stop()
	f.Store.RemoveVM(killed.Settings.Name)
	answered := f.countAnsweredLookUps(ctx, lookUpCount)
	happened := fmt.Sprintf("%s died, %d of %d answered", killed.Settings.Name, answered, lookUpCount)
	return happened, requireAll(answered, lookUpCount, "answered")
}

// withdrawKey withdraws an API key that callers have used on connections that are still
// open. Every live entry VM must refuse it within withdrawTimeout.
func withdrawKey(ctx context.Context, f *firm) (string, error) {
	withdrawn := f.Keys[0]
	if err := f.WithdrawKey(ctx, withdrawn.ID); err != nil {
		return "", err
	}
	// Later steps use the other keys.
	f.Keys = f.Keys[1:]
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout.Duration())
	defer cancel()
	refused := 0
	for _, entry := range f.EntryVMs {
		if !entry.TakenDown && f.awaitRefusal(ctx, entry, withdrawn) {
			refused++
		}
	}
	return fmt.Sprintf("%d entry VMs refuse it within %d ms", refused, withdrawTimeout), requireAll(refused, f.liveEntryVMCount(), "entry VMs refuse it")
}

// awaitRefusal sends look-ups with a key to an entry VM until it refuses the key as
// withdrawn. It returns false if ctx ends first.
func (f *firm) awaitRefusal(ctx context.Context, entry *standin.EntryVM, withdrawn standin.Key) bool {
	_, route := f.Route(document.WorkCatalogue, false)
	req := &request{method: http.MethodGet, path: route.Prefix + "withdrawn", key: withdrawn.Text, work: document.WorkCatalogue}
	for ctx.Err() == nil {
		got, err := f.callers[0].sendTo(ctx, entry, req)
		if isRefusedFor(got, err, reason.KeyWithdrawn) {
			return true
		}
		_ = clock.Sleep(ctx, pollInterval)
	}
	return false
}

func (f *firm) liveEntryVMCount() (live int) {
	for _, entry := range f.EntryVMs {
		if !entry.TakenDown {
			live++
		}
	}
	return live
}

// stopEntryVM stops an entry VM as planned while callers send look-ups to all of them. No
// request may be left without a response, and the VM must stop within stopTimeout.
func stopEntryVM(ctx context.Context, f *firm) (string, error) {
	stopped := f.EntryVMs[1]
	if stopped.TakenDown {
		return "", errStepFailed.New("%s is gone already", stopped.Settings.Name)
	}
	stopped.TakenDown = true
	unansweredBefore := f.failures.count("no_answer")
	answered := inParallel(lookUpCount, func(i int) bool {
		if i == lookUpCount/3 {
			stopped.Stop()
		}
		got, err := f.sendLookUp(ctx, i)
		return err == nil && got.status == http.StatusOK
	})
	unanswered := f.failures.count("no_answer") - unansweredBefore
	happened := fmt.Sprintf("%s stopped, %d of %d answered, %d cut", stopped.Settings.Name, answered, lookUpCount, unanswered)
	if unanswered > 0 {
		return happened, errStepFailed.New("the stop cut requests")
	}
	select {
	case <-stopped.Exited:
	case <-standin.After(ctx, stopTimeout):
		return happened, errStepFailed.New("it did not end within %d ms", stopTimeout)
	}
	return happened, requireAll(answered, lookUpCount, "answered")
}
