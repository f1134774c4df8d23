package divide_test

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/contract"
)

// oracle knows nothing of shares: it sees what the whole fleet admits and runs,
// and the limits. Admissions keep to burst + rate*window over every window
// exactly if a queue that drains at the rate never holds more than the burst.
type oracle struct {
	// limits holds the greatest limit since the fleet was last at rest: a lower
	// one counts from then on.
	limits map[contract.Resource]contract.Share
	queues map[contract.Resource]*queue
	// running counts requests by endpoint.
	running map[contract.Resource]int64
}

type queue struct {
	level int64
	at    clock.Millis
}

func newOracle(totals map[contract.Resource]divide.Total) *oracle {
	o := &oracle{running: map[contract.Resource]int64{}}
	o.rest(totals)
	return o
}

// rest takes over limits that the whole fleet keeps to from now on.
func (o *oracle) rest(totals map[contract.Resource]divide.Total) {
	o.limits = map[contract.Resource]contract.Share{}
	o.queues = map[contract.Resource]*queue{}
	o.raise(totals)
}

func (o *oracle) raise(totals map[contract.Resource]divide.Total) {
	for resource, total := range totals {
		o.limits[resource] = o.limits[resource].Max(total.Share)
	}
}

// admit counts an admission and returns an error if it breaks the limit.
func (o *oracle) admit(now clock.Millis, resource contract.Resource, amount int64) error {
	known := o.queues[resource]
	if known == nil {
		known = &queue{at: now}
		o.queues[resource] = known
	}
	limit := o.limits[resource]
	known.level = max(0, known.level-int64(now-known.at)*limit.Rate)
	known.at = now
	known.level += amount * int64(clock.Second)
	if known.level > limit.Size*int64(clock.Second) {
		return fmt.Errorf("%s: %d thousandths over burst %d at %d ms", resource, known.level-limit.Size*int64(clock.Second), limit.Size, now)
	}
	return nil
}

// run counts requests that begin or end at an endpoint.
func (o *oracle) run(resource contract.Resource, change int64) error {
	o.running[resource] += change
	if change > 0 && o.running[resource] > o.limits[resource].Size {
		return fmt.Errorf("%s: %d run, %d slots", resource, o.running[resource], o.limits[resource].Size)
	}
	return nil
}
