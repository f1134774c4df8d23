package contract

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// levelUnit is how many units of level make one unit of Share.Size. A rate is
// per second and time is in milliseconds, so levels stay exact integers.
const levelUnit = int64(clock.Second)

// Never is a wait that does not end while the share stays as it is.
const Never clock.Millis = math.MaxInt64

// bucket is a token bucket. It starts empty: a new incarnation of a VM must not
// get the burst again that the one before it has spent.
type bucket struct {
	share Share
	// level is at most share.Size * levelUnit.
	level int64
	// at is when level was last brought up to date.
	at clock.Millis
}

// fill adds what has flowed in since the last call.
func (b *bucket) fill(now clock.Millis) {
	elapsed := int64(now - b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	full := b.share.Size * levelUnit
	missing := full - b.level
	if b.share.Rate > 0 && elapsed > missing/b.share.Rate {
		b.level = full
		return
	}
	b.level += elapsed * b.share.Rate
}

// take removes amount if it is there.
func (b *bucket) take(now clock.Millis, amount int64) bool {
	b.fill(now)
	if b.level < amount*levelUnit {
		return false
	}
	b.level -= amount * levelUnit
	return true
}

// set changes the share and adds tokens that another VM surrendered. A raise by
// itself adds none, and a cut clips them, so that the tokens of all VMs together
// never exceed the total's size. It returns the whole tokens clipped.
func (b *bucket) set(now clock.Millis, share Share, tokens int64) (clipped int64) {
	b.fill(now)
	b.share = share
	full := share.Size * levelUnit
	level := b.level + tokens*levelUnit
	b.level = min(level, full)
	return (level - b.level) / levelUnit
}

// wait returns how long it takes until amount is there.
func (b *bucket) wait(now clock.Millis, amount int64) clock.Millis {
	b.fill(now)
	missing := amount*levelUnit - b.level
	switch {
	case missing <= 0:
		return 0
	case b.share.Rate == 0 || amount > b.share.Size:
		return Never
	}
	return clock.Millis((missing + b.share.Rate - 1) / b.share.Rate)
}
