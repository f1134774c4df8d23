package order_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/order"
)

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Config{Seed: 4, Checks: 400, Steps: 60})) }

// storeFault is a fault injected into one call of the fake store.
type storeFault string

const (
	faultNone        storeFault = "none"
	faultReplyLost   storeFault = "reply lost after the change"
	faultRequestLost storeFault = "request lost before the change"
	faultAppliedLate storeFault = "reply lost, change takes effect later"
	faultUnavailable storeFault = "unavailable"
	faultBusy        storeFault = "busy"
)

// fakeStore is an in-memory store that injects faults into its calls.
type fakeStore struct {
	objects map[string]store.Object
	version int64
	// nextFault returns the fault of a call. It may run other operations first.
	nextFault func() storeFault
	// pending holds changes that take effect later.
	pending []func()
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Object, error) {
	if fault := f.nextFault(); fault != faultNone {
		return store.Object{}, store.ErrUnavailable.New("%s", fault)
	}
	object, found := f.objects[key]
	if !found {
		return store.Object{}, store.ErrNotFound.New("no %s", key)
	}
	return object, nil
}

func (f *fakeStore) List(context.Context, string) (listing store.Listing, err error) {
	for _, object := range f.objects {
		listing.Objects = append(listing.Objects, object)
	}
	return listing, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	return f.change(key, ifVersion, func() {
		f.objects[key] = store.Object{Key: key, Version: f.version, Value: value}
	})
}

func (f *fakeStore) Delete(_ context.Context, key string, ifVersion int64) (int64, error) {
	return f.change(key, ifVersion, func() { delete(f.objects, key) })
}

func (f *fakeStore) change(key string, ifVersion int64, apply func()) (int64, error) {
	try := func() (int64, error) {
		if f.objects[key].Version != ifVersion {
			return 0, store.ErrConflict.New("not at %d", ifVersion)
		}
		f.version++
		apply()
		return f.version, nil
	}
	switch fault := f.nextFault(); fault {
	case faultNone:
		return try()
	case faultReplyLost:
		_, _ = try()
		return 0, store.ErrOutcomeUnknown.New("%s", fault)
	case faultAppliedLate:
		f.pending = append(f.pending, func() { _, _ = try() })
		return 0, store.ErrOutcomeUnknown.New("%s", fault)
	case faultRequestLost:
		return 0, store.ErrOutcomeUnknown.New("%s", fault)
	case faultBusy:
		return 0, store.ErrOverBudget.New("%s", fault)
	default:
		return 0, store.ErrUnavailable.New("%s", fault)
	}
}

// model consists of several VMs and one store. It counts how often each order
// ran, to check the VMs' results against.
type model struct {
	t     *rapid.T
	store *fakeStore
	vms   []*order.Claims
	// runs counts the runs of each order id at endpoints; responses holds the response
	// of each.
	runs      map[string]int
	responses map[string]string
	// depth is the number of nested calls of send.
	depth int
	// faultsDisabled makes every store call succeed.
	faultsDisabled bool
}

// newClaims returns the Claims of a newly started VM, without pauses between
// attempts.
func newClaims(f *fakeStore) *order.Claims {
	return &order.Claims{Store: f, Clock: (&clock.Manual{}).Clock(), Sleep: func(context.Context, clock.Millis) error { return nil }}
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, runs: map[string]int{}, responses: map[string]string{}}
	m.store = &fakeStore{objects: map[string]store.Object{}, nextFault: m.drawFault}
	for range 2 {
		m.vms = append(m.vms, newClaims(m.store))
	}
	return m
}

// drawFault draws the fault of a store call. Before it, another order may be
// sent or a delayed change may take effect, which covers interleavings between
// the calls of one operation.
func (m *model) drawFault() storeFault {
	if m.faultsDisabled {
		return faultNone
	}
	if m.depth < 3 && rapid.IntRange(0, 7).Draw(m.t, "between") == 0 {
		m.send()
	}
	m.applyPending()
	return rapid.SampledFrom([]storeFault{faultNone, faultNone, faultNone, faultReplyLost, faultRequestLost, faultAppliedLate, faultUnavailable, faultBusy}).Draw(m.t, "trouble")
}

func (m *model) applyPending() {
	if len(m.store.pending) == 0 || !rapid.Bool().Draw(m.t, "land") {
		return
	}
	at := rapid.IntRange(0, len(m.store.pending)-1).Draw(m.t, "which")
	change := m.store.pending[at]
	m.store.pending = append(m.store.pending[:at], m.store.pending[at+1:]...)
	change()
}

