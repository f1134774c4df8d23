package usage

import "baobabladder.example/baobabladder/internal/base/clock"

// Expectation is what is expected of an attempt when it is sent.
type Expectation struct {
	// RoundTrip is the network's round trip to the endpoint.
	RoundTrip clock.Millis
	// Wait is the time in the endpoint's queue; 0 if a slot is thought to be free.
	Wait clock.Millis
	// Run is the time for which the endpoint runs the attempt, LongRun the time if it turns
	// out not to be warm for the object. They differ only if it is uncertain whether the endpoint
	// is warm: a longer LongRun in other cases would hide waits in queues.
	Run, LongRun clock.Millis
}

// Ending says how an attempt ended. Times are monotonic; 0 stands for none.
type Ending struct {
	// SentAt is when the last byte of the request was written.
	SentAt clock.Millis
	// AnsweredAt is when the head of the answer came.
	AnsweredAt clock.Millis
	// IsNotRun reports that the endpoint did not run the attempt.
	IsNotRun bool
	// Load is what the endpoint reports with its answer.
	Load Load
}

// Load is an endpoint's report on its load at the time of an answer. Its zero value is that
// of an endpoint that does not say.
type Load struct {
	Occupancy Occupancy
	// Pace is how long work takes at the endpoint, in percent of the usual time; 0 if it does
	// not say.
	Pace int
}

// Occupancy says whether an endpoint has a free slot.
type Occupancy int

// Values of Occupancy.
const (
	OccupancyUnknown Occupancy = iota
	HasFreeSlot
	HasNoFreeSlot
)

// runVariation is how many times its usual time a run takes at an endpoint where a slot was
// thought to be free, before the rest is taken for a wait in a queue.
const runVariation = 1.8

// usualPace is the pace of an endpoint whose work takes the usual time.
const usualPace = 100

// likelyWait returns the time from an attempt's send until the endpoint likely begins to
// run it.
func (e *Expectation) likelyWait() clock.Millis { return e.RoundTrip/2 + e.Wait }

// waitShownBy returns the time from the send until the endpoint began to run an attempt that
// was answered after took. What is left of that time after the round trip and the run is the
// wait in the endpoint's queue.
func (e *Expectation) waitShownBy(took clock.Millis, load Load) clock.Millis {
	pace := clock.Millis(load.Pace)
	if pace <= 0 {
		pace = usualPace
	}
	half := min(e.RoundTrip, took) / 2
	atEndpoint := max(took-e.RoundTrip, 0)
	longRun := max(e.Run, e.LongRun) * pace / usualPace
	wait, longRunWait := max(atEndpoint-e.Run*pace/usualPace, 0), max(atEndpoint-longRun, 0)
	expected := e.Wait
	if load.Occupancy == HasFreeSlot {
		expected = 0
	}
	switch {
	case expected == 0 && load.Occupancy != HasNoFreeSlot:
		// A run that takes longer than expected is likelier than a queue: the endpoint was
		// not warm, or its machine is slow.
		if atEndpoint <= clock.Millis(runVariation*float64(longRun)) {
			return half
		}
	case absolute(longRunWait-expected) < absolute(wait-expected) && e.Wait > 0:
		// The endpoint was not warm.
		return half + longRunWait
	}
	return half + wait
}
