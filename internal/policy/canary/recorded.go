package canary

import "baobabladder.example/baobabladder/internal/base/clock"

// IsValid reports whether the evidence may have been counted by VMs: another writer of the
// store may have put anything there.
func (e *Evidence) IsValid() bool {
	return e.Whole.New.isValid() && e.Whole.Old.isValid() && e.Recent.New.isValid() && e.Recent.Old.isValid()
}

// SetRecorded sets what the store holds of a service's trial: the evidence of all VMs when
// it was recorded.
func (g *Guard) SetRecorded(service string, evidence Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[service]
	if t == nil || t.move.TargetVersion != evidence.To {
		return
	}
	t.lastRecordAge = max(t.lastRecordAge, evidence.Age)
	if evidence.Whole.New.Answers > sumOf(t.sinceRecord(g.Clock.Now())).Whole.New.Answers {
		t.recorded = evidence
	}
}

// evidences returns this VM's evidence and that of each of its peers.
func (t *trial) evidences(now clock.Millis) []Evidence {
	own := t.evidence
	own.ObservedFrom, own.Recent = t.observedFrom(), t.recent.Sum(now)
	all := make([]Evidence, 0, 2+len(t.peers))
	all = append(all, own)
	for _, peer := range t.peers {
		all = append(all, peer)
	}
	return all
}

// sinceRecord returns the recorded evidence and that of the VMs that have started since,
// which it can't contain.
func (t *trial) sinceRecord(now clock.Millis) []Evidence {
	all := []Evidence{t.recorded}
	for _, evidence := range t.evidences(now) {
		if evidence.ObservedFrom > 0 && evidence.ObservedFrom >= t.recorded.Age {
			all = append(all, evidence)
		}
	}
	return all
}

// combined returns the evidence on which a verdict is based. The evidence of the VMs that
// run now and the recorded one may count the same requests, so it is one or the other:
// whichever has more answers of the new version.
func (t *trial) combined(now clock.Millis) []Evidence {
	running, since := t.evidences(now), t.sinceRecord(now)
	if sumOf(since).Whole.New.Answers > sumOf(running).Whole.New.Answers {
		return since
	}
	return running
}

// totalEvidence returns the combined evidence of all VMs.
func (t *trial) totalEvidence(now clock.Millis) Evidence {
	sum := sumOf(t.combined(now))
	sum.To, sum.Age, sum.Bad = t.move.TargetVersion, now-t.move.FirstSeen, t.evidence.Bad
	return sum
}

// sumOf returns the requests that any of the VMs observed.
func sumOf(vms []Evidence) (sum Evidence) {
	for i := range vms {
		sum.add(&vms[i])
	}
	return sum
}

// observedFrom returns the age of the move from which on this VM has observed it.
func (t *trial) observedFrom() clock.Millis { return max(t.startedAt-t.move.FirstSeen, 0) }

// dueAge returns the age of the move at which its outcome is to be decided.
func (t *trial) dueAge() clock.Millis {
	return t.move.MaxDuration - min(completionLead, t.move.MaxDuration/completionLeadDivisor)
}

// isDue reports whether the move's outcome is to be decided.
func (t *trial) isDue(now clock.Millis) bool { return now-t.move.FirstSeen >= t.dueAge() }

// mayComplete reports whether a move that is due and without doubt may be completed now:
// enough of its trial was observed, and those that have observed more than this VM have had
// the time to say what they doubt.
func (t *trial) mayComplete(now clock.Millis) bool {
	age := now - t.move.FirstSeen
	unobserved := t.unobserved(now)
	if unobserved > 0 && age-unobserved < t.move.MaxDuration/minObservedDivisor {
		return false
	}
	return t.observedFrom() < learningTime || t.hasHeardEarlierObserver() || t.isDue(now-lateObserverDelay)
}

// hasHeardEarlierObserver reports whether a VM that has observed more of the trial than this
// one has sent its evidence since the move was due.
func (t *trial) hasHeardEarlierObserver() bool {
	for _, peer := range t.peers {
		if peer.ObservedFrom < t.observedFrom() && peer.Age >= t.dueAge() {
			return true
		}
	}
	return false
}

// unobserved returns how much of the trial was observed by no VM that runs now, and was not
// recorded either.
func (t *trial) unobserved(now clock.Millis) clock.Millis {
	from := t.observedFrom()
	for _, peer := range t.evidences(now) {
		from = min(from, peer.ObservedFrom)
	}
	return max(from-t.recorded.Age, 0)
}

// isRecordDue reports whether the evidence is to be recorded.
func (t *trial) isRecordDue(now clock.Millis) bool {
	interval := max(minRecordInterval, t.move.MaxDuration/recordParts)
	return now-t.move.FirstSeen-t.lastRecordAge >= interval
}
