// Package limit admits requests and bytes against limits that count across the
// whole fleet. A VM admits from its own share; a request that finds the share
// empty is admitted from a peer's share, if one has tokens, and spends the token
// there at that moment. If none has, it waits a little for the next token.
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
)

// TakeRequest asks a peer to admit requests, or bytes of a link, from its share.
type TakeRequest struct {
	Resource contract.Resource
	// Want is the number of requests, or bytes, that wait.
	Want int64
	// Patience is how long the peer may keep the question until it has a token.
	Patience clock.Millis
}

// TakeReply says how many requests or bytes were admitted. The tokens are spent: a lost
// reply loses them.
type TakeReply struct {
	Taken int64
	// Wait is how long the peer will have no token, or contract.Never.
	Wait clock.Millis
	// Share is the peer's share, and Left the tokens in it after the take.
	Share contract.Share
	Left  int64
}

// Peers reaches the other VMs.
type Peers interface {
	// Near returns the names of the reachable peers, nearest first.
	Near() []string
	// NearLink returns those of the two regions at the ends of a link, one of which
	// is this VM's.
	NearLink(link contract.Resource) []string
	// Take asks one peer. It returns an error if the peer did not answer in time.
	Take(ctx context.Context, peer string, request TakeRequest) (TakeReply, error)
}

// Limiter admits requests against workspaces' rates, and uploads and answers against
// links.
// Holder must be set; without Peers only the VM's own share counts.
type Limiter struct {
	Holder *contract.Holder
	Peers  Peers
	Clock  clock.Clock
	// MaxWait is how long a request may wait for a token, beyond the time that
	// asking peers takes. 0 means that it does not wait. See DefaultMaxWait.
	MaxWait clock.Millis
	// Scope is optional.
	Scope tally.Scope

	// gates is replaced, never changed, under mu. It spares each request the
	// building of a resource name.
	gates atomic.Pointer[map[gateKey]*gate]

	mu       sync.Mutex
	counters counters
	// links holds the gates of links. Guarded by mu.
	links map[contract.Resource]*linkGate
}

type gateKey struct{ service, workspace string }

// Admit returns nil if the request may run now, or a rate_exceeded refusal.
func (l *Limiter) Admit(ctx context.Context, service, workspace string) error {
	gate := l.gate(gateKey{service, workspace})
	if gate.takeOwnFirst() {
		return nil
	}
	if (l.Peers != nil || l.MaxWait > 0) && gate.admitLater(ctx) {
		gate.counters.later.Inc(1)
		return nil
	}
	gate.counters.refused.Inc(1)
	return reason.NotRun(reason.RateExceeded, gate.retryAfter(l.Clock.Now()), "workspace %s is over its rate in %s", workspace, service)
}

// Serve answers a peer's TakeRequest from this VM's share.
func (l *Limiter) Serve(request TakeRequest) TakeReply {
	if request.Resource.Kind() == contract.KindLink {
		return l.serveBytes(request)
	}
	part := l.Holder.Allocation(request.Resource)
	taken, wait := part.TakeMultiple(request.Want, contract.TokensPerRequest)
	if patience := min(request.Patience, longestPatience, l.MaxWait); taken == 0 && wait <= patience {
		if service, workspace, ok := request.Resource.Workspace(); ok && l.gate(gateKey{service, workspace}).serveLater(patience) {
			taken, wait = 1, part.Wait(contract.TokensPerRequest)
		}
	}
	return TakeReply{Taken: taken, Wait: wait, Share: part.Share(), Left: part.AvailableTokens()}
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
	resource := contract.RateResource(key.service, key.workspace)
	made := &gate{resource: resource, part: l.Holder.Allocation(resource), limiter: l, counters: l.countersLocked()}
	grown[key] = made
	l.gates.Store(&grown)
	return made
}

// counters are the Limiter's metrics.
type counters struct {
	later, refused, asked, unanswered, bytesFromPeers tally.Counter
}

func (l *Limiter) metrics() *counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countersLocked()
}

func (l *Limiter) countersLocked() *counters {
	if l.counters.later == nil {
		scope := l.Scope
		if scope == nil {
			scope = tally.NoopScope
		}
		l.counters = counters{
			later:      scope.Counter("limit_admitted_later"),
			refused:    scope.Counter("limit_refused"),
			asked:      scope.Counter("limit_peers_asked"),
			unanswered: scope.Counter("limit_peers_unanswered"),

			bytesFromPeers: scope.Counter("limit_bytes_from_peers"),
		}
	}
	return &l.counters
}

// LinkLimiter takes bytes from the shares of links. Holder must be set.
type LinkLimiter struct {
	Holder *contract.Holder
}

// Take reports whether the link's share has the bytes now, and takes them.
func (l LinkLimiter) Take(resource contract.Resource, bytes int64) bool {
	return l.Holder.Allocation(resource).Take(bytes)
}
