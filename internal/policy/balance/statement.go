package balance

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// statementMemory is how long what an endpoint said is kept after the directory has lost the
// endpoint: its entry may come back while it runs on.
const statementMemory = 10 * clock.Minute

// statement holds what one run of an endpoint said of itself in its responses. It binds this
// VM whatever the store says of the endpoint. Guarded by the balancer's mutex.
type statement struct {
	started clock.Millis
	address string
	// isLeaving is set once the endpoint has said that it leaves, which it does not take
	// back.
	isLeaving bool
	// pausedUntil is the end of the pause for which the endpoint has asked this VM.
	pausedUntil clock.Millis
	limit       limitState
	// listedAt is when the directory last had the endpoint.
	listedAt clock.Millis
}

// record records what a response says.
func (s *statement) record(result Result, now clock.Millis) {
	s.limit.set(result.Limit, now, now)
	s.isLeaving = s.isLeaving || result.IsLeaving
	s.pausedUntil = max(s.pausedUntil, now+result.Pause)
}

// isLeaving reports whether the endpoint must get no new requests because it leaves, by the
// directory or by what it said itself.
func (s *endpointState) isLeaving() bool { return s.endpoint.Draining || s.said.isLeaving }

// statementOf returns the statement of the run of an endpoint that the directory lists. The
// caller must hold mu.
func (b *Balancer) statementOf(e *directory.Endpoint, now clock.Millis) *statement {
	if b.statements == nil {
		b.statements = map[string]*statement{}
	}
	said := b.statements[e.ID]
	if said == nil || said.started != e.Started || said.address != e.Address {
		said = &statement{started: e.Started, address: e.Address}
		b.statements[e.ID] = said
	}
	said.listedAt = now
	return said
}

// forgetStatements drops the statements of endpoints that the directory lost long ago. The
// caller must hold mu.
func (b *Balancer) forgetStatements(now clock.Millis) {
	for id, said := range b.statements {
		if now-said.listedAt > statementMemory {
			delete(b.statements, id)
		}
	}
}
