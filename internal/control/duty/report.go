package duty

import (
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Events and their reasons in the log and in the metric duty_transitions.
const (
	eventAcquired = "acquired"
	eventLost     = "lost"
	eventReleased = "released"

	// Reasons of eventAcquired.
	reasonFirst   = "no_known_holder"
	reasonFree    = "was_released"
	reasonExpired = "holder_expired"
	// reasonResumed applies to a holder whose tenure ended before it renewed, if no other VM
	// took over.
	reasonResumed = "resumed"

	// Reasons of eventLost.
	reasonNotRenewed = "not_renewed"
	reasonTakenOver  = "taken_over"
	reasonRestored   = "store_restored"

	// Reason of eventReleased.
	reasonStop = "stop"
)

// gainReason returns why a VM could acquire the duty, by the record that it replaced.
func gainReason(replaced *Record) string {
	switch {
	case replaced.Holder != (vm.ID{}):
		return reasonExpired
	case replaced.mayHaveActed(""): // No VM has an empty name: true only for unknown holders.
		return reasonFirst
	default:
		return reasonFree
	}
}

// reported is the state of the duty that was logged and counted last.
type reported struct {
	isHeld bool
	term   int64
	// holder and holderTerm are those of the object.
	holder     vm.ID
	holderTerm int64
}

// report logs and counts what has changed since it was called last. The caller must hold
// mu.
func (d *Duty) report(now clock.Millis) {
	known := &d.view.known
	last, current := d.reported, reported{d.view.isHeld(now), d.view.term, known.Holder, known.Term}
	if last == current && d.hasReported {
		return
	}
	d.reported = current
	isNewTerm := last.term != current.term
	if last.isHeld && (!current.isHeld || isNewTerm) {
		event, reason := eventLost, reasonNotRenewed
		switch {
		case d.view.isReleased:
			event, reason = eventReleased, reasonStop
		case d.view.loss != "":
			reason = d.view.loss
		}
		d.reportTransition(event, reason, last.term)
		d.view.loss = ""
	}
	if current.isHeld && (!last.isHeld || isNewTerm) {
		d.reportTransition(eventAcquired, d.view.gain, current.term)
	}
	if d.Log != nil && known.Holder != d.Self && (known.Holder != last.holder || known.Term != last.holderTerm) {
		d.Log.WithFields(logrus.Fields{"duty": d.Name, "holder": known.Holder.Name, "term": known.Term}).Info("another VM holds a duty, or none")
	}
	if d.Scope != nil && (last.isHeld != current.isHeld || !d.hasReported) {
		level := 0.0
		if current.isHeld {
			level = 1
		}
		d.Scope.Tagged(map[string]string{"duty": d.Name}).Gauge("duty_held").Update(level)
	}
	d.hasReported = true
}

func (d *Duty) reportTransition(event, reason string, term int64) {
	if d.Scope != nil {
		d.Scope.Tagged(map[string]string{"duty": d.Name, "event": event, "reason": reason}).Counter("duty_transitions").Inc(1)
	}
	if d.Log != nil {
		d.Log.WithFields(logrus.Fields{
			"duty": d.Name, "event": event, "why": reason, "term": term, "revision": d.view.revision, "era": tracker.EraOf(d.view.revision),
		}).Info("this VM's hold of a duty changed")
	}
}
