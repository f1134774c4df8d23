package main_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	standinstore "baobabladder.example/baobabladder/internal/standin/store"
)

// book sends orders and keeps every sending.
type book struct {
	fleet  *fleet
	key    string
	client *http.Client
	mu     sync.Mutex
	// all holds every sending. Guarded by mu.
	all []*sending
}

// place sends an order once through a VM.
func (b *book) place(order string, v *entryVM) *sending {
	s := (&sending{method: http.MethodPost, path: "/orders/" + order, key: b.key, order: order, body: strings.NewReader("labels")}).send(b.client, v)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, s)
	return s
}

// begin sends orders at once, each through two VMs in turn, and returns what waits
// for the last.
func (b *book) begin(round string, count int) (wait func()) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			order := fmt.Sprintf("%s-%d", round, i)
			b.place(order, b.fleet.vms[i%len(b.fleet.vms)])
			b.place(order, b.fleet.vms[(i+1)%len(b.fleet.vms)])
		})
	}
	return group.Wait
}

var _ = Describe("orders and payments", func() {
	It("run at most once, and none that was told not run, over kills, freezes and a store that loses answers", func() {
		const count = 12
		sites := newSites(func(s *site) { s.ServiceTime = 300 * clock.Millis(1) }, "e1", "e2", "e3")
		f := startFleet(3, "lothian")
		keyText, _ := f.open(&shop{head: fmt.Sprintf(shopHead, 1000, 1000), sites: sites})
		b := &book{fleet: f, key: keyText, client: newClient()}
		ran := func(round string) (runs int) {
			for _, a := range arrivalsAt(sites...) {
				if strings.HasPrefix(a.order, round) {
					runs++
				}
			}
			return runs
		}

		By("killing a VM in the middle of orders while the store loses answers")
		f.setFaults(standinstore.Faults{LoseAnswers: []standinstore.LostAnswer{{KeyPrefix: "orders/", Count: 8}}})
		wait := b.begin("killed", count)
		Eventually(func() int { return ran("killed") }, "30s", "5ms").Should(BeNumerically(">", 2))
		f.vms[0].kill()
		wait()
		f.vms[0].restart()
		f.awaitReady(f.vms...)

		By("freezing a VM in the middle of orders")
		wait = b.begin("frozen", count)
		Eventually(func() int { return ran("frozen") }, "30s", "5ms").Should(BeNumerically(">", 2))
		f.vms[1].signal(syscall.SIGSTOP)
		for i := range count {
			b.place(fmt.Sprintf("frozen-%d", i), f.vms[2])
		}
		f.vms[1].signal(syscall.SIGCONT)
		wait()

		By("losing the store in the middle of orders, and its answers when it is back")
		wait = b.begin("down", count)
		Eventually(func() int { return ran("down") }, "30s", "5ms").Should(BeNumerically(">", 2))
		f.setFaults(standinstore.Faults{Down: true})
		wait()
		b.begin("out", count)()
		f.setFaults(standinstore.Faults{LoseAnswers: []standinstore.LostAnswer{{KeyPrefix: "orders/", Count: 20}}})

		By("sending every order again through every VM")
		for _, round := range []string{"killed", "frozen", "down", "out"} {
			for _, v := range f.vms {
				var group sync.WaitGroup
				for i := range count {
					group.Go(func() { b.place(fmt.Sprintf("%s-%d", round, i), v) })
				}
				group.Wait()
			}
		}

		runs, arrived := map[string]int{}, map[string]bool{}
		for _, a := range arrivalsAt(sites...) {
			if a.order != "" {
				runs[a.order]++
				arrived[a.sending] = true
			}
		}
		for order, n := range runs {
			Expect(n).To(Equal(1), order)
		}
		notRun := 0
		for _, s := range b.all {
			if s.ran == "no" {
				notRun++
				Expect(arrived).NotTo(HaveKey(s.id), "%s was told not run: %s", s.order, s.reason)
			}
		}
		Expect(notRun).To(BeNumerically(">", 0), "the store's outage refuses orders")
		Expect(len(runs)).To(BeNumerically(">", 2*count), "orders run before and after the faults")
	})
})
