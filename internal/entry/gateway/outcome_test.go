package gateway

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/canary"
)

// usualTime is a timing of which 100 ms are typical and more than 200 ms slow. The request
// had remaining when it was sent, or enough if that is 0.
type usualTime struct{ remaining clock.Millis }

func (t usualTime) HasTypicalTime() bool               { return t.remaining == 0 || t.remaining >= 100 }
func (usualTime) IsTight() bool                        { return false }
func (usualTime) IsPastTypical(took clock.Millis) bool { return took >= 100 }
func (usualTime) IsSlow(took clock.Millis) bool        { return took > 200 }

// An endpoint's own answer that the deadline has passed counted as a failure of its version.
func TestCanaryResultTellsLateFromFailed(t *testing.T) {
	for name, c := range map[string]struct {
		outcome balance.Outcome
		status  int
		took    clock.Millis
		counts  bool
		result  canary.Outcome
	}{
		"answered":                    {balance.Answered, 200, 90, true, canary.Good},
		"answered slowly":             {balance.Answered, 200, 300, true, canary.Slow},
		"failed":                      {balance.Failed, 500, 50, true, canary.Failed},
		"ended":                       {balance.Failed, 0, 50, true, canary.Ended},
		"cut":                         {balance.Failed, 200, 50, true, canary.Ended},
		"late by the endpoint's word": {balance.Failed, 504, 150, true, canary.Late},
		"late by this VM's clock":     {balance.DeadlineExceeded, 0, 150, true, canary.Late},
		"slow by the endpoint's word": {balance.Failed, 504, 250, true, canary.Slow},
		"too little time, endpoint's": {balance.Failed, 504, 50, false, canary.Good},
		"too little time, this VM's":  {balance.DeadlineExceeded, 0, 50, false, canary.Good},
		"not reached":                 {balance.Unreachable, 0, 50, false, canary.Good},
		"shed":                        {balance.Shed, 503, 50, false, canary.Good},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			result, counts := canaryResult(usualTime{}, c.outcome, c.status, c.took)
			g.Expect(counts).To(Equal(c.counts))
			g.Expect(result.Outcome).To(Equal(c.result))
		})
	}
}

// Guards against a slow version that looks good because of the runs that had too little time
// only those that were answered counted.
func TestAnswerWithTooLittleTimeShowsNothing(t *testing.T) {
	g := NewWithT(t)
	for remaining, counts := range map[clock.Millis]bool{90: false, 110: true} {
		_, got := canaryResult(usualTime{remaining}, balance.Answered, 200, 60)
		g.Expect(got).To(Equal(counts), "%d ms left", remaining)
	}
	_, got := canaryResult(usualTime{90}, balance.Failed, 500, 60)
	g.Expect(got).To(BeTrue(), "a failure shows the version at any time")
}

// Guards against a caller that takes endpoints out of use: requests that are never sent to
// them counted as endpoints that can't be reached.
func TestRequestThatIsNotPassedOnIsNoFailureOfItsEndpoint(t *testing.T) {
	for method, target := range map[string]string{"PROPFIND": "/order/x", "GET": "http://shop.example/order/x"} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			e := &testEndpoint{}
			v := newTestVM(t, "vm", "a", false, 1, e.start(t))
			var outcomes []string
			v.gateway.RecordOutcome = func(outcome string) { outcomes = append(outcomes, outcome) }
			g.Expect(v.send(method, target, "").Code).To(Equal(http.StatusBadRequest))
			g.Expect(e.allRuns()).To(BeEmpty())
			g.Expect(v.send(http.MethodPost, "/order/x", "paper").Code).To(Equal(http.StatusOK))
			g.Expect(outcomes).To(HaveExactElements("cancelled", "answered"))
		})
	}
}

// Guards against a load report of which a pace or a number of slots without sense spoils the
// other figures.
func TestParseLoad(t *testing.T) {
	g := NewWithT(t)
	none := balance.Result{Running: -1}
	for load, want := range map[string]balance.Result{
		"": none, "3": none, "x,1,3": none, "-1,0,3": none, "2,x,3,100": none, "2,-1,3,100": none,
		"2,1":              {Running: 2, Waiting: 1},
		"2,1,3":            {Running: 2, Waiting: 1, Slots: 3},
		" 2, 1, 3, 250 ":   {Running: 2, Waiting: 1, Slots: 3, Pace: 250},
		"2,1,3,99.6":       {Running: 2, Waiting: 1, Slots: 3, Pace: 100},
		"2,1,3,10":         {Running: 2, Waiting: 1, Slots: 3, Pace: 10},
		"2,1,3,10000,more": {Running: 2, Waiting: 1, Slots: 3, Pace: 10_000},
		"2,1,3,9":          {Running: 2, Waiting: 1, Slots: 3},
		"2,1,3,10001":      {Running: 2, Waiting: 1, Slots: 3},
		"2,1,3,NaN":        {Running: 2, Waiting: 1, Slots: 3},
		"2,1,3,slow":       {Running: 2, Waiting: 1, Slots: 3},
		"2,1,-3,120":       {Running: 2, Waiting: 1, Pace: 120},
		"2,1,,120":         {Running: 2, Waiting: 1, Pace: 120},
	} {
		result := balance.Result{Running: -1}
		parseLoad(load, &result)
		g.Expect(result).To(Equal(want), load)
	}
}
