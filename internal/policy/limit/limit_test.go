package limit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const roundTrip = 35 * clock.Millis(1)

var large = contract.RateResource("artes", "large")

// fakePeer is the only other VM of the fleet. While frozen, it does not reply in time. Its
// replies arrive replyDelay late.
type fakePeer struct {
	limiter    limit.Limiter
	asked      atomic.Int64
	frozen     bool
	replyDelay clock.Millis
}

func (p *fakePeer) NearestPeers() []string { return []string{"vm2"} }

func (p *fakePeer) NearestPeersAtLink(contract.Resource) []string { return p.NearestPeers() }

func (p *fakePeer) Take(ctx context.Context, _ string, request limit.TakeRequest) (limit.TakeReply, error) {
	p.asked.Add(1)
	if p.frozen {
		<-time.After(250 * time.Millisecond)
		return limit.TakeReply{}, context.DeadlineExceeded
	}
	time.Sleep(roundTrip.Duration())
	reply := p.limiter.Serve(request)
	time.Sleep(p.replyDelay.Duration())
	return reply, ctx.Err()
}

func limiterWith(peer *fakePeer, own, peerShare contract.Share) *limit.Limiter {
	peer.limiter = limit.Limiter{Holder: holderOf(large, peerShare), MaxWait: limit.DefaultMaxWait}
	return &limit.Limiter{Holder: holderOf(large, own), Peers: peer, MaxWait: limit.DefaultMaxWait}
}

// admitConcurrently sends requests concurrently and returns how many are admitted.
func admitConcurrently(ctx context.Context, limiter *limit.Limiter, requests int) int64 {
	var admitted atomic.Int64
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if limiter.Admit(ctx, "artes", "large") == nil {
				admitted.Add(1)
			}
		})
	}
	all.Wait()
	return admitted.Load()
}

func TestEmptyShareTakesTokensFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peer := &fakePeer{}
		limiter := limiterWith(peer, contract.Share{}, contract.Share{Size: 50_000})
		g.Expect(admitConcurrently(context.Background(), limiter, 32)).To(Equal(int64(32)))
		g.Expect(peer.asked.Load()).To(BeNumerically("<=", 3), "queued requests are combined into one call")
		time.Sleep(time.Second)
	})
}

// A VM that was paused reads replies to calls that it made for requests which have left
// since. The tokens in them were spent before later requests came.
func TestTokenOfPeerAdmitsNoRequestThatCameAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peer := &fakePeer{replyDelay: 1 * clock.Second}
		limiter := limiterWith(peer, contract.Share{}, contract.Share{Size: contract.TokensPerRequest})
		leaving, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		g.Expect(limiter.Admit(leaving, "artes", "large")).NotTo(Succeed())
		g.Expect(limiter.Admit(context.Background(), "artes", "large")).NotTo(Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(peer.asked.Load()).To(BeNumerically(">", 0))
	})
}

// overload sends 1000 requests a second for 10 s and returns how many are admitted.
func overload(limiter *limit.Limiter) int64 {
	var all sync.WaitGroup
	var admitted atomic.Int64
	for range 10_000 {
		time.Sleep(time.Millisecond)
		all.Go(func() { admitted.Add(admitConcurrently(context.Background(), limiter, 1)) })
	}
	all.Wait()
	return admitted.Load()
}

func TestOverRateWorkspaceDoesNotFloodPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peer := &fakePeer{}
		admitted := overload(limiterWith(peer, contract.Share{Rate: 1000, Size: 1000}, contract.Share{Rate: 1000, Size: 1000}))
		g.Expect(admitted).To(BeNumerically("<=", 2+2*12))
		g.Expect(admitted).To(BeNumerically(">=", 18))
		g.Expect(peer.asked.Load()).To(BeNumerically("<", 200))
		time.Sleep(time.Second)
	})
}

