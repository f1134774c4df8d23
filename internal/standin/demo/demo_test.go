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

// run is one firm's run of the main job.
type run struct {
	results []demo.Result
	account string
	err     error
}

// runs goes through the main job of both firms side by side, once for all tests.
var runs = sync.OnceValue(func() map[string]*run {
	all := map[string]*run{}
	var group sync.WaitGroup
	for _, firm := range examples.Firms() {
		made := &run{}
		all[firm] = made
		group.Go(func() {
			log := logrus.New()
			log.SetOutput(io.Discard)
			var account strings.Builder
			made.results, made.err = (&demo.Demo{Firm: firm, Log: log}).Run(context.Background(), &account)
			made.account = account.String()
		})
	}
	group.Wait()
	return all
})

// check looks at the steps that are wanted, for each firm.
func check(t *testing.T, isWanted func(step string) bool) {
	for firm, run := range runs() {
		t.Run(firm, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(run.err).NotTo(HaveOccurred())
			g.Expect(run.results).To(HaveLen(stepCount))
			t.Log(run.account)
			for _, result := range run.results {
				if isWanted(result.Step) {
					g.Expect(result).To(HaveField("Held", true))
				}
			}
		})
	}
}

func TestMainJobHolds(t *testing.T) {
	check(t, func(step string) bool { return step != moveStep })
}

// TestGoodVersionWithColdStartMovesInTime stands apart: each endpoint of the new
// version is slower in its first requests only.
func TestGoodVersionWithColdStartMovesInTime(t *testing.T) {
	check(t, func(step string) bool { return step == moveStep })
}