// send sends an order through a random VM and checks the result that the caller
// gets.
func (m *model) send() {
	m.depth++
	defer func() { m.depth-- }()
	id := "order-" + strconv.Itoa(rapid.IntRange(0, 3).Draw(m.t, "id"))
	m.sendThrough(m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(m.t, "vm")], id)
}

func (m *model) sendThrough(vm *order.Claims, id string) {
	digest := rapid.SampledFrom([]string{"same", "same", "same", "other"}).Draw(m.t, "digest")
	claim, answer, err := vm.Claim(context.Background(), order.Order{Service: "orders", Workspace: "glen", ID: id, Digest: digest})
	switch {
	case err != nil:
		refusal, ok := fault.As[*reason.Refusal](err)
		if !ok {
			m.t.Fatalf("the error is not a refusal: %v", err)
		}
		if refusal.Ran == reason.RanYes && m.runs[id] == 0 {
			m.t.Fatalf("the refusal says that the order ran, but it did not: %v", refusal)
		}
	case answer != nil:
		if string(answer.Body) != m.responses[id] || m.runs[id] != 1 {
			m.t.Fatalf("recorded response is %q, the endpoint responded %q", answer.Body, m.responses[id])
		}
	default:
		m.runAtEndpoint(claim, id, digest)
	}
}

func (m *model) runAtEndpoint(claim *order.Claim, id, digest string) {
	if rapid.IntRange(0, 2).Draw(m.t, "not run") == 0 {
		_ = claim.Release(context.Background())
		return
	}
	m.runs[id]++
	if m.runs[id] > 1 {
		m.t.Fatalf("order %s ran %d times, want at most 1", id, m.runs[id])
	}
	if rapid.IntRange(0, 2).Draw(m.t, "answer lost") == 0 {
		return
	}
	m.responses[id] = id + " of " + digest
	_ = claim.Done(context.Background(), order.Response{Status: 200, Body: []byte(m.responses[id])})
}

func (m *model) check(t *rapid.T) {
	for key, object := range m.store.objects {
		var record order.Record
		if err := json.Unmarshal(object.Value, &record); err != nil {
			t.Fatal(err)
		}
		if record.State == order.StateDone && m.runs[key[len("orders/orders/glen/"):]] != 1 {
			t.Fatalf("claim %s is done, but its order did not run exactly once", key)
		}
	}
}

func TestOrdersRunAtMostOnceDespiteStoreFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(*rapid.T) { m.send() },
			"land": func(*rapid.T) { m.applyPending() },
			"settle": func(t *rapid.T) {
				_, _ = m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "settler")].RemoveAbandoned(context.Background(), 3)
			},
			"restart": func(t *rapid.T) {
				m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "restarted")] = newClaims(m.store)
			},
			"": m.check,
		})
	})
}

// Guards against orders blocked by an abandoned claim: after the store
// recovers, the VM that abandoned a claim must be able to take it over.
func TestAbandonedClaimIsTakenOverAfterTheStoreRecovers(t *testing.T) {
	for _, lost := range []storeFault{faultReplyLost, faultAppliedLate} {
		g := NewWithT(t)
		faults := []storeFault{lost, faultUnavailable}
		f := &fakeStore{objects: map[string]store.Object{}}
		f.nextFault = func() storeFault {
			if len(faults) == 0 {
				return faultNone
			}
			defer func() { faults = faults[1:] }()
			return faults[0]
		}
		claims := &order.Claims{Store: f}
		o := order.Order{Service: "orders", Workspace: "glen", ID: "a"}
		_, _, err := claims.Claim(context.Background(), o)
		refusal, _ := fault.As[*reason.Refusal](err)
		g.Expect(refusal.Reason).To(Equal(reason.StoreUnavailable))
		g.Expect(refusal.Ran).To(Equal(reason.RanNo))
		for _, land := range f.pending {
			land()
		}
		_, _, err = (&order.Claims{Store: f}).Claim(context.Background(), o)
		refusal, _ = fault.As[*reason.Refusal](err)
		g.Expect(refusal.Reason).To(Equal(reason.OrderRunning), "another VM cannot know that the claim was abandoned")
		claim, _, err := claims.Claim(context.Background(), o)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(claim).NotTo(BeNil())
	}
}

