package main_test

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	standinstore "baobabladder.example/baobabladder/internal/standin/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// excess returns the most requests in any window over what rate and burst allow.
// A request was admitted between its sending and its arrival, so a window holds
// every request that was sent and arrived in it. Requests that lay in a frozen VM
// are thus counted only in windows that hold the whole of their way.
func excess(arrivals []arrival, sent map[string]*sending, rate, burst float64) (worst float64) {
	for _, first := range arrivals {
		from := sent[first.sending].sentAt
		held := 0.0
		for _, a := range arrivals {
			if a.at.Before(from) || sent[a.sending].sentAt.Before(from) {
				continue
			}
			held++
			// The policies' clock counts whole milliseconds.
			window := a.at.Sub(from) + time.Millisecond
			worst = max(worst, held-burst-rate*window.Seconds())
		}
	}
	return worst
}

// known leaves out what a load did not send, such as the first look-ups with a key.
func known(arrivals []arrival, sent map[string]*sending) (kept []arrival) {
	for _, a := range arrivals {
		if sent[a.sending] != nil {
			kept = append(kept, a)
		}
	}
	return kept
}

var _ = Describe("a workspace's rate and burst", func() {
	It("hold over all VMs through freezes, restarts of all at once and an outage of the store", func() {
		const rate, burst = 40, 20
		sites := newSites(func(s *site) { s.ServiceTime = 5 }, "e1", "e2", "e3", "e4")
		f := startFleet(4, "lothian")
		keyText, _ := f.open(&shop{head: fmt.Sprintf(shopHead, rate, burst), sites: sites})
		l := (&load{fleet: f, key: keyText, prefix: "/catalogue/", senders: 80, pause: 60 * time.Millisecond}).start()
		lately := func() int {
			n, since := 0, time.Now().Add(-2*time.Second)
			for _, a := range arrivalsAt(sites...) {
				if a.at.After(since) {
					n++
				}
			}
			return n
		}
		servedWell := func() { Eventually(lately, "30s", "100ms").Should(BeNumerically(">=", 2*rate*8/10)) }

		l.goOn(2 * time.Second)
		servedWell()

		By("freezing a VM")
		f.vms[1].signal(syscall.SIGSTOP)
		l.goOn(5 * time.Second)
		f.vms[1].signal(syscall.SIGCONT)
		l.goOn(time.Second)

		By("killing and restarting all VMs at once")
		for _, v := range f.vms {
			v.process.Kill()
		}
		for _, v := range f.vms {
			v.process.Wait("10s")
			v.restart()
		}
		f.awaitReady(f.vms...)
		servedWell()

		By("losing the store, and restarting a VM meanwhile")
		f.setFaults(standinstore.Faults{Down: true})
		l.goOn(2 * time.Second)
		f.vms[2].kill()
		f.vms[2].restart()
		f.awaitReady(f.vms[2])
		l.goOn(time.Second)
		f.setFaults(standinstore.Faults{})
		servedWell()

		sent := l.stop()
		arrivals := known(arrivalsAt(sites...), sent)
		Expect(excess(arrivals, sent, rate, burst)).To(BeNumerically("<=", 0))
		Expect(len(sent)).To(BeNumerically(">", 2*len(arrivals)), "callers ask for several times the rate")
	})
})

var _ = Describe("endpoints", func() {
	It("never get more than their slots, and nothing new when they leave or are drained", func() {
		const slots, bound = 3, 3 * time.Second
		sites := newSites(func(s *site) { s.ServiceTime = 40 * clock.Millis(1) }, "e1", "e2", "e3", "e4")
		f := startFleet(3, "lothian")
		s := &shop{head: fmt.Sprintf(shopHead, 10000, 10000), sites: sites}
		keyText, _ := f.open(s)
		l := (&load{fleet: f, key: keyText, prefix: "/catalogue/", senders: 24, pause: 2 * time.Millisecond}).start()
		l.goOn(time.Second)

		By("killing and restarting a VM under load")
		f.vms[0].kill()
		f.vms[0].restart()
		f.awaitReady(f.vms...)
		l.goOn(time.Second)

		By("listing one endpoint as leaving and draining another")
		f.list(vm.VM{Name: "e1", Role: vm.RoleEndpoint, State: vm.StateLeaving, Region: "lothian", DataCentre: "lothian-1"})
		left := time.Now()
		s.tail = "\n[drain e2]\nkind = endpoint\n"
		f.operate(f.vms[1], 0, nil, "apply", f.write("shop.ini", s.text()), "--based-on", "1")
		drained := time.Now()
		l.goOn(bound + 2*time.Second)
		l.stop()

		for _, site := range sites {
			Expect(site.Counts().PeakRunning).To(BeNumerically("<=", slots), site.Name)
			Expect(site.Counts().PeakRunning).To(BeNumerically(">", 1), "the load fills %s", site.Name)
		}
		for _, a := range arrivalsAt(sites[0]) {
			Expect(a.at).To(BeTemporally("<", left.Add(bound)))
		}
		for _, a := range arrivalsAt(sites[1]) {
			Expect(a.at).To(BeTemporally("<", drained.Add(bound)))
		}
		last := arrivalsAt(sites[2:]...)
		Expect(last[len(last)-1].at).To(BeTemporally(">", drained.Add(bound)), "the others go on")
	})
})
