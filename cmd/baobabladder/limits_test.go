package main_test

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	standinstore "baobabladder.example/baobabladder/internal/standin/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// excess returns by how many requests any time window exceeds what rate and burst allow
// at most, and the arrivals in that window. A request is admitted between its sending and
// its arrival, so a window counts only requests that were both sent and received in it. A
// request that was held up in a frozen VM thus counts only in windows that span its whole
// duration.
func excess(arrivals []arrival, sent map[string]*sentRequest, rate, burst float64) (most float64, window []arrival) {
	for _, first := range arrivals {
		from := sent[first.sendID].sentAt
		var held []arrival
		for _, a := range arrivals {
			if a.at.Before(from) || sent[a.sendID].sentAt.Before(from) {
				continue
			}
			held = append(held, a)
			// The policies' clock has a resolution of 1 ms.
			duration := a.at.Sub(from) + time.Millisecond
			if over := float64(len(held)) - burst - rate*duration.Seconds(); over > most {
				most, window = over, slices.Clone(held)
			}
		}
	}
	return most, window
}

// describeArrivals lists arrivals with the VM, the sending and the status of each.
func describeArrivals(arrivals []arrival, sent map[string]*sentRequest) string {
	var text strings.Builder
	for _, a := range arrivals {
		s := sent[a.sendID]
		fmt.Fprintf(&text, "%s sent %s to %s, reached %s after %s, status %d\n",
			a.sendID, s.sentAt.Format("05.000"), s.vm, a.endpoint, a.at.Sub(s.sentAt), s.status)
	}
	return text.String()
}

// arrivalsOf returns the arrivals of the sent requests. It leaves out others, such as
// the first requests with a new key.
func arrivalsOf(arrivals []arrival, sent map[string]*sentRequest) (kept []arrival) {
	for _, a := range arrivals {
		if sent[a.sendID] != nil {
			kept = append(kept, a)
		}
	}
	return kept
}

var _ = Describe("a workspace's rate and burst", func() {
	It("hold over all VMs, through a frozen VM, a restart of all VMs at once and an outage of the store", func() {
		const rate, burst = 40, 20
		endpoints := startEndpoints(func(e *testEndpoint) { e.ServiceTime = 5 }, "e1", "e2", "e3", "e4")
		f := startFleet(4, "lothian")
		keyText, _ := f.applyAndIssueKey(&serviceDocument{head: fmt.Sprintf(serviceHead, rate, burst), endpoints: endpoints})
		l := (&loadGenerator{fleet: f, key: keyText, prefix: "/catalogue/", senders: 110, pause: 60 * time.Millisecond}).start()
		recentArrivals := func() int {
			n, since := 0, time.Now().Add(-2*time.Second)
			for _, a := range arrivalsAt(endpoints...) {
				if a.at.After(since) {
					n++
				}
			}
			return n
		}
		expectNearRate := func() { Eventually(recentArrivals, "30s", "100ms").Should(BeNumerically(">=", 2*rate*8/10)) }

		l.runFor(2 * time.Second)
		expectNearRate()

		By("freezing a VM")
		f.vms[1].signal(syscall.SIGSTOP)
		l.runFor(5 * time.Second)
		f.vms[1].signal(syscall.SIGCONT)
		l.runFor(time.Second)

		By("killing and restarting all VMs at once")
		for _, v := range f.vms {
			v.process.Kill()
		}
		for _, v := range f.vms {
			v.process.Wait("10s")
			v.restart()
		}
		f.awaitReady(f.vms...)
		expectNearRate()

		By("making the store unavailable, and restarting a VM meanwhile")
		f.setFaults(standinstore.Faults{Unavailable: true})
		l.runFor(2 * time.Second)
		f.vms[2].kill()
		f.vms[2].restart()
		f.awaitReady(f.vms[2])
		l.runFor(time.Second)
		f.setFaults(standinstore.Faults{})
		expectNearRate()

		sent := l.stop()
		arrivals := arrivalsOf(arrivalsAt(endpoints...), sent)
		over, window := excess(arrivals, sent, rate, burst)
		Expect(over).To(BeNumerically("<=", 0), describeArrivals(window, sent))
		Expect(len(sent)).To(BeNumerically(">", 2*len(arrivals)), "callers must send several times the rate")
	})
})

var _ = Describe("endpoints", func() {
	It("never run more requests than their slots, and get no new ones when they leave or are drained", func() {
		// bound is the time within which a leaving or drained endpoint must stop getting
		// requests.
		const slots, bound = 3, 3 * time.Second
		endpoints := startEndpoints(func(e *testEndpoint) { e.ServiceTime = 40 * clock.Millis(1) }, "e1", "e2", "e3", "e4")
		f := startFleet(3, "lothian")
		d := &serviceDocument{head: fmt.Sprintf(serviceHead, 10000, 10000), endpoints: endpoints}
		keyText, _ := f.applyAndIssueKey(d)
		l := (&loadGenerator{fleet: f, key: keyText, prefix: "/catalogue/", senders: 24, pause: 2 * time.Millisecond}).start()
		l.runFor(time.Second)

		By("killing and restarting a VM under load")
		f.vms[0].kill()
		f.vms[0].restart()
		f.awaitReady(f.vms...)
		l.runFor(time.Second)

		By("listing one endpoint as leaving and draining another")
		f.listVM(vm.VM{Name: "e1", Role: vm.RoleEndpoint, State: vm.StateLeaving, Region: "lothian", DataCentre: "lothian-1"})
		leftAt := time.Now()
		d.tail = "\n[drain e2]\nkind = endpoint\n"
		f.runOperator(f.vms[1], 0, nil, "apply", f.writeFile("shop.ini", d.text()), "--based-on", "1")
		drainedAt := time.Now()
		l.runFor(bound + 2*time.Second)
		l.stop()

		for _, e := range endpoints {
			Expect(e.Counts().PeakRunning).To(BeNumerically("<=", slots), e.Name)
			Expect(e.Counts().PeakRunning).To(BeNumerically(">", 1), "the load must fill %s", e.Name)
		}
		for _, a := range arrivalsAt(endpoints[0]) {
			Expect(a.at).To(BeTemporally("<", leftAt.Add(bound)))
		}
		for _, a := range arrivalsAt(endpoints[1]) {
			Expect(a.at).To(BeTemporally("<", drainedAt.Add(bound)))
		}
		last := arrivalsAt(endpoints[2:]...)
		Expect(last[len(last)-1].at).To(BeTemporally(">", drainedAt.Add(bound)), "the other endpoints must still get requests")
	})
})
