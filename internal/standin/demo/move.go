package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

const (
	newVersion = "v2"
	// moveDuration is the time from the start of the move to the deadline that the
	// document gives it.
	moveDuration = 30 * clock.Second
	// moveBatchSize is the number of look-ups in one measurement of the new version's
	// share.
	moveBatchSize = 60
	// moveBatchInterval keeps the look-ups within the rate limits of the workspaces.
	moveBatchInterval = 100 * clock.Millis(1)
)

// moveVersion starts endpoints of a new version in addition to the old ones and moves the
// catalogue's traffic to them. At first at most half of it may go to the new version, and
// all of it must by the deadline.
func moveVersion(ctx context.Context, f *firm) (string, error) {
	owner, _ := f.Route(document.WorkCatalogue, true)
	text, err := f.StartNewVersion(ctx, owner, newVersion)
	if err != nil {
		return "", err
	}
	deadline := time.Now().Add(moveDuration.Duration())
	text += fmt.Sprintf("\n[move %s]\nfrom = v1\nby = %s\n", newVersion, deadline.UTC().Format(time.RFC3339))
	if err := f.Apply(ctx, owner, text); err != nil {
		return "", err
	}
	firstCount, lastCount := f.countNewVersionResponses(ctx), 0
	for time.Now().Before(deadline) && lastCount < moveBatchSize {
		if err := clock.Sleep(ctx, moveBatchInterval); err != nil {
			return "", err
		}
		lastCount = f.countNewVersionResponses(ctx)
	}
	happened := fmt.Sprintf("%s took %d of the first %d look-ups and %d of the last", newVersion, firstCount, moveBatchSize, lastCount)
	if firstCount > moveBatchSize/2 {
		return happened, errStepFailed.New("an untried version got most of the traffic")
	}
	return happened, requireAll(lastCount, moveBatchSize, "moved in time")
}

// countNewVersionResponses sends a batch of look-ups and returns how many the new
// version answered.
func (f *firm) countNewVersionResponses(ctx context.Context) int {
	return inParallel(moveBatchSize, func(i int) bool {
		got, err := f.sendLookUp(ctx, i)
		return err == nil && got.status == http.StatusOK && strings.Contains(got.body, " "+newVersion+" ")
	})
}
