package divider

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// wakeDelay is how long a VM with unmet demand waits for an offer, at least,
	// before it sends a Wake to the divider.
	wakeDelay = 300 * clock.Millis(1)
	// wakeTimeout bounds a Wake call.
	wakeTimeout = 500 * clock.Millis(1)
)

// sendWake sends a Wake to the divider if requests here exceed this VM's shares and
// no offer has come for wakeDelay or a round, whichever is longer. Without a Wake the
// VM could wait long, because the divider rarely calls a VM that had nothing to
// report.
func (d *Divider) sendWake(ctx context.Context) {
	name := d.Holder.DividerToNotify(max(wakeDelay, d.roundInterval()))
	if name == "" || !d.waking.Begin(name) {
		return
	}
	go func() {
		defer d.waking.End(name)
		ctx, cancel := context.WithTimeout(ctx, wakeTimeout.Duration())
		defer cancel()
		d.count("limits_wakes", 1)
		if err := d.call(ctx, name, "Wake", &WakeRequest{From: d.Self}, &WakeReply{}); err != nil {
			d.Log.WithError(err).WithField("vm", name).Debug("sending a Wake to the divider failed; unmet demand waits for the next offer")
		}
	}()
}

// receiveWake makes the allocator include a VM with unmet demand in the next round
// and starts it, if this VM is the divider.
func (d *Divider) receiveWake(name string) {
	d.mu.Lock()
	isDivider := d.allocator != nil
	if isDivider {
		d.allocator.MarkActive(name)
	}
	d.mu.Unlock()
	if isDivider {
		d.roundDue.Notify()
	}
}
