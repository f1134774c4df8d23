package divide

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// minWindow and maxWindow bound the time constant of the moving average of
	// demand.
	minWindow = 5 * clock.Second
	maxWindow = 1 * clock.Minute
	// windowRequests is how many requests at the full rate the average of a
	// workspace spans: fewer would make chance look like demand.
	windowRequests = 100
	// sampleInterval is the shortest time between two samples.
	sampleInterval = 200 * clock.Millis(1)
	// silenceAllowed is how long a VM may not report before its demand falls.
	silenceAllowed = 1 * clock.Second
	// unmetWeight is how much more an ask that the VM's share could not give
	// weighs than one that it could.
	unmetWeight = 2
	// moveDivisor is the hysteresis: parts are dealt anew only if that moves at
	// least total/moveDivisor to or from some VM.
	moveDivisor = 16
	// dealInterval is the shortest time between two deals of a rate at the same
	// VMs and limits.
	dealInterval = 2 * clock.Second
	// minSlotUnmet is the unmet demand, in thousandths of a request per second,
	// from which an endpoint's slots are dealt anew.
	minSlotUnmet = 500
)

// window returns the time constant of the resource's demand.
func (e *entry) window(kind contract.Kind) clock.Millis {
	if kind != contract.KindRate || e.total.Rate == 0 {
		return minWindow
	}
	full := clock.Millis(windowRequests * contract.TokensPerRequest * int64(clock.Second) / e.total.Rate)
	return min(max(full, minWindow), maxWindow)
}

// meter turns a growing count into a moving average per second.
type meter struct {
	count     int64
	at        clock.Millis
	perSecond int64
	started   bool
}

// observe takes over the count as of now. The first observation has no rate.
func (m *meter) observe(now clock.Millis, count int64, window clock.Millis) {
	if !m.started {
		m.started, m.count, m.at = true, count, now
		return
	}
	elapsed := now - m.at
	if elapsed < sampleInterval || count < m.count {
		return
	}
	sample := (count - m.count) * int64(clock.Second) / int64(elapsed)
	weight := min(elapsed, window)
	m.perSecond += (sample - m.perSecond) * int64(weight) / int64(window)
	m.count, m.at = count, now
}

// rate returns the average. It falls while nothing is observed, because a VM
// without new asks does not report; reading it takes no sample, which would hide
// the asks that the next report brings.
func (m *meter) rate(now, window clock.Millis) int64 {
	silence := now - m.at - silenceAllowed
	if silence <= 0 {
		return m.perSecond
	}
	return m.perSecond * int64(max(0, window-silence)) / int64(window)
}

// demand is what a VM's callers ask of a resource, in the resource's own units
// per second; for slots, in thousandths of a slot.
func (p *part) demand(kind contract.Kind, now, window clock.Millis) int64 {
	if kind == contract.KindSlots {
		return p.inUse*slotUnit + min(p.unmet.rate(now, window)*unmetWeight*slotUnit, maxSlotUnmet)
	}
	return p.asked.rate(now, window) + p.unmet.rate(now, window)*unmetWeight
}

const (
	// slotUnit is one slot in the units of slot demand.
	slotUnit = 1000
	// maxSlotUnmet bounds the weight of unmet asks for an endpoint's slots.
	maxSlotUnmet = 16 * slotUnit
)

// isDealDue reports whether the parts must be dealt anew.
func (l *Allocator) isDealDue(resource contract.Resource, entry *entry) bool {
	if !entry.dealt || l.membershipChanged || entry.dealtFor != entry.total {
		return true
	}
	now := l.clock.Now()
	if resource.Kind() != contract.KindSlots {
		return now-entry.dealtAt >= dealInterval
	}
	for _, part := range entry.parts {
		if part.unmet.rate(now, minWindow)*slotUnit >= minSlotUnmet {
			return true
		}
	}
	return false
}

// deal computes what each VM that has reported is to have, and keeps it unless
// it differs enough from what was dealt before.
func (l *Allocator) deal(resource contract.Resource, entry *entry) {
	names := make([]string, 0, len(l.names))
	claims := make([]claim, 0, len(l.names))
	now := l.clock.Now()
	kind := resource.Kind()
	for _, name := range l.names {
		holder := l.holders[name]
		if !holder.reported {
			continue
		}
		weight := entry.part(name).demand(kind, now, entry.window(kind))
		if kind == contract.KindSlots {
			weight = slotWeight(entry.total.Location, holder.place, weight)
		}
		names = append(names, name)
		claims = append(claims, claim{
			weight: weight, holds: entry.part(name).want.Size > 0, isDivider: name == l.self,
			excluded: entry.total.excludes(kind, holder.place.Region),
		})
	}
	if len(names) == 0 {
		return
	}
	if kind == contract.KindSlots {
		dealSlots(entry.total.Size, claims, len(l.names))
	} else {
		dealRate(kind, entry.total.Share, claims, len(l.names))
	}
	keep := entry.dealt && !l.membershipChanged && entry.dealtFor == entry.total
	if keep && !isMoveWorthwhile(kind, entry, names, claims) {
		return
	}
	for i, name := range names {
		entry.parts[name].want = claims[i].share
	}
	l.moved = append(l.moved, resource)
	entry.dealt, entry.dealtFor, entry.dealtAt = true, entry.total, now
}

func isMoveWorthwhile(kind contract.Kind, entry *entry, names []string, claims []claim) bool {
	for i, name := range names {
		want, ideal := entry.parts[name].want, claims[i].share
		if kind == contract.KindSlots {
			if want.Size != ideal.Size {
				return true
			}
			continue
		}
		if max(want.Rate-ideal.Rate, ideal.Rate-want.Rate) > entry.total.Rate/moveDivisor {
			return true
		}
	}
	return false
}
