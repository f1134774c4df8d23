package divide

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = 2 * clock.Second
	// sampleInterval is the shortest time between two samples.
	sampleInterval = 200 * clock.Millis(1)
	// unmetWeight is how much more an ask that the VM's share could not give
	// weighs than one that it could.
	unmetWeight = 2
	// moveDivisor is the hysteresis: parts are dealt anew only if that moves at
	// least total/moveDivisor to or from some VM.
	moveDivisor = 16
	// minSlotUnmet is the unmet demand, in thousandths of a request per second,
	// from which an endpoint's slots are dealt anew.
	minSlotUnmet = 500
)

// meter turns a growing count into a moving average per second.
type meter struct {
	count     int64
	at        clock.Millis
	perSecond int64
	started   bool
}

// observe takes over the count as of now. The first observation has no rate.
func (m *meter) observe(now clock.Millis, count int64) {
	if !m.started {
		m.started, m.count, m.at = true, count, now
		return
	}
	elapsed := now - m.at
	if elapsed < sampleInterval || count < m.count {
		return
	}
	sample := (count - m.count) * int64(clock.Second) / int64(elapsed)
	weight := min(elapsed, demandWindow)
	m.perSecond += (sample - m.perSecond) * int64(weight) / int64(demandWindow)
	m.count, m.at = count, now
}

// rate returns the average; it falls while nothing is observed, because a VM
// without new asks does not report.
func (m *meter) rate(now clock.Millis) int64 {
	m.observe(now, m.count)
	return m.perSecond
}

// demand is what a VM's callers ask of a resource, in the resource's own units
// per second; for slots, in thousandths of a slot.
func (p *part) demand(kind contract.Kind, now clock.Millis) int64 {
	if kind == contract.KindSlots {
		return p.inUse*slotUnit + min(p.unmet.rate(now)*unmetWeight*slotUnit, maxSlotUnmet)
	}
	return p.asked.rate(now) + p.unmet.rate(now)*unmetWeight
}

const (
	// slotUnit is one slot in the units of slot demand.
	slotUnit = 1000
	// maxSlotUnmet bounds the weight of unmet asks for an endpoint's slots.
	maxSlotUnmet = 16 * slotUnit
)

// isDealDue reports whether the parts must be dealt anew.
func (l *Ledger) isDealDue(resource contract.Resource, entry *entry) bool {
	if !entry.dealt || l.membershipChanged || entry.dealtFor != entry.total {
		return true
	}
	if resource.Kind() != contract.KindSlots {
		return true
	}
	now := l.clock.Now()
	for _, part := range entry.parts {
		if part.unmet.rate(now)*slotUnit >= minSlotUnmet {
			return true
		}
	}
	return false
}

// deal computes what each VM that has reported is to have, and keeps it unless
// it differs enough from what was dealt before.
func (l *Ledger) deal(resource contract.Resource, entry *entry) {
	names := make([]string, 0, len(l.names))
	claims := make([]claim, 0, len(l.names))
	now := l.clock.Now()
	kind := resource.Kind()
	for _, name := range l.names {
		holder := l.holders[name]
		if !holder.reported {
			continue
		}
		weight := entry.part(name).demand(kind, now)
		if kind == contract.KindSlots {
			weight = slotWeight(entry.total.Place, holder.place, weight)
		}
		names = append(names, name)
		claims = append(claims, claim{weight: weight})
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
	entry.dealt, entry.dealtFor = true, entry.total
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
