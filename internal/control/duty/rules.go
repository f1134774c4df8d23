package duty

import (
	"encoding/json"
	"strconv"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Fractions of the lease time.
const (
	// marginDivisor gives the margin by which the holder stops early and others wait
	// longer. It covers clocks of different rates, and the time between the check of a
	// tenure and the action.
	marginDivisor = 10
	// renewDivisor gives the time between two renewals.
	renewDivisor = 3
	// readDivisor gives the least time between two reads by a contender, and the timeout
	// of a store call: a holder whose renewal is lost has time for a second one.
	readDivisor = 2
	// retryDivisor gives the pause of a holder after a failed call.
	retryDivisor = 10
)

// action is a store call that is due.
type action int

const (
	actionNone action = iota
	actionRead
	// actionCreate stores a record without a holder.
	actionCreate
	actionAcquire
	actionRenew
)

// writeFailure says what is known of a write that was not acknowledged.
type writeFailure int

const (
	// failureNothingDone means that the write was not applied and never will be.
	failureNothingDone writeFailure = iota
	failureConflict
	// failureUnknown means that the write may have been applied, or may be later.
	failureUnknown
)

// view is what a VM knows of a duty's object, and the tenure that follows from it. It
// decides which store call is due and never makes one. Times are of the VM's boot clock.
type view struct {
	self      vm.ID
	leaseTime clock.Millis
	// runID begins the IDs of this run's writes, of which there were writes.
	runID  string
	writes int64

	// known is the record that was read or written last, revision its revision, and seenAt
	// when this VM first knew of that revision. They are valid if hasSeen.
	known    Record
	revision int64
	seenAt   clock.Millis
	hasSeen  bool
	// readAt is when the last read or successful write ended.
	readAt clock.Millis
	// mustRead is set if the object may have changed since: a write failed.
	mustRead bool
	// newest is the newest record that this VM knew in any era.
	newest Record

	// pending is the last write if its outcome is unknown; its WriteID is empty if there is
	// none. sentAt is when the last write was sent.
	pending Record
	sentAt  clock.Millis

	// term is the term that this VM held last. It may act in it before until. since is a
	// time at which it held the term and all former holders had ended.
	term         int64
	until, since clock.Millis
	// renewAt is when the next renewal is due, and callAt the earliest time of the next
	// call.
	renewAt, callAt clock.Millis
	// isReleased is set when this VM releases the duty for good.
	isReleased bool
	// gain and loss say why the tenure last began and ended.
	gain, loss string
}

func (v *view) margin() clock.Millis { return v.leaseTime / marginDivisor }

// newWriteID returns the ID of the next write.
func (v *view) newWriteID() string {
	v.writes++
	return v.runID + "-" + strconv.FormatInt(v.writes, 10)
}

// isHolder reports whether this run of this VM holds the duty by the record. A record whose
// term is of an earlier era than its revision does not count: the store came back from a
// copy, and another VM may have acted under a higher term since.
func (v *view) isHolder() bool {
	return v.hasSeen && v.known.Holder == v.self && v.isOwn(&v.known) && v.isOfThisEra()
}

// isOwn reports whether this run wrote a record.
func (v *view) isOwn(record *Record) bool {
	runID, _, _ := strings.Cut(record.WriteID, "-")
	return runID == v.runID
}

func (v *view) isOfThisEra() bool { return tracker.EraOf(v.known.Term) == tracker.EraOf(v.revision) }

func (v *view) isHeld(now clock.Millis) bool { return v.term > 0 && now < v.until }

// acquireAt returns the earliest time at which this VM may acquire the duty. It may do so
// at once only if the last holder released it and this VM is certain not to have acted
// within the lease time. Otherwise it waits until any tenure that it can't rule out has
// ended: a tenure counts from the sending of its last renewal, which was before this VM saw
// that renewal's revision.
func (v *view) acquireAt() clock.Millis {
	isReleased := v.known.Holder == (vm.ID{}) && v.known.isHistoryKnown() && v.isOfThisEra()
	if isReleased && !v.known.mayHaveActed(v.self.Name) {
		return v.seenAt
	}
	return v.seenAt + v.leaseTime + v.margin()
}

// next returns the store call that is due. A VM that must not contend makes none unless
// it is the holder, which keeps the duty.
func (v *view) next(now clock.Millis, canHold bool) action {
	isHolder := v.isHolder()
	readAt := v.readAt + v.leaseTime/readDivisor
	switch {
	case v.isReleased || now < v.callAt || !isHolder && !canHold:
		return actionNone
	case !v.hasSeen:
		return actionRead
	case isHolder && v.mustRead, v.pending.WriteID != "":
		return actionRead
	case isHolder && now >= v.renewAt:
		return actionRenew
	case isHolder:
		return actionNone
	case v.mustRead || now > readAt+v.margin():
		// The record may be outdated, so that a write would be in vain.
		if now >= readAt {
			return actionRead
		}
		return actionNone
	case tracker.NumberOf(v.revision) == 0:
		return actionCreate
	case now >= v.acquireAt():
		return actionAcquire
	case now >= readAt:
		return actionRead
	default:
		return actionNone
	}
}

// newRecord returns the record that a writing action stores.
//
// A new term is above the record's and above the revision that it replaces. Revisions
// increase within an era and contain the era, so a term is higher than all before it even
// if the record was lost with a removed object, or replaced by a write that was meant for
// the same number in an earlier era.
func (v *view) newRecord(what action, now clock.Millis) Record {
	record := v.known
	record.WriteID = v.newWriteID()
	switch what {
	case actionCreate:
		return Record{Term: v.revision, WriteID: record.WriteID, Previous: []FormerHolder{{}}, State: v.newestState()}
	case actionAcquire:
		record.Previous = v.previousOnAcquiring()
		record.Holder, record.Term, record.Renewed = v.self, max(v.known.Term, v.revision)+1, 0
		record.State = v.newestState()
	default:
		record.Renewed++
		if v.term == record.Term && now >= v.since+v.leaseTime+v.margin() {
			// Former holders ended more than a lease time ago.
			record.Previous = nil
		}
	}
	return record
}

// previousOnAcquiring returns the previous holders for the record with which this VM
// acquires the duty.
func (v *view) previousOnAcquiring() []FormerHolder {
	switch {
	case !v.known.isHistoryKnown() || !v.isOfThisEra():
		return v.known.previousWith(FormerHolder{})
	case v.known.Holder != (vm.ID{}):
		return v.known.previousWith(FormerHolder{v.known.Holder, v.known.Term})
	default:
		return v.known.Previous
	}
}

// newestState returns the state with which a VM acquires the duty: the stored one, unless
// this VM knows a newer one that the store has lost.
func (v *view) newestState() json.RawMessage {
	if v.newest.isNewerThan(&v.known) {
		return v.newest.State
	}
	return v.known.State
}

// releasedRecord returns the record that releases the duty.
func (v *view) releasedRecord() Record {
	return Record{
		Term: v.known.Term, Renewed: v.known.Renewed + 1, WriteID: v.newWriteID(),
		Previous: v.known.previousWith(FormerHolder{v.known.Holder, v.known.Term}), State: v.known.State,
	}
}

// onRead records the result of a read that ended now. It returns false if the result is
// older than what this VM knows.
func (v *view) onRead(record *Record, revision int64, now clock.Millis) bool {
	isSameEra := tracker.EraOf(revision) == tracker.EraOf(v.revision)
	isRemoved := tracker.NumberOf(revision) == 0 && isSameEra
	if v.hasSeen && revision < v.revision && !isRemoved {
		return false
	}
	v.readAt, v.mustRead = now, false
	pending := v.pending
	v.pending = Record{}
	if v.hasSeen && revision == v.revision {
		// A write that failed may be tried again. It is not tried at once, as it may fail as
		// fast as before.
		v.callAt = v.sentAt + v.leaseTime/retryDivisor
		return true
	}
	if pending.WriteID != "" && record.WriteID == pending.WriteID {
		// The answer to the write was lost.
		v.onWritten(&pending, revision, now)
		return true
	}
	v.setKnown(record, revision, now)
	return true
}

// onWritten records that a write of this VM was applied. It returns false if that was in
// a later era than the write was meant for, where it may have replaced anything.
func (v *view) onWritten(record *Record, revision int64, now clock.Millis) bool {
	before := v.known
	isSameEra := tracker.EraOf(v.revision) == tracker.EraOf(revision)
	v.setKnown(record, revision, now)
	v.pending, v.mustRead, v.readAt = Record{}, false, now
	if !isSameEra || !v.isHolder() || v.isReleased {
		return isSameEra
	}
	switch {
	case record.Term != v.term:
		v.term, v.since, v.gain = record.Term, now, gainReason(&before)
	case !v.isHeld(now):
		v.gain = reasonResumed
	}
	v.until = v.sentAt + v.leaseTime - v.margin()
	v.renewAt = v.sentAt + v.leaseTime/renewDivisor
	return true
}

// setKnown records a new revision of the object. The tenure ends if the record is not of
// the same holder and term.
func (v *view) setKnown(record *Record, revision int64, now clock.Millis) {
	isNewEra := v.hasSeen && tracker.EraOf(revision) > tracker.EraOf(v.revision)
	v.known, v.revision, v.seenAt, v.hasSeen = *record, revision, now, true
	if record.isNewerThan(&v.newest) {
		v.newest = *record
	}
	if v.isHolder() && record.Term == v.term {
		return
	}
	if v.isHeld(now) {
		v.loss = reasonTakenOver
		if isNewEra {
			v.loss = reasonRestored
		}
	}
	v.until = 0
}

// onWriteFailed records that a write failed.
func (v *view) onWriteFailed(record *Record, failure writeFailure, now clock.Millis) {
	switch failure {
	case failureUnknown:
		v.pending, v.callAt = *record, now
	case failureConflict:
		v.mustRead, v.callAt = true, now
	default:
		v.pause(now)
	}
}

// pause sets the time of the next call after one that changed nothing.
func (v *view) pause(now clock.Millis) {
	if v.isHeld(now) {
		v.callAt = now + v.leaseTime/retryDivisor
	} else {
		v.callAt = now + v.leaseTime/readDivisor
	}
}
