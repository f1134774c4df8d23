package main_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/wire/store"
)

// on returns the arrivals whose path starts so.
func on(prefix string, arrivals []arrival) (kept []arrival) {
	for _, a := range arrivals {
		if strings.HasPrefix(a.path, prefix) {
			kept = append(kept, a)
		}
	}
	return kept
}

// ends returns when the sendings that arrived had ended, sorted.
func ends(arrivals []arrival, sent map[string]*sending) (all []time.Time) {
	for _, a := range arrivals {
		all = append(all, sent[a.sending].endedAt)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

var _ = Describe("a bad version", func() {
	const (
		share = 20
		bound = 3 * time.Second
		// deadline bounds the requests; a version that hangs is slower than that.
		deadline = "1500"
		hanging  = 1_000_000
	)
	DescribeTable("gets a twentieth of a route until it is judged, and nothing soon after its fault shows", func(fault endpoint.VersionFault) {
		old := newSites(func(s *site) { s.ServiceTime = 10 }, "e1", "e2", "e3")
		bad := newSites(func(s *site) { s.ServiceTime = 10; s.Version = "v2" }, "n1", "n2", "n3")
		f := startFleet(3, "lothian")
		s := &shop{head: fmt.Sprintf(shopHead, 10000, 10000), sites: old}
		keyText, _ := f.open(s)
		for _, site := range bad {
			site.SetFaults(endpoint.Faults{Version: fault})
		}
		header := map[string]string{"Deadline-Ms": deadline}
		l := (&load{fleet: f, key: keyText, prefix: "/catalogue/", senders: 12, pause: 20 * time.Millisecond, header: header}).start()
		other := (&load{fleet: f, key: keyText, prefix: "/other/", senders: 6, pause: 20 * time.Millisecond, header: header}).start()
		stage := func() string {
			object, err := store.New("http://"+f.storeAddress+"/").Get(context.Background(), "moves/catalogue")
			if err != nil {
				return err.Error()
			}
			return string(object.Value)
		}

		s.sites = append(s.sites, bad...)
		s.tail = fmt.Sprintf("\n[move v2]\nfrom = v1\nby = %s\n", time.Now().Add(10*time.Minute).UTC().Format(time.RFC3339))
		f.operate(f.vms[1], 0, nil, "apply", f.write("shop.ini", s.text()), "--based-on", "1")
		Eventually(func() []arrival { return on(fault.Route, arrivalsAt(bad...)) }, "30s").ShouldNot(BeEmpty())
		Eventually(stage, "30s").Should(ContainSubstring("taken_back"))
		l.goOn(bound)
		taken := time.Now()

		By("ending the mover, whichever VM it is, and starting it again")
		for _, v := range f.vms {
			v.kill()
			v.restart()
			f.awaitReady(v)
		}
		l.goOn(bound)
		Expect(stage()).To(ContainSubstring("taken_back"))
		sent := l.stop()
		maps.Copy(sent, other.stop())

		shown := on(fault.Route, arrivalsAt(bad...))
		Expect(len(shown)).To(BeNumerically(">", 1), "a fault shows in two answers at the least")
		requests := 0
		for _, a := range on(fault.Route, arrivalsAt(old...)) {
			if a.at.Before(shown[len(shown)-1].at) {
				requests++
			}
		}
		Expect(len(shown)*share).To(BeNumerically("<=", requests+len(shown)), "%d of %d on the route", len(shown), requests+len(shown))
		for _, a := range arrivalsAt(bad...) {
			Expect(a.at).To(BeTemporally("<", taken), "the move went on after it was taken back")
		}
		ends := ends(shown, sent)
		Expect(shown[len(shown)-1].at).To(BeTemporally("<", ends[1].Add(bound)), "the version got traffic after its fault showed")
	},
		Entry("that fails at once", endpoint.VersionFault{Fail: true, Route: "/"}),
		Entry("that fails on one route only", endpoint.VersionFault{Fail: true, Route: "/other/"}),
		Entry("that hangs", endpoint.VersionFault{SlowPercent: hanging, Route: "/"}),
	)
})
