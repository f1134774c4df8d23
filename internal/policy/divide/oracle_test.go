package divide_test

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/contract"
)

// oracle checks the limits without knowledge of shares: it sees only what the whole
// fleet admits and runs, and the limits. Admissions stay within burst + rate*window
// for every window if and only if a leaky bucket that drains at the rate never
// holds more than the burst.
type oracle struct {
	// limits holds the highest limit since the last reset, as a lowered limit takes
	// effect only after the shares are stable again.
	limits  map[contract.Resource]contract.Share
	buckets map[contract.Resource]*leakyBucket
	// running counts the running requests by endpoint.
	running map[contract.Resource]int64
}

type leakyBucket struct {
	level     int64
	updatedAt clock.Millis
}

func newOracle(totals map[contract.Resource]divide.Total) *oracle {
	o := &oracle{running: map[contract.Resource]int64{}}
	o.reset(totals)
	return o
}

// reset sets the limits to which the whole fleet must adhere from now on.
func (o *oracle) reset(totals map[contract.Resource]divide.Total) {
	o.limits = map[contract.Resource]contract.Share{}
	o.buckets = map[contract.Resource]*leakyBucket{}
	o.raiseLimits(totals)
}

func (o *oracle) raiseLimits(totals map[contract.Resource]divide.Total) {
	for resource, total := range totals {
		o.limits[resource] = o.limits[resource].Max(total.Share)
	}
}

// admit counts an admission. It returns an error if that exceeds the limit.
func (o *oracle) admit(now clock.Millis, resource contract.Resource, amount int64) error {
	known := o.buckets[resource]
	if known == nil {
		known = &leakyBucket{updatedAt: now}
		o.buckets[resource] = known
	}
	limit := o.limits[resource]
	known.level = max(0, known.level-int64(now-known.updatedAt)*limit.Rate)
	known.updatedAt = now
	known.level += amount * int64(clock.Second)
	if known.level > limit.Size*int64(clock.Second) {
		return fmt.Errorf("%s: admissions are %d thousandths over the burst of %d at %d ms", resource, known.level-limit.Size*int64(clock.Second), limit.Size, now)
	}
	return nil
}

// run counts requests that begin or end at an endpoint. It returns an error if more
// run than there are slots.
func (o *oracle) run(resource contract.Resource, change int64) error {
	o.running[resource] += change
	if change > 0 && o.running[resource] > o.limits[resource].Size {
		return fmt.Errorf("%s: %d requests run on %d slots", resource, o.running[resource], o.limits[resource].Size)
	}
	return nil
}
