package mover

import (
	"context"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// advanceInterval is the time between two rounds of the lease holder's decisions.
const advanceInterval = 1 * clock.Second

// advanceLoop advances the moves in rounds, and waits longer after a round that failed.
func (m *Mover) advanceLoop(ctx context.Context) {
	backoff := retry.Backoff{Max: maxBackoff}
	wait := advanceInterval
	for clock.Sleep(ctx, wait) == nil {
		err := m.AdvanceMoves(ctx)
		if err == nil {
			wait = advanceInterval + backoff.Reset()
			continue
		}
		wait = advanceInterval + backoff.NextDelay()
		if m.Log != nil {
			m.Log.WithError(err).Warn("advancing version moves failed; retrying in the next round")
		}
	}
}

// AdvanceMoves does one round of the lease holder's work, if this VM holds the lease.
func (m *Mover) AdvanceMoves(ctx context.Context) (err error) {
	term, held := m.Lease.Term()
	snapshot := m.Snapshot()
	if !held || !m.hasWork(snapshot, term) {
		return nil
	}
	replies, isComplete := m.collect(ctx, term)
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		input := m.newInput(service, term, replies, isComplete)
		state, e := parseState(snapshot.Moves[service.Name])
		if e != nil {
			err = e
			continue
		}
		if _, changed := move.Advance(state, input); !changed {
			continue
		}
		if e := m.write(ctx, input); e != nil {
			err = e
		}
	}
	return err
}

// hasWork reports whether a move is in progress or about to change. If not, the lease
// holder need not call the peers.
func (m *Mover) hasWork(snapshot *replica.Snapshot, term int64) bool {
	ownReplies := []CollectReply{{Suspensions: m.Guard.Suspensions()}}
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		state, err := parseState(snapshot.Moves[service.Name])
		if err != nil || state != nil && !state.IsFinal() {
			return true
		}
		if _, changed := move.Advance(state, m.newInput(service, term, ownReplies, false)); changed {
			return true
		}
	}
	return false
}

// newInput returns what move.Advance takes to decide on a service's move.
func (m *Mover) newInput(service *replica.Service, term int64, replies []CollectReply, isComplete bool) move.Input {
	input := move.Input{
		Service:    service.Service,
		Revision:   service.Revision,
		VM:         m.Self.Name,
		Term:       term,
		Now:        m.Clock.Wall(),
		AllReplied: isComplete,
		Suspension: newestSuspension(replies, service.Name),
	}
	for i := range replies {
		input.Evidence = append(input.Evidence, replies[i].Evidence...)
	}
	return input
}

// newestSuspension returns the suspension of the service's newest attempt among the
// replies, or nil if there is none.
func newestSuspension(replies []CollectReply, service string) (newest *move.Suspension) {
	for i := range replies {
		for j := range replies[i].Suspensions {
			suspension := &replies[i].Suspensions[j]
			isNewer := newest == nil || suspension.Attempt > newest.Attempt
			if suspension.Service == service && isNewer {
				newest = suspension
			}
		}
	}
	return newest
}

// collect requests the evidence and suspensions of all reachable peers and adds this
// VM's own. isComplete reports whether every listed VM replied.
func (m *Mover) collect(ctx context.Context, term int64) (replies []CollectReply, isComplete bool) {
	m.acceptTerm(term)
	replies = append(replies, m.ownReply())
	var mu sync.Mutex
	request := &CollectRequest{From: m.Self, Term: term, Suspensions: m.Guard.Suspensions()}
	forEachPeer(m.View().ReachablePeers(), func(member membership.Member) {
		reply := CollectReply{}
		if m.call(ctx, member, "Collect", request, &reply) != nil {
			return
		}
		m.Guard.SetPeerEvidence(reply.VM.Name, reply.Evidence)
		m.applySuspensions(reply.Suspensions)
		mu.Lock()
		defer mu.Unlock()
		replies = append(replies, reply)
	})
	return replies, len(replies) == 1+len(m.View().Peers())
}
