package contract

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// levelUnit is the number of level units in one unit of Share.Size. Rates are
// per second and time is in milliseconds, so levels stay exact integers.
const levelUnit = int64(clock.Second)

// Never is the wait time for an amount that the current share can never supply.
const Never clock.Millis = math.MaxInt64

// bucket is a token bucket. It starts empty, so that a restarted VM does not
// receive the burst again that its previous incarnation may have spent.
type bucket struct {
	share Share
	// level is at most share.Size * levelUnit.
	level int64
	// updatedAt is the time of the last refill.
	updatedAt clock.Millis
}

// fill adds the tokens that accrued since the last call, up to the share's
// size.
func (b *bucket) fill(now clock.Millis) {
	elapsed := int64(now - b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	full := b.share.Size * levelUnit
	missing := full - b.level
	if b.share.Rate > 0 && elapsed > missing/b.share.Rate {
		b.level = full
		return
	}
	b.level += elapsed * b.share.Rate
}

// take removes amount if the bucket holds that much, and reports whether it did.
// Otherwise it removes nothing.
func (b *bucket) take(now clock.Millis, amount int64) bool {
	b.fill(now)
	if b.level < amount*levelUnit {
		return false
	}
	b.level -= amount * levelUnit
	return true
}

// setShare changes the share and adds tokens that other VMs surrendered.
// Raising the share does not add tokens, and lowering it discards those above
// the new size, so the tokens of all VMs together never exceed the size of the
// whole limit. It returns the number of whole tokens discarded.
func (b *bucket) setShare(now clock.Millis, share Share, tokens int64) (clipped int64) {
	b.fill(now)
	b.share = share
	full := share.Size * levelUnit
	level := b.level + tokens*levelUnit
	b.level = min(level, full)
	return (level - b.level) / levelUnit
}

// wait returns the time until the bucket holds amount, or Never.
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
