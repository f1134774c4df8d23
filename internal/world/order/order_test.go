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

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Plan{Seed: 4, Checks: 400, Steps: 60})) }

// trouble is what befalls one call of the fake store.
type trouble string

const (
	none        trouble = "none"
	lostAfter   trouble = "answer lost after the change"
	lostBefore  trouble = "call lost before the change"
	late        trouble = "answer lost, change lands later"
	unavailable trouble = "unavailable"
	busy        trouble = "busy"
)

// fake is a store in memory, whose calls meet trouble.
type fake struct {
	objects map[string]store.Object
	version int64
	// next draws the trouble of a call; it may run other work first.
	next func() trouble
	// pending holds changes that land later.
	pending []func()
}

func (f *fake) Get(_ context.Context, key string) (store.Object, error) {
	if what := f.next(); what != none {
		return store.Object{}, store.ErrUnavailable.New("%s", what)
	}
	object, found := f.objects[key]
	if !found {
		return store.Object{}, store.ErrNotFound.New("no %s", key)
	}
	return object, nil
}

func (f *fake) List(context.Context, string) (listing store.Listing, err error) {
	for _, object := range f.objects {
		listing.Objects = append(listing.Objects, object)
	}
	return listing, nil
}

func (f *fake) Put(_ context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	return f.change(key, ifVersion, func() {
		f.objects[key] = store.Object{Key: key, Version: f.version, Value: value}
	})
}

func (f *fake) Delete(_ context.Context, key string, ifVersion int64) (int64, error) {
	return f.change(key, ifVersion, func() { delete(f.objects, key) })
}

func (f *fake) change(key string, ifVersion int64, apply func()) (int64, error) {
	try := func() (int64, error) {
		if f.objects[key].Version != ifVersion {
			return 0, store.ErrConflict.New("not at %d", ifVersion)
		}
		f.version++
		apply()
		return f.version, nil
	}
	switch what := f.next(); what {
	case none:
		return try()
	case lostAfter:
		_, _ = try()
		return 0, store.ErrOutcomeUnknown.New("%s", what)
	case late:
		f.pending = append(f.pending, func() { _, _ = try() })
		return 0, store.ErrOutcomeUnknown.New("%s", what)
	case lostBefore:
		return 0, store.ErrOutcomeUnknown.New("%s", what)
	case busy:
		return 0, store.ErrOverBudget.New("%s", what)
	default:
		return 0, store.ErrUnavailable.New("%s", what)
	}
}

// world is several VMs, one store and an oracle that counts runs.
type world struct {
	t     *rapid.T
	store *fake
	vms   []*order.Claims
	// runs counts what endpoints ran, by order id, and answers what they said.
	runs    map[string]int
	answers map[string]string
	depth   int
	// settling switches trouble off.
	settling bool
}

// newClaims returns the claims of one run of a VM. They don't wait.
func newClaims(f *fake) *order.Claims {
	return &order.Claims{Store: f, Clock: (&clock.Manual{}).Clock(), Sleep: func(context.Context, clock.Millis) error { return nil }}
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, runs: map[string]int{}, answers: map[string]string{}}
	w.store = &fake{objects: map[string]store.Object{}, next: w.trouble}
	for range 2 {
		w.vms = append(w.vms, newClaims(w.store))
	}
	return w
}

// trouble draws a call's trouble. Another sending, or a late change, may come
// between two calls of one.
func (w *world) trouble() trouble {
	if w.settling {
		return none
	}
	if w.depth < 3 && rapid.IntRange(0, 7).Draw(w.t, "between") == 0 {
		w.send()
	}
	w.land()
	return rapid.SampledFrom([]trouble{none, none, none, lostAfter, lostBefore, late, unavailable, busy}).Draw(w.t, "trouble")
}

func (w *world) land() {
	if len(w.store.pending) == 0 || !rapid.Bool().Draw(w.t, "land") {
		return
	}
	at := rapid.IntRange(0, len(w.store.pending)-1).Draw(w.t, "which")
	change := w.store.pending[at]
	w.store.pending = append(w.store.pending[:at], w.store.pending[at+1:]...)
	change()
}

// send sends an order through a VM and judges what the caller is told.
func (w *world) send() {
	w.depth++
	defer func() { w.depth-- }()
	id := "order-" + strconv.Itoa(rapid.IntRange(0, 3).Draw(w.t, "id"))
	w.sendThrough(w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")], id)
}

func (w *world) sendThrough(vm *order.Claims, id string) {
	digest := rapid.SampledFrom([]string{"same", "same", "same", "other"}).Draw(w.t, "digest")
	claim, answer, err := vm.Claim(context.Background(), order.Order{Service: "orders", Workspace: "glen", ID: id, Digest: digest})
	switch {
	case err != nil:
		refusal, ok := fault.As[*reason.Refusal](err)
		if !ok {
			w.t.Fatalf("no refusal: %v", err)
		}
		if refusal.Ran == reason.RanYes && w.runs[id] == 0 {
			w.t.Fatalf("said to have run, but never did: %v", refusal)
		}
	case answer != nil:
		if string(answer.Body) != w.answers[id] || w.runs[id] != 1 {
			w.t.Fatalf("replayed %q, the run gave %q", answer.Body, w.answers[id])
		}
	default:
		w.runAtEndpoint(claim, id, digest)
	}
}

func (w *world) runAtEndpoint(claim *order.Claim, id, digest string) {
	if rapid.IntRange(0, 2).Draw(w.t, "not run") == 0 {
		_ = claim.Release(context.Background())
		return
	}
	w.runs[id]++
	if w.runs[id] > 1 {
		w.t.Fatalf("%s ran %d times", id, w.runs[id])
	}
	if rapid.IntRange(0, 2).Draw(w.t, "answer lost") == 0 {
		return
	}
	w.answers[id] = id + " of " + digest
	_ = claim.Done(context.Background(), order.Answer{Status: 200, Body: []byte(w.answers[id])})
}

func (w *world) check(t *rapid.T) {
	for key, object := range w.store.objects {
		var record order.Record
		if err := json.Unmarshal(object.Value, &record); err != nil {
			t.Fatal(err)
		}
		if record.State == order.StateDone && w.runs[key[len("orders/orders/glen/"):]] != 1 {
			t.Fatalf("%s is done, but never ran", key)
		}
	}
}

func TestOrdersRunAtMostOnceOverVMsAndAStoreThatLosesAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(*rapid.T) { w.send() },
			"land": func(*rapid.T) { w.land() },
			"settle": func(t *rapid.T) {
				_, _ = w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "settler")].RemoveAbandoned(context.Background(), 3)
			},
			"restart": func(t *rapid.T) {
				w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "restarted")] = newClaims(w.store)
			},
			"": w.check,
		})
	})
}

