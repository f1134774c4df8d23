package limit

import (
	"context"
	"sync"

	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// maxLenders bounds the number of peers asked for a slot for one request.
	maxLenders = 4
	// noSlotBackoff is how long a peer is not asked again for slots of an endpoint
	// after it had none free.
	noSlotBackoff = 20 * clock.Millis(1)
)

// Lenders lists the peers that may lend slots and sends them loan requests.
type Lenders interface {
	// Lenders returns the reachable peers, nearest first.
	Lenders() []vm.ID
	// Lend asks one peer for a slot. It returns an error if the peer did not reply in
	// time.
	Lend(ctx context.Context, lender string, request *contract.LoanRequest) (contract.LoanReply, error)
}

// SlotPool hands out slots of endpoints: those of this VM's share, and slots borrowed
// from peers. Holder must be set. Without Lenders nothing is borrowed.
type SlotPool struct {
	Holder  *contract.Holder
	Lenders Lenders
	Clock   clock.Clock
	// Scope receives the metrics. It may be nil.
	Scope tally.Scope

	mu sync.Mutex
	// borrowed holds the loans in use, by resource, oldest first. Guarded by mu.
	borrowed map[contract.Resource][]loan
	// retryAt is the time from which a peer may be asked again for a slot of an
	// endpoint. Guarded by mu.
	retryAt map[lenderResource]clock.Millis
}

// loan identifies a borrowed slot: id is unique among the loans from one lender.
type loan struct {
	lender string
	id     int64
}

// lenderResource identifies the slots of one endpoint at one lender.
type lenderResource struct {
	lender   string
	resource contract.Resource
}

// Free returns how many slots of the endpoint are free in this VM's share.
func (s *SlotPool) Free(resource contract.Resource) int {
	return s.Holder.Allocation(resource).FreeSlots()
}

// Take reports whether it took a free slot of this VM's share.
func (s *SlotPool) Take(resource contract.Resource) bool {
	return s.Holder.Allocation(resource).TakeSlot()
}

// Release releases a slot of the endpoint that Take or Borrow returned. As the slots of
// an endpoint are interchangeable, it returns a borrowed one first, if there is any.
func (s *SlotPool) Release(resource contract.Resource) {
	allocation := s.Holder.Allocation(resource)
	loan, found := s.popLoan(resource)
	if !found {
		allocation.ReleaseSlot()
		return
	}
	allocation.AddRunning(-1)
	s.Holder.EndLoan(loan.lender, loan.id)
}

// Borrow borrows a slot of one of the candidates from a peer. The candidates are in
// order of preference. ok is false if no slot could be borrowed.
func (s *SlotPool) Borrow(ctx context.Context, candidates []contract.Resource) (resource contract.Resource, ok bool) {
	if len(candidates) == 0 || s.Lenders == nil {
		return "", false
	}
	s.Holder.Allocation(candidates[0]).AddUnmet(1)
	asked := 0
	for _, lender := range s.Lenders.Lenders() {
		if asked == maxLenders || ctx.Err() != nil {
			break
		}
		available := s.withoutBackingOff(lender.Name, candidates)
		if len(available) == 0 {
			continue
		}
		asked++
		if resource, ok = s.borrowFrom(ctx, lender, available); ok {
			s.count("limit_slots_borrowed")
			return resource, true
		}
	}
	s.count("limit_slots_not_borrowed")
	return "", false
}

// borrowFrom asks one lender for a slot of one of the candidates.
func (s *SlotPool) borrowFrom(ctx context.Context, lender vm.ID, candidates []contract.Resource) (resource contract.Resource, ok bool) {
	request := s.Holder.RequestLoan(lender, candidates)
	reply, err := s.Lenders.Lend(ctx, lender.Name, request)
	if err != nil {
		s.Holder.EndLoan(lender.Name, request.Loan)
		return "", false
	}
	if !s.Holder.AcceptLoanReply(lender.Name, request.Loan, &reply) {
		s.backOff(lender.Name, candidates)
		return "", false
	}
	s.Holder.Allocation(reply.Resource).AddRunning(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.borrowed == nil {
		s.borrowed = map[contract.Resource][]loan{}
	}
	s.borrowed[reply.Resource] = append(s.borrowed[reply.Resource], loan{lender: lender.Name, id: request.Loan})
	return reply.Resource, true
}

// popLoan removes and returns the latest loan in use of a resource.
func (s *SlotPool) popLoan(resource contract.Resource) (popped loan, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	loans := s.borrowed[resource]
	if len(loans) == 0 {
		return loan{}, false
	}
	s.borrowed[resource] = loans[:len(loans)-1]
	return loans[len(loans)-1], true
}

// withoutBackingOff returns the candidates for which the lender may be asked.
func (s *SlotPool) withoutBackingOff(lender string, candidates []contract.Resource) []contract.Resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	available := make([]contract.Resource, 0, len(candidates))
	for _, candidate := range candidates {
		if s.retryAt[lenderResource{lender, candidate}] <= now {
			available = append(available, candidate)
		}
	}
	return available
}

// backOff records that the lender has no free slot of the candidates. It is not asked
// for them again until noSlotBackoff has passed.
func (s *SlotPool) backOff(lender string, candidates []contract.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryAt == nil {
		s.retryAt = map[lenderResource]clock.Millis{}
	}
	until := s.Clock.Now() + noSlotBackoff
	for _, candidate := range candidates {
		s.retryAt[lenderResource{lender, candidate}] = until
	}
}

func (s *SlotPool) count(name string) {
	if s.Scope != nil {
		s.Scope.Counter(name).Inc(1)
	}
}
