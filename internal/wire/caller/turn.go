package caller

import (
	"context"
	"net/http"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// AwaitTurn waits until all earlier requests of the same connection are answered. A
// handler calls it before it runs a request. If mayOverlap, the request may run beside
// others of the connection and in any order: AwaitTurn does not wait for earlier ones and
// lets the next one begin. The error is a *reason.Refusal.
func AwaitTurn(ctx context.Context, request *http.Request, mayOverlap bool) error {
	s := streamOf(request)
	if s == nil {
		return nil
	}
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if mayOverlap {
		s.allowNext()
	} else if err := s.conn.pipeline.awaitTurn(ctx, s); err != nil {
		return err
	}
	if s.waited > 0 && ctx.Err() == context.DeadlineExceeded {
		return newLateRefusal()
	}
	return nil
}

// allowNext lets the next request of the connection begin. conn.mu must be held.
func (s *stream) allowNext() {
	s.allowsNext = true
	switch {
	case s.conn.pipeline != nil:
		s.conn.pipeline.begin()
	case s.conn.mustPipeline(s):
		// Interrupts the read of the connection, which then begins a pipeline.
		_ = s.conn.Conn.SetReadDeadline(pastDeadline)
	}
}

// awaitTurn waits until all requests before that of s are answered.
func (p *pipeline) awaitTurn(ctx context.Context, s *stream) error {
	if p == nil {
		return nil
	}
	start := clock.Clock{}.Now()
	defer func() { s.waited += clock.Clock{}.Now() - start }()
	defer context.AfterFunc(ctx, p.wake)()
	for {
		switch {
		case s.isCancelled || p.conn.hasLeft || ctx.Err() == context.Canceled:
			return reason.NotRun(reason.CallerGone, 0, "the connection ended before the request's turn")
		case ctx.Err() != nil:
			return newLateRefusal()
		case p.isTurnOf(s):
			return nil
		}
		p.changed.Wait()
	}
}

func newLateRefusal() error {
	return reason.NotRun(reason.DeadlinePassed, 0, "the deadline passed while the request waited behind others of its connection")
}

// wake makes all that wait for a change of the pipeline look again.
func (p *pipeline) wake() {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	p.changed.Broadcast()
}

// Waited returns how long the request waited behind earlier ones of its connection, before
// its handler began and in AwaitTurn.
func Waited(request *http.Request) clock.Millis {
	s := streamOf(request)
	if s == nil {
		return 0
	}
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.waited
}