// Once the store is well, a claim that a VM abandoned must not block its orders.
func TestAbandonedClaimsAreTakenOverOnceTheStoreIsWell(t *testing.T) {
	for _, lost := range []trouble{lostAfter, late} {
		g := NewWithT(t)
		troubles := []trouble{lost, unavailable}
		f := &fake{objects: map[string]store.Object{}}
		f.next = func() trouble {
			if len(troubles) == 0 {
				return none
			}
			defer func() { troubles = troubles[1:] }()
			return troubles[0]
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
		g.Expect(refusal.Reason).To(Equal(reason.OrderRunning), "another VM can't know")
		claim, _, err := claims.Claim(context.Background(), o)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(claim).NotTo(BeNil())
	}
}

// Of two that take over a claim, the claim's version lets one through.
func TestATakeoverThatIsOvertakenOrInDoubtSendsNothing(t *testing.T) {
	for _, what := range []trouble{none, lostBefore, lostAfter} {
		g := NewWithT(t)
		f := &fake{objects: map[string]store.Object{}}
		claims := newClaims(f)
		o := order.Order{Service: "orders", Workspace: "glen", ID: "a"}
		calls, rights := 0, 0
		take := func() {
			if claim, _, _ := claims.Claim(context.Background(), o); claim != nil {
				rights++
			}
		}
		f.next = func() trouble {
			calls++
			switch calls {
			case 1:
				return lostAfter
			case 2:
				return unavailable
			case 5:
				// The third sending comes while the second takes over.
				if take(); what != none {
					return what
				}
			}
			return none
		}
		take()
		g.Expect(rights).To(BeZero())
		take()
		g.Expect(calls).To(BeNumerically(">", 5))
		g.Expect(rights).To(Equal(1))
		take()
		g.Expect(rights).To(Equal(1))
	}
}

func TestSettleFreesAbandonedClaimsForOtherVMs(t *testing.T) {
	g := NewWithT(t)
	troubles := []trouble{late, unavailable}
	f := &fake{objects: map[string]store.Object{}}
	f.next = func() trouble {
		if len(troubles) == 0 {
			return none
		}
		defer func() { troubles = troubles[1:] }()
		return troubles[0]
	}
	claims := newClaims(f)
	o := order.Order{Service: "orders", Workspace: "glen", ID: "a"}
	_, _, err := claims.Claim(context.Background(), o)
	g.Expect(err).To(HaveOccurred())
	// The write has not landed yet: it must be looked for again.
	g.Expect(claims.RemoveAbandoned(context.Background(), 10)).To(BeZero())
	f.pending[0]()
	g.Expect(claims.RemoveAbandoned(context.Background(), 10)).To(Equal(1))
	claim, _, err := newClaims(f).Claim(context.Background(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(claim).NotTo(BeNil())
	g.Expect(claims.RemoveAbandoned(context.Background(), 10)).To(BeZero())
	g.Expect(f.objects).To(HaveLen(1), "another VM's claim is not touched")
}

func TestSweepRemovesOnlyClaimsPastTheirLifetime(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	f := &fake{objects: map[string]store.Object{}, next: func() trouble { return none }}
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

func TestCheckIDRefusesWhatIsNoObjectKey(t *testing.T) {
	g := NewWithT(t)
	for _, id := range []string{"a", "A-1_b.c", "0123456789012345678901234567890123456789012345678901234567890123"} {
		g.Expect(order.ValidateID(id)).To(Succeed())
	}
	for _, id := range []string{"", "../x", "a/b", "a b", ".a", "a\n", "ä", "01234567890123456789012345678901234567890123456789012345678901234"} {
		g.Expect(order.ValidateID(id)).NotTo(Succeed(), id)
	}
}

func TestDoneStandsWhenTheAnswerToItsWriteIsLost(t *testing.T) {
	g := NewWithT(t)
	what := none
	f := &fake{objects: map[string]store.Object{}}
	f.next = func() trouble {
		defer func() { what = none }()
		return what
	}
	claims := newClaims(f)
	o := order.Order{Service: "orders", Workspace: "glen", ID: "a"}
	claim, _, err := claims.Claim(context.Background(), o)
	g.Expect(err).NotTo(HaveOccurred())
	what = lostAfter
	g.Expect(claim.Done(context.Background(), order.Answer{Status: 201})).To(Succeed())
	_, answer, err := claims.Claim(context.Background(), o)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Status).To(Equal(201))
}
