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

// orderSender sends orders and records every sent request.
type orderSender struct {
	fleet  *fleet
	key    string
	client *http.Client
	mu     sync.Mutex
	// all holds every sent request. Guarded by mu.
	all []*sentRequest
}

// sendOrder sends an order once through a VM.
func (o *orderSender) sendOrder(order string, v *entryVM) *sentRequest {
	s := (&sentRequest{method: http.MethodPost, path: "/orders/" + order, key: o.key, order: order, body: strings.NewReader("labels")}).send(o.client, v)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, s)
	return s
}

// startRound sends count orders at once, each through one VM and then through the next.
// wait waits until all are done.
func (o *orderSender) startRound(round string, count int) (wait func()) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			order := fmt.Sprintf("%s-%d", round, i)
			o.sendOrder(order, o.fleet.vms[i%len(o.fleet.vms)])
			o.sendOrder(order, o.fleet.vms[(i+1)%len(o.fleet.vms)])
		})
	}
	return group.Wait
}

var _ = Describe("orders and payments", func() {
	It("run at most once, and not at all if refused as not run, with killed and frozen VMs and a store that loses responses", func() {
		const count = 12
		endpoints := startEndpoints(func(e *testEndpoint) { e.ServiceTime = 300 * clock.Millis(1) }, "e1", "e2", "e3")
		f := startFleet(3, "lothian")
		keyText, _ := f.applyAndIssueKey(&serviceDocument{head: fmt.Sprintf(serviceHead, 1000, 1000), endpoints: endpoints})
		o := &orderSender{fleet: f, key: keyText, client: newClient()}
		countRuns := func(round string) (runs int) {
			for _, a := range arrivalsAt(endpoints...) {
				if strings.HasPrefix(a.order, round) {
					runs++
				}
			}
			return runs
		}

		By("killing a VM while orders run and the store loses responses")
		f.setFaults(standinstore.Faults{LostReplies: []standinstore.LostReply{{KeyPrefix: "orders/", Count: 8}}})
		wait := o.startRound("killed", count)
		Eventually(func() int { return countRuns("killed") }, "30s", "5ms").Should(BeNumerically(">", 2))
		f.vms[0].kill()
		wait()
		f.vms[0].restart()
		f.awaitReady(f.vms...)

		By("freezing a VM while orders run")
		wait = o.startRound("frozen", count)
		Eventually(func() int { return countRuns("frozen") }, "30s", "5ms").Should(BeNumerically(">", 2))
		f.vms[1].signal(syscall.SIGSTOP)
		for i := range count {
			o.sendOrder(fmt.Sprintf("frozen-%d", i), f.vms[2])
		}
		f.vms[1].signal(syscall.SIGCONT)
		wait()

		By("making the store unavailable while orders run, and losing its responses afterwards")
		wait = o.startRound("down", count)
		Eventually(func() int { return countRuns("down") }, "30s", "5ms").Should(BeNumerically(">", 2))
		f.setFaults(standinstore.Faults{Unavailable: true})
		wait()
		o.startRound("out", count)()
		f.setFaults(standinstore.Faults{LostReplies: []standinstore.LostReply{{KeyPrefix: "orders/", Count: 20}}})

		By("sending every order again through every VM")
		for _, round := range []string{"killed", "frozen", "down", "out"} {
			for _, v := range f.vms {
				var group sync.WaitGroup
				for i := range count {
					group.Go(func() { o.sendOrder(fmt.Sprintf("%s-%d", round, i), v) })
				}
				group.Wait()
			}
		}

		runs, arrived := map[string]int{}, map[string]bool{}
		for _, a := range arrivalsAt(endpoints...) {
			if a.order != "" {
				runs[a.order]++
				arrived[a.sendID] = true
			}
		}
		for order, n := range runs {
			Expect(n).To(Equal(1), order)
		}
		notRun := 0
		for _, s := range o.all {
			if s.ran == "no" {
				notRun++
				Expect(arrived).NotTo(HaveKey(s.id), "%s was refused as not run: %s", s.order, s.reason)
			}
		}
		Expect(notRun).To(BeNumerically(">", 0), "the outage of the store must cause refused orders")
		Expect(len(runs)).To(BeNumerically(">", 2*count), "orders must run before and after the faults")
	})
})
