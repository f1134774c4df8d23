package follower

import (
	"context"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// PushRequest sends changes to a peer.
type PushRequest struct {
	// After is the revision after which Page has the changes.
	After int64
	Page  replica.Page
}

// PushReply is the reply to a PushRequest.
type PushReply struct{ Summary replica.Summary }

// pushLocal sends the changes after a revision to the reachable peers in this VM's
// data centre. It does not wait for them, because a peer that hangs must not delay
// the next watch. Peers that miss the push fetch the changes after their next
// heartbeat.
func (f *Follower) pushLocal(ctx context.Context, after int64) {
	var local []membership.Member
	for _, member := range f.Heartbeat.View().Peers() {
		if member.DataCentre == f.Heartbeat.Self.DataCentre && member.Reachable {
			local = append(local, member)
		}
	}
	if len(local) == 0 {
		return
	}
	if f.localPushes.Add(1) > maxLocalPushes {
		f.localPushes.Add(-1)
		return
	}
	push := PushRequest{After: after, Page: f.Replica.Page(after)}
	f.spawn(func() {
		defer f.localPushes.Add(-1)
		f.pushTo(context.WithoutCancel(ctx), local, push)
	})
}

func (f *Follower) spawn(run func()) {
	if f.Spawn != nil {
		f.Spawn(run)
		return
	}
	go run()
}

// PushAll sends the given objects and the pending withdrawals to all other members.
// It retries until each has confirmed or ctx ends. It returns the names of the
// members that have confirmed, this VM included, and of those that have not, both
// sorted.
func (f *Follower) PushAll(ctx context.Context, objects []store.Object) (confirmed, unconfirmed []string) {
	push := PushRequest{Page: replica.Page{Listing: store.Listing{Objects: objects}, Pending: f.Replica.PendingWithdrawals()}}
	confirmed = []string{f.Heartbeat.ID.Name}
	unconfirmed = []string{}
	remaining := f.Heartbeat.View().Peers()
	for len(remaining) > 0 {
		acknowledged := f.pushTo(ctx, remaining, push)
		confirmed = append(confirmed, acknowledged...)
		remaining = slices.DeleteFunc(remaining, func(m membership.Member) bool { return slices.Contains(acknowledged, m.Name) })
		if len(remaining) == 0 || clock.Sleep(ctx, pushRetryDelay) != nil {
			break
		}
	}
	for _, member := range remaining {
		unconfirmed = append(unconfirmed, member.Name)
	}
	slices.Sort(confirmed)
	return confirmed, unconfirmed
}

// pushTo pushes once to each member and returns the names of those that confirmed.
func (f *Follower) pushTo(ctx context.Context, members []membership.Member, push PushRequest) (confirmed []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelPushes)
	ctx, cancel := context.WithTimeout(ctx, pushTimeout.Duration())
	defer cancel()
	for _, member := range members {
		slots <- struct{}{}
		group.Add(1)
		f.spawn(func() {
			defer group.Done()
			defer func() { <-slots }()
			var reply PushReply
			if err := f.Peers.Call(ctx, member.PeerAddress, ReceiverName+".Push", push, &reply); err != nil {
				f.Log.WithError(err).WithField("peer", member.Name).Debug("pushing changes to a peer failed; the peer fetches them after its next heartbeat")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, member.Name)
		})
	}
	group.Wait()
	return confirmed
}

// countLocalMembers returns the number of VMs in this VM's data centre that are not
// leaving, at least 1.
func (f *Follower) countLocalMembers() (count int) {
	for _, member := range f.Heartbeat.View().Members {
		if member.DataCentre == f.Heartbeat.Self.DataCentre && member.State != vm.StateLeaving {
			count++
		}
	}
	return max(count, 1)
}