// A peer that has just replied that it has no tokens must not be asked again for each
// request.
func TestPeerWithoutTokensIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peer := &fakePeer{}
		overload(limiterWith(peer, contract.Share{Rate: 1000, Size: 1000}, contract.Share{}))
		g.Expect(peer.asked.Load()).To(BeNumerically("<=", 2*13+1))
		time.Sleep(time.Second)
	})
}

func TestRetryAfterIsAccurate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limiter := &limit.Limiter{Holder: holderOf(large, contract.Share{Rate: 250, Size: 1000})}
		g.Expect(limiter.Admit(context.Background(), "artes", "large")).To(Succeed())
		refusal, ok := fault.As[*reason.Refusal](limiter.Admit(context.Background(), "artes", "large"))
		g.Expect(ok).To(BeTrue())
		g.Expect(refusal.Reason).To(Equal(reason.RateExceeded))
		g.Expect(refusal.Ran).To(Equal(reason.RanNo))
		g.Expect(refusal.RetryAfter).To(BeNumerically("~", 4*clock.Second, 1))
		time.Sleep(refusal.RetryAfter.Duration())
		g.Expect(limiter.Admit(context.Background(), "artes", "large")).To(Succeed())
	})
}

func TestWaitLeavesHalfOfRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peer := &fakePeer{frozen: true}
		limiter := limiterWith(peer, contract.Share{}, contract.Share{})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		g.Expect(limiter.Admit(ctx, "artes", "large")).NotTo(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("<=", 50*time.Millisecond))
		time.Sleep(time.Second)
	})
}

func TestUploadIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		link := contract.LinkResource("r1", "r2")
		limiter := &limit.Limiter{Holder: holderOf(link, contract.Share{Rate: 1_000_000, Size: 100_000})}
		start := time.Now()
		g.Expect(limiter.Wait(context.Background(), link, 2_100_000)).To(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("~", 2*time.Second, 100*time.Millisecond))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.Expect(limiter.Wait(ctx, link, 10_000_000)).To(MatchError(context.DeadlineExceeded))
	})
}

// A peer without bytes must not be asked again for each waiting chunk.
func TestLinkWithoutBytesDoesNotFloodPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		link := contract.LinkResource("r1", "r2")
		peer := &fakePeer{}
		peer.limiter = limit.Limiter{Holder: holderOf(link, contract.Share{})}
		limiter := &limit.Limiter{Holder: holderOf(link, contract.Share{Rate: 1000, Size: 1000}), Peers: peer}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() { _ = limiter.Wait(ctx, link, 100_000) })
		}
		all.Wait()
		g.Expect(peer.asked.Load()).To(BeNumerically("<=", 21))
	})
}

// lenderWithoutSlots is the only other VM of the fleet; it never has a free slot.
type lenderWithoutSlots struct{ asked int }

func (l *lenderWithoutSlots) Lenders() []vm.ID { return []vm.ID{{Name: "vm2", Incarnation: 1}} }

func (l *lenderWithoutSlots) Lend(context.Context, string, *contract.LoanRequest) (contract.LoanReply, error) {
	l.asked++
	return contract.LoanReply{Lender: l.Lenders()[0]}, nil
}

func TestPeerWithoutFreeSlotIsNotAskedForEachRequest(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	manual.Advance(clock.Second)
	lender := &lenderWithoutSlots{}
	slot := contract.SlotsResource("artes", "e1")
	slots := &limit.SlotPool{Holder: holderOf(slot, contract.Share{}), Lenders: lender, Clock: manual.Clock()}
	for range 100 {
		_, ok := slots.Borrow(context.Background(), []contract.Resource{slot})
		g.Expect(ok).To(BeFalse())
	}
	g.Expect(lender.asked).To(Equal(1))
	manual.Advance(clock.Second)
	_, _ = slots.Borrow(context.Background(), []contract.Resource{slot})
	g.Expect(lender.asked).To(Equal(2))
}