// Two concurrent takeovers of one abandoned claim are decided by its version,
// so that at most one of them sends the order.
func TestConcurrentOrUncertainTakeoverSendsNothing(t *testing.T) {
	for _, fault := range []storeFault{faultNone, faultRequestLost, faultReplyLost} {
		g := NewWithT(t)
		f := &fakeStore{objects: map[string]store.Object{}}
		claims := newClaims(f)
		o := order.Order{Service: "orders", Workspace: "glen", ID: "a"}
		calls, claimed := 0, 0
		tryClaim := func() {
			if claim, _, _ := claims.Claim(context.Background(), o); claim != nil {
				claimed++
			}
		}
		f.nextFault = func() storeFault {
			calls++
			switch calls {
			case 1:
				return faultReplyLost
			case 2:
				return faultUnavailable
			case 5:
				// The third send arrives while the second takes over the claim.
				if tryClaim(); fault != faultNone {
					return fault
				}
			}
			return faultNone
		}
		tryClaim()
		g.Expect(claimed).To(BeZero())
		tryClaim()
		g.Expect(calls).To(BeNumerically(">", 5))
		g.Expect(claimed).To(Equal(1))
		tryClaim()
		g.Expect(claimed).To(Equal(1))
	}
}

func TestRemoveAbandonedFreesClaimsForOtherVMs(t *testing.T) {
	g := NewWithT(t)
	faults := []storeFault{faultAppliedLate, faultUnavailable}
	f := &fakeStore{objects: map[string]store.Object{}}
	f.nextFault = func() storeFault {
		if len(faults) == 0 {
			return faultNone
		}
		defer func() { faults = faults[1:] }()
		return faults[0]
	}
	claims := newClaims(f)
	o := order.Order{Service: "orders", Workspace: "glen", ID: "a"}
	_, _, err := claims.Claim(context.Background(), o)
	g.Expect(err).To(HaveOccurred())
	// The write has not taken effect yet, so the claim must be checked again.
	g.Expect(claims.RemoveAbandoned(context.Background(), 10)).To(BeZero())
	f.pending[0]()
	g.Expect(claims.RemoveAbandoned(context.Background(), 10)).To(Equal(1))
	claim, _, err := newClaims(f).Claim(context.Background(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(claim).NotTo(BeNil())
	g.Expect(claims.RemoveAbandoned(context.Background(), 10)).To(BeZero())
	g.Expect(f.objects).To(HaveLen(1), "claims of other VMs are kept")
}

func TestSweepRemovesOnlyClaimsPastTheirLifetime(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	f := &fakeStore{objects: map[string]store.Object{}, nextFault: func() storeFault { return faultNone }}
	claims := &order.Claims{Store: f, Clock: manual.Clock()}
	for i := range 3 {
		_, _, err := claims.Claim(context.Background(), order.Order{Service: "orders", Workspace: "glen", ID: fmt.Sprint("o", i)})
		g.Expect(err).NotTo(HaveOccurred())
		manual.Advance(order.Lifetime / 2)
	}
	removed, err := claims.Sweep(context.Background(), 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(removed).To(Equal(2))
	g.Expect(f.objects).To(HaveKey("orders/orders/glen/o2"))
}

func TestValidateIDRejectsInvalidObjectKeys(t *testing.T) {
	g := NewWithT(t)
	for _, id := range []string{"a", "A-1_b.c", "0123456789012345678901234567890123456789012345678901234567890123"} {
		g.Expect(order.ValidateID(id)).To(Succeed())
	}
	for _, id := range []string{"", "../x", "a/b", "a b", ".a", "a\n", "ä", "01234567890123456789012345678901234567890123456789012345678901234"} {
		g.Expect(order.ValidateID(id)).NotTo(Succeed(), id)
	}
}

func TestDoneSucceedsIfTheReplyToItsWriteIsLost(t *testing.T) {
	g := NewWithT(t)
	fault := faultNone
	f := &fakeStore{objects: map[string]store.Object{}}
	f.nextFault = func() storeFault {
		defer func() { fault = faultNone }()
		return fault
	}
	claims := newClaims(f)
	o := order.Order{Service: "orders", Workspace: "glen", ID: "a"}
	claim, _, err := claims.Claim(context.Background(), o)
	g.Expect(err).NotTo(HaveOccurred())
	fault = faultReplyLost
	g.Expect(claim.Done(context.Background(), order.Response{Status: 201})).To(Succeed())
	_, answer, err := claims.Claim(context.Background(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Status).To(Equal(201))
}
