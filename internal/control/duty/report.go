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
	// reasonResumed is of a holder that could not renew in time, and was not replaced.
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
	case replaced.mayHaveActed(""):
		return reasonFirst
	default:
		return reasonFree
	}
}

// reporter logs and counts the changes of a tenure.
type reporter struct {
	wasHeld bool
	term    int64
}

// report logs and counts what has changed since it was called last. The caller must hold
// mu.
func (d *Duty) report(now clock.Millis) {
	last := d.reported
	isHeld := d.view.isHeld(now)
	d.reported = reporter{isHeld, d.view.term}
	if last.wasHeld && (!isHeld || d.view.term != last.term) {
		event, reason := eventLost, reasonNotRenewed
		switch {
		case d.view.isReleased:
			event, reason = eventReleased, reasonStop
		case d.view.loss != "":
			reason = d.view.loss
		}
		d.reportEvent(event, reason, last.term)
		d.view.loss = ""
	}
	if isHeld && (!last.wasHeld || d.view.term != last.term) {
		d.reportEvent(eventAcquired, d.view.gain, d.view.term)
	}
	if d.Scope != nil && (last.wasHeld != isHeld || !d.hasReported) {
		level := 0.0
		if isHeld {
			level = 1
		}
		d.Scope.Tagged(map[string]string{"duty": d.Name}).Gauge("duty_held").Update(level)
		d.hasReported = true
	}
}

func (d *Duty) reportEvent(event, reason string, term int64) {
	if d.Scope != nil {
		d.Scope.Tagged(map[string]string{"duty": d.Name, "event": event, "reason": reason}).Counter("duty_transitions").Inc(1)
	}
	if d.Log != nil {
		d.Log.WithFields(logrus.Fields{
			"duty": d.Name, "event": event, "why": reason, "term": term, "holder": d.view.known.Holder.Name,
			"revision": d.view.revision, "era": tracker.EraOf(d.view.revision),
		}).Info("a duty's holder changed")
	}
}
