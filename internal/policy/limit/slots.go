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
	// maxLenders bounds the peers that are asked for one request's slot.
	maxLenders = 4
	// noLoanRest is how long a peer that had no free slot of a service's endpoint
	// is not asked again for it.
	noLoanRest = 20 * clock.Millis(1)
)

// Lenders reaches the other VMs.
type Lenders interface {
	// Lenders returns the reachable peers, nearest first.
	Lenders() []vm.ID
	// Lend asks one peer for a slot. It returns an error if it did not answer in time.
	Lend(ctx context.Context, lender string, request *contract.LoanRequest) (contract.LoanReply, error)
}

// SlotPool gives out slots of endpoints, own ones and borrowed. Holder must be set;
// without Lenders nothing is borrowed.
type SlotPool struct {
	Holder  *contract.Holder
	Lenders Lenders
	Clock   clock.Clock
	// Scope is optional.
	Scope tally.Scope

	mu sync.Mutex
	// borrowed holds the loans in use by resource. Guarded by mu.
	borrowed map[contract.Resource][]loan
	// rests tells until when a peer has no slot of a resource. Guarded by mu.
	rests map[restKey]clock.Millis
}

type loan struct {
	lender string
	number int64
}

type restKey struct {
	lender   string
	resource contract.Resource
}

// Free returns how many own slots of an endpoint are free.
func (s *SlotPool) Free(resource contract.Resource) int {
	return s.Holder.Allocation(resource).FreeSlots()
}

// Take takes an own free slot.
func (s *SlotPool) Take(resource contract.Resource) bool {
	return s.Holder.Allocation(resource).TakeSlot()
}

// Release gives back a slot that Take or Borrow gave. Slots are alike, so a
// borrowed one goes back first.
func (s *SlotPool) Release(resource contract.Resource) {
	part := s.Holder.Allocation(resource)
	loan, found := s.popLoan(resource)
	if !found {
		part.ReleaseSlot()
		return
	}
	part.AddRunning(-1)
	s.Holder.EndLoan(loan.lender, loan.number)
}

// Borrow takes a slot of one of the candidates, most wanted first, from a peer.
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
		wanted := s.withoutResting(lender.Name, candidates)
		if len(wanted) == 0 {
			continue
		}
		asked++
		if resource, ok = s.borrowFrom(ctx, lender, wanted); ok {
			s.count("limit_slots_borrowed")
			return resource, true
		}
	}
	s.count("limit_slots_not_borrowed")
	return "", false
}

func (s *SlotPool) borrowFrom(ctx context.Context, lender vm.ID, candidates []contract.Resource) (resource contract.Resource, ok bool) {
	request := s.Holder.RequestLoan(lender, candidates)
	reply, err := s.Lenders.Lend(ctx, lender.Name, request)
	if err != nil {
		s.Holder.EndLoan(lender.Name, request.Loan)
		return "", false
	}
	if !s.Holder.AcceptLoanReply(lender.Name, request.Loan, &reply) {
		s.rest(lender.Name, candidates)
		return "", false
	}
	s.Holder.Allocation(reply.Resource).AddRunning(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.borrowed == nil {
		s.borrowed = map[contract.Resource][]loan{}
	}
	s.borrowed[reply.Resource] = append(s.borrowed[reply.Resource], loan{lender: lender.Name, number: request.Loan})
	return reply.Resource, true
}

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

func (s *SlotPool) withoutResting(lender string, candidates []contract.Resource) []contract.Resource {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	wanted := make([]contract.Resource, 0, len(candidates))
	for _, candidate := range candidates {
		if s.rests[restKey{lender, candidate}] <= now {
			wanted = append(wanted, candidate)
		}
	}
	return wanted
}

func (s *SlotPool) rest(lender string, candidates []contract.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rests == nil {
		s.rests = map[restKey]clock.Millis{}
	}
	until := s.Clock.Now() + noLoanRest
	for _, candidate := range candidates {
		s.rests[restKey{lender, candidate}] = until
	}
}

func (s *SlotPool) count(name string) {
	if s.Scope != nil {
		s.Scope.Counter(name).Inc(1)
	}
}
