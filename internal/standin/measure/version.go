package measure

import (
	"context"
	"fmt"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
)

const (
	newVersion = "v2"
	// moveByPercent is the part of the run at which the move must be done.
	moveByPercent = 90
	// faultAfter is when a fault that shows later shows, in milliseconds after the
	// start of the move.
	faultAfter = 8 * clock.Second
)

// versionFaults are the new version's faults by scenario; a good one has none.
// The route is that of look-ups with a key.
var versionFaults = map[string]endpoint.VersionFault{
	NewVersionHealthy:        {},
	NewVersionFails:          {Fail: true},
	NewVersionSlow:           {SlowPercent: 200},
	NewVersionFailsLater:     {Fail: true, After: faultAfter},
	NewVersionFailsUnderLoad: {Fail: true, MinRunning: 2},
	NewVersionFailsOnRoute:   {Fail: true, PathPrefix: keyedRoute},
}

// keyedRoute stands for the prefix of the catalogue's look-ups with a key.
const keyedRoute = "keyed"

// startMove starts endpoints of a new version of the catalogue and asks for the
// traffic to move there. The baselines only see more endpoints.
func startMove(fault endpoint.VersionFault) func(ctx context.Context, r *run) error {
	return func(ctx context.Context, r *run) error {
		owner, route := r.firm.Route(document.WorkCatalogue, false)
		if fault.PathPrefix == keyedRoute {
			fault.PathPrefix = route.Prefix
		}
		text, err := r.firm.StartNewVersion(ctx, owner, newVersion)
		if err != nil {
			return err
		}
		for _, old := range owner.Endpoints {
			r.firm.Endpoint(old.Name + "-" + newVersion).SetFaults(endpoint.Faults{Version: fault})
		}
		by := time.Now().Add((r.ScoredDuration * (moveByPercent - 5) / 100).Duration())
		text += fmt.Sprintf("\n[move %s]\nfrom = v1\nby = %s\n", newVersion, by.UTC().Format(time.RFC3339))
		return r.firm.Apply(ctx, owner, text)
	}
}

// endMove notes what ran where until the time by which the move was to be done.
func endMove(_ context.Context, r *run) error {
	r.oldAtEnd, r.newAtEnd, _ = r.versionRuns()
	return nil
}

// versionRuns counts the catalogue's runs on the old and on the new version.
func (r *run) versionRuns() (old, fresh, failed int64) {
	owner, _ := r.firm.Route(document.WorkCatalogue, false)
	for _, declared := range owner.Endpoints {
		counts := r.firm.Endpoint(declared.Name).Counts()
		if declared.Version == newVersion {
			fresh += counts.Runs
			failed += counts.Failed
		} else {
			old += counts.Runs
		}
	}
	return old, fresh, failed
}

// scoreMove sums up a version move.
func (r *run) scoreMove(row *Result) {
	row.NewVersionShareAfterDeadline = -1
	if _, isMove := versionFaults[r.Scenario]; !isMove {
		return
	}
	old, fresh, failed := r.versionRuns()
	row.NewVersionRuns, row.NewVersionFailed = fresh, failed
	if after := old - r.oldAtEnd + fresh - r.newAtEnd; after > 0 {
		row.NewVersionShareAfterDeadline = float64(fresh-r.newAtEnd) / float64(after)
	}
}
