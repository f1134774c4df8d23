// Package limit admits requests and bytes against limits that apply to the whole fleet.
// Each VM holds a share of every limit, which is a token bucket of its own; see package
// contract. The other VMs are its peers. A request that finds the VM's share empty is
// admitted with a token of a peer's share, which the peer spends when it is asked. If
// no peer has a token, the request waits for the next token for a limited time. Bytes
// sent over a link between regions are limited in the same way, except that they wait
// until the context ends.
//
// SlotPool takes slots of endpoints from the VM's share, and borrows slots from peers.
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
	// minRetryAfter is the shortest retry hint in a refusal.
	minRetryAfter = 10 * clock.Millis(1)
	// unknownRetryAfter is the retry hint if no VM has reported when it will have a
	// token.
	unknownRetryAfter = 1 * clock.Second
)

// TakeRequest asks a peer to spend tokens of its share: requests of a workspace, or
// bytes of a link.
type TakeRequest struct {
	Resource contract.Resource
	// Want is the number of requests, or bytes, that are waiting.
	Want int64
	// Patience is how long the peer may delay its reply to wait for a token.
	Patience clock.Millis
}

// TakeReply reports how many requests or bytes the peer admitted. Their tokens are
// spent even if the reply is lost.
type TakeReply struct {
	Taken int64
	// Wait is the time until the peer will have a token, or contract.Never.
	Wait clock.Millis
	// Share is the peer's share, and Left the number of tokens left in it.
	Share contract.Share
	Left  int64
}

// Peers lists the peers and sends them requests for tokens.
type Peers interface {
	// NearestPeers returns the names of the reachable peers, nearest first.
	NearestPeers() []string
	// NearestPeersAtLink returns the names of the reachable peers in the two regions at
	// the ends of a link, nearest first. One of the regions is this VM's.
	NearestPeersAtLink(link contract.Resource) []string
	// Take sends the request to one peer. It returns an error if the peer did not reply
	// in time.
	Take(ctx context.Context, peer string, request TakeRequest) (TakeReply, error)
}

// Limiter admits requests against the rates of workspaces, and the bytes of uploads and
// responses against the bandwidth of links. Holder must be set. Without Peers only the
// VM's own share is used.
type Limiter struct {
	Holder *contract.Holder
	Peers  Peers
	Clock  clock.Clock
	// MaxWait bounds how long a request waits for a token. If it is 0, a request waits
	// only until the peers have been asked. See DefaultMaxWait.
	MaxWait clock.Millis
	// Scope receives the metrics. It may be nil.
	Scope tally.Scope

	// workspaces holds the limiters by workspace. The map is replaced under mu and
	// never modified, so readers need no lock. It is keyed by workspaceKey to avoid
	// building the name of a resource for each request.
	workspaces atomic.Pointer[map[workspaceKey]*workspaceLimiter]

	mu       sync.Mutex
	counters counters
	// links holds the state of requests to peers for bytes of each link. Guarded by mu.
	links map[contract.Resource]*linkPeers
}

// workspaceKey identifies the rate limit of one workspace in one service.
type workspaceKey struct{ service, workspace string }

// Admit takes a token for one request of the workspace, which may run if the error is
// nil. Otherwise the error is a *reason.Refusal with reason.RateExceeded.
func (l *Limiter) Admit(ctx context.Context, service, workspace string) error {
	w := l.workspace(workspaceKey{service, workspace})
	if w.takeOwn() {
		return nil
	}
	if (l.Peers != nil || l.MaxWait > 0) && w.waitForToken(ctx) {
		w.counters.admittedLater.Inc(1)
		return nil
	}
	w.counters.refused.Inc(1)
	return reason.NotRun(reason.RateExceeded, w.retryAfter(l.Clock.Now()), "workspace %s is over its rate in %s", workspace, service)
}

// Serve handles a peer's TakeRequest with this VM's share.
func (l *Limiter) Serve(request TakeRequest) TakeReply {
	if request.Resource.Kind() == contract.KindLink {
		return l.serveBytes(request)
	}
	allocation := l.Holder.Allocation(request.Resource)
	taken, wait := allocation.TakeMultiple(request.Want, contract.TokensPerRequest)
	if maxWait := min(request.Patience, maxPeerWait, l.MaxWait); taken == 0 && wait <= maxWait {
		if service, workspace, ok := request.Resource.Workspace(); ok && l.workspace(workspaceKey{service, workspace}).admitForPeer(maxWait) {
			taken, wait = 1, allocation.Wait(contract.TokensPerRequest)
		}
	}
	return TakeReply{Taken: taken, Wait: wait, Share: allocation.Share(), Left: allocation.AvailableTokens()}
}

// workspace returns the limiter of a workspace in a service, created at first use.
func (l *Limiter) workspace(key workspaceKey) *workspaceLimiter {
	if limiters := l.workspaces.Load(); limiters != nil {
		if known := (*limiters)[key]; known != nil {
			return known
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := map[workspaceKey]*workspaceLimiter{}
	if limiters := l.workspaces.Load(); limiters != nil {
		if known := (*limiters)[key]; known != nil {
			return known
		}
		for name, known := range *limiters {
			updated[name] = known
		}
	}
	resource := contract.RateResource(key.service, key.workspace)
	created := &workspaceLimiter{resource: resource, allocation: l.Holder.Allocation(resource), limiter: l, counters: l.countersLocked()}
	updated[key] = created
	l.workspaces.Store(&updated)
	return created
}

// counters are the Limiter's metrics.
type counters struct {
	admittedLater, refused, peersAsked, peersUnanswered, bytesFromPeers tally.Counter
}

func (l *Limiter) metrics() *counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countersLocked()
}

func (l *Limiter) countersLocked() *counters {
	if l.counters.admittedLater == nil {
		scope := l.Scope
		if scope == nil {
			scope = tally.NoopScope
		}
		l.counters = counters{
			admittedLater:   scope.Counter("limit_admitted_later"),
			refused:         scope.Counter("limit_refused"),
			peersAsked:      scope.Counter("limit_peers_asked"),
			peersUnanswered: scope.Counter("limit_peers_unanswered"),

			bytesFromPeers: scope.Counter("limit_bytes_from_peers"),
		}
	}
	return &l.counters
}

// LinkLimiter takes bytes from this VM's shares of links. Holder must be set.
type LinkLimiter struct {
	Holder *contract.Holder
}

// Take reports whether this VM's share of the link has the given number of bytes now,
// and takes them if so.
func (l LinkLimiter) Take(resource contract.Resource, bytes int64) bool {
	return l.Holder.Allocation(resource).Take(bytes)
}
