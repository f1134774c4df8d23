package divider

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// settleTimeout bounds a Settle call.
	settleTimeout = 1 * clock.Second
	// minSettleInterval is the least time between two settlements.
	minSettleInterval = 5 * clock.Millis(1)
)

// settleLoop settles loans with their lenders soon after slots are returned, many
// slots per call. A slot that was lent for a request of a few milliseconds must not
// stay counted as lent until the next round: the lenders would run out of slots and
// borrow in turn.
func (d *Divider) settleLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Holder.LoansEnded():
		}
		d.settleLoans(ctx)
		if clock.Sleep(ctx, minSettleInterval) != nil {
			return
		}
	}
}

// settle settles ended loans with their lenders and reclaims the slots lent to VMs
// that were removed from the platform's list or restarted.
func (d *Divider) settle(ctx context.Context) {
	view := d.View()
	for i := range view.Members {
		d.Holder.ReclaimLoans(view.Members[i].Name, view.Members[i].Incarnation)
	}
	for _, removed := range view.Removed {
		d.Holder.ReclaimLoans(removed.Name, removed.Incarnation+1)
		d.Holder.ForgetLender(removed.Name)
	}
	d.settleLoans(ctx)
}

// settleLoans sends each lender its settlement, if the lender has not confirmed it and
// has no Settle call in flight.
func (d *Divider) settleLoans(ctx context.Context) {
	for lender, settlement := range d.Holder.UnconfirmedSettlements() {
		if d.settling.Begin(lender) {
			go d.settleWith(ctx, lender, settlement)
		}
	}
}

func (d *Divider) settleWith(ctx context.Context, lender string, settlement *contract.Settlement) {
	defer d.settling.End(lender)
	ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	if err := d.call(ctx, lender, "Settle", settlement, &SettleReply{}); err != nil {
		d.count("limits_settlements_failed", 1)
		return
	}
	d.Holder.ConfirmSettlement(lender, settlement)
}
