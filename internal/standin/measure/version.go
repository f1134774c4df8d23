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
	// moveDeadlinePercent is the share of the scored time after which the move must
	// be complete.
	moveDeadlinePercent = 90
	// faultDelay is the time from the start of the move until the fault of
	// NewVersionFailsLater takes effect.
	faultDelay = 8 * clock.Second
)

// versionFaults holds the faults of the new version by scenario. It has an entry
// for each scenario with a version move.
var versionFaults = map[string]endpoint.VersionFault{
	NewVersionHealthy:        {},
	NewVersionFails:          {Fail: true},
	NewVersionSlow:           {SlowPercent: 200},
	NewVersionFailsLater:     {Fail: true, After: faultDelay},
	NewVersionFailsUnderLoad: {Fail: true, MinRunning: 2},
	NewVersionFailsOnRoute:   {Fail: true, PathPrefix: keyedRoute},
}

// keyedRoute is a placeholder in versionFaults. startMove replaces it with the path
// prefix of the firm's catalogue route for look-ups with a key.
const keyedRoute = "keyed"

// startMove returns a step that starts endpoints of a new version of the catalogue
// and applies a document that moves the traffic to them. The step applies after 5
// percent of the scored time, from which the move's deadline is computed. The baseline
// policies ignore versions; for them the step only adds endpoints.
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
		deadline := time.Now().Add((r.ScoredDuration * (moveDeadlinePercent - 5) / 100).Duration())
		text += fmt.Sprintf("\n[move %s]\nfrom = v1\nby = %s\n", newVersion, deadline.UTC().Format(time.RFC3339))
		return r.firm.Apply(ctx, owner, text)
	}
}

// recordRunsAtDeadline is the step at the move's deadline. It records how many
// requests have run on each version.
func recordRunsAtDeadline(_ context.Context, r *run) error {
	r.oldRunsAtDeadline, r.newRunsAtDeadline, _ = r.versionRuns()
	return nil
}

// versionRuns returns how many catalogue requests have run on the old and on the
// new version, and how many of the latter failed.
func (r *run) versionRuns() (oldRuns, newRuns, newFailed int64) {
	owner, _ := r.firm.Route(document.WorkCatalogue, false)
	for _, declared := range owner.Endpoints {
		counts := r.firm.Endpoint(declared.Name).Counts()
		if declared.Version == newVersion {
			newRuns += counts.Runs
			newFailed += counts.Failed
		} else {
			oldRuns += counts.Runs
		}
	}
	return oldRuns, newRuns, newFailed
}

// scoreMove computes the figures of a version move.
func (r *run) scoreMove(result *Result) {
	result.NewVersionShareAfterDeadline = -1
	if _, isMove := versionFaults[r.Scenario]; !isMove {
		return
	}
	oldRuns, newRuns, newFailed := r.versionRuns()
	result.NewVersionRuns, result.NewVersionFailed = newRuns, newFailed
	if after := oldRuns - r.oldRunsAtDeadline + newRuns - r.newRunsAtDeadline; after > 0 {
		result.NewVersionShareAfterDeadline = float64(newRuns-r.newRunsAtDeadline) / float64(after)
	}
}
