package demo_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/standin/demo"
)

const (
	stepCount = 11
	moveStep  = "version move"
)

// run is a run of the demo for one firm.
type run struct {
	results []demo.Result
	output  string
	err     error
}

// runs runs the demo of both firms in parallel, once for all tests.
var runs = sync.OnceValue(func() map[string]*run {
	all := map[string]*run{}
	var group sync.WaitGroup
	for _, firm := range examples.Firms() {
		firmRun := &run{}
		all[firm] = firmRun
		group.Go(func() {
			log := logrus.New()
			log.SetOutput(io.Discard)
			var output strings.Builder
			firmRun.results, firmRun.err = (&demo.Demo{Firm: firm, Log: log}).Run(context.Background(), &output)
			firmRun.output = output.String()
		})
	}
	group.Wait()
	return all
})

// expectStepsHeld expects the steps selected by isWanted to have held, for each firm.
func expectStepsHeld(t *testing.T, isWanted func(step string) bool) {
	for firm, run := range runs() {
		t.Run(firm, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(run.err).NotTo(HaveOccurred())
			g.Expect(run.results).To(HaveLen(stepCount))
			t.Log(run.output)
			for _, result := range run.results {
				if isWanted(result.Step) {
					g.Expect(result).To(HaveField("Held", true))
				}
			}
		})
	}
}

func TestDemoStepsHold(t *testing.T) {
	expectStepsHeld(t, func(step string) bool { return step != moveStep })
}

// TestGoodVersionWithColdStartMovesInTime is separate from TestDemoStepsHold: it guards
// against rejecting a good version for its cold start. Each endpoint of the new version is
// slower in its first requests only.
func TestGoodVersionWithColdStartMovesInTime(t *testing.T) {
	expectStepsHeld(t, func(step string) bool { return step == moveStep })
}
