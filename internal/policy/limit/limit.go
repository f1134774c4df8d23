// Package limit admits requests and bytes against limits that count across the
// whole fleet. A VM admits from its own share; a request that finds the share
// empty is admitted from a peer's share, if one has tokens, and spends the token
// there at that moment.
package limit

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// minRetryAfter is the shortest retry hint.
	minRetryAfter = 10 * clock.Millis(1)
	// unknownRetryAfter is the retry hint when no VM said when it will have a token.
	unknownRetryAfter = 1 * clock.Second
	// linkPoll bounds each wait for a link's bytes, because shares may grow.
	linkPoll = 50 * clock.Millis(1)
	// linkPiece is the most bytes taken from a link at once.
	linkPiece = 64 << 10
)

// TakeRequest asks a peer to admit requests from its share.
type TakeRequest struct {
	Resource contract.Resource
	// Want is the number of requests that wait.
	Want int64
}

// TakeReply says how many requests were admitted. The tokens are spent: a lost
// reply loses them.
type TakeReply struct {
	Taken int64
	// Wait is how long the peer will have no token, or contract.Never.
	Wait clock.Millis
}

// Peers reaches the other VMs.
type Peers interface {
	// Near returns the names of the reachable peers, nearest first.
	Near() []string
	// Take asks one peer. It returns an error if the peer did not answer in time.
	Take(ctx context.Context, peer string, request TakeRequest) (TakeReply, error)
}

// Limiter admits requests against workspaces' rates and uploads against links.
// Holder must be set; without Peers only the VM's own share counts.
type Limiter struct {
	Holder *contract.Holder
	Peers  Peers
	Clock  clock.Clock
	// Scope is optional.
	Scope tally.Scope

	// gates is replaced, never changed, under mu. It spares each request the
	// building of a resource name.
	gates atomic.Pointer[map[gateKey]*gate]

	mu       sync.Mutex
	counters counters
}

type gateKey struct{ service, workspace string }

// Admit returns nil if the request may run now, or a rate_exceeded refusal.
func (l *Limiter) Admit(ctx context.Context, service, workspace string) error {
	gate := l.gate(gateKey{service, workspace})
	if gate.part.Take(contract.Request) {
		return nil
	}
	if l.Peers != nil && gate.admitRemotely(ctx) {
		gate.counters.remote.Inc(1)
		return nil
	}
	gate.counters.refused.Inc(1)
	return reason.NotRun(reason.RateExceeded, gate.retryAfter(l.Clock.Now()), "workspace %s is over its rate in %s", workspace, service)
}

// Serve answers a peer's TakeRequest from this VM's share.
func (l *Limiter) Serve(request TakeRequest) TakeReply {
	taken, wait := l.Holder.Part(request.Resource).TakeFor(request.Want, contract.Request)
	return TakeReply{Taken: taken, Wait: wait}
}

// Wait paces an upload: it returns when bytes of the link's share were taken, or
// with ctx's error.
func (l *Limiter) Wait(ctx context.Context, resource contract.Resource, bytes int64) error {
	part := l.Holder.Part(resource)
	for bytes > 0 {
		piece := min(bytes, linkPiece, max(1, part.Share().Size))
		if part.Take(piece) {
			bytes -= piece
			continue
		}
		wait := min(part.Wait(piece), linkPoll)
		if err := clock.Sleep(ctx, max(wait, 1)); err != nil {
			return err
		}
	}
	return nil
}

func (l *Limiter) gate(key gateKey) *gate {
	if gates := l.gates.Load(); gates != nil {
		if known := (*gates)[key]; known != nil {
			return known
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	grown := map[gateKey]*gate{}
	if gates := l.gates.Load(); gates != nil {
		if known := (*gates)[key]; known != nil {
			return known
		}
		for name, known := range *gates {
			grown[name] = known
		}
	}
	resource := contract.RateOf(key.service, key.workspace)
	made := &gate{resource: resource, part: l.Holder.Part(resource), peers: l.Peers, clock: l.Clock, counters: l.countersLocked()}
	grown[key] = made
	l.gates.Store(&grown)
	return made
}

// counters are the Limiter's metrics.
type counters struct {
	remote, refused, asked, unanswered tally.Counter
}

func (l *Limiter) countersLocked() *counters {
	if l.counters.remote == nil {
		scope := l.Scope
		if scope == nil {
			scope = tally.NoopScope
		}
		l.counters = counters{
			remote:     scope.Counter("limit_admitted_from_peers"),
			refused:    scope.Counter("limit_refused"),
			asked:      scope.Counter("limit_peers_asked"),
			unanswered: scope.Counter("limit_peers_unanswered"),
		}
	}
	return &l.counters
}

// Links takes bytes from the shares of links. Holder must be set.
type Links struct {
	Holder *contract.Holder
}

// Take reports whether the link's share has the bytes now, and takes them.
func (l Links) Take(resource contract.Resource, bytes int64) bool {
	return l.Holder.Part(resource).Take(bytes)
}
