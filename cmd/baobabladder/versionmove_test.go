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

// withPathPrefix returns the arrivals whose path starts with the prefix.
func withPathPrefix(prefix string, arrivals []arrival) (kept []arrival) {
	for _, a := range arrivals {
		if strings.HasPrefix(a.path, prefix) {
			kept = append(kept, a)
		}
	}
	return kept
}

// endTimes returns the sorted times at which the requests of the arrivals ended.
func endTimes(arrivals []arrival, sent map[string]*sentRequest) (all []time.Time) {
	for _, a := range arrivals {
		all = append(all, sent[a.sendID].endedAt)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

var _ = Describe("a bad version", func() {
	const (
		// At most 1/shareDivisor of a route's requests may reach the bad version, and
		// none later than bound after its fault shows.
		shareDivisor = 20
		bound        = 3 * time.Second
		// deadline limits the requests, in milliseconds. hanging is a slowdown in percent
		// that always exceeds it.
		deadline = "1500"
		hanging  = 1_000_000
	)
	DescribeTable("gets at most a twentieth of a route's requests, and none soon after its fault shows", func(fault endpoint.VersionFault) {
		old := startEndpoints(func(e *testEndpoint) { e.ServiceTime = 10 }, "e1", "e2", "e3")
		bad := startEndpoints(func(e *testEndpoint) { e.ServiceTime = 10; e.Version = "v2" }, "n1", "n2", "n3")
		f := startFleet(3, "lothian")
		d := &serviceDocument{head: fmt.Sprintf(serviceHead, 10000, 10000), endpoints: old}
		keyText, _ := f.applyAndIssueKey(d)
		for _, e := range bad {
			e.SetFaults(endpoint.Faults{Version: fault})
		}
		header := map[string]string{"Deadline-Ms": deadline}
		l := (&loadGenerator{fleet: f, key: keyText, prefix: "/catalogue/", senders: 12, pause: 20 * time.Millisecond, header: header}).start()
		other := (&loadGenerator{fleet: f, key: keyText, prefix: "/other/", senders: 6, pause: 20 * time.Millisecond, header: header}).start()
		moveState := func() string {
			object, err := store.New("http://"+f.storeAddress+"/").Get(context.Background(), "moves/catalogue")
			if err != nil {
				return err.Error()
			}
			return string(object.Value)
		}

		d.endpoints = append(d.endpoints, bad...)
		d.tail = fmt.Sprintf("\n[move v2]\nfrom = v1\nby = %s\n", time.Now().Add(10*time.Minute).UTC().Format(time.RFC3339))
		f.runOperator(f.vms[1], 0, nil, "apply", f.writeFile("shop.ini", d.text()), "--based-on", "1")
		Eventually(func() []arrival { return withPathPrefix(fault.PathPrefix, arrivalsAt(bad...)) }, "30s").ShouldNot(BeEmpty())
		Eventually(moveState, "30s").Should(ContainSubstring("taken_back"))
		l.runFor(bound)
		rolledBackAt := time.Now()

		By("restarting each VM in turn, including the one that advances the move")
		for _, v := range f.vms {
			v.kill()
			v.restart()
			f.awaitReady(v)
		}
		l.runFor(bound)
		Expect(moveState()).To(ContainSubstring("taken_back"))
		sent := l.stop()
		maps.Copy(sent, other.stop())

		exposed := withPathPrefix(fault.PathPrefix, arrivalsAt(bad...))
		Expect(len(exposed)).To(BeNumerically(">", 1), "a fault shows in two responses at the earliest")
		requests := 0
		for _, a := range withPathPrefix(fault.PathPrefix, arrivalsAt(old...)) {
			if a.at.Before(exposed[len(exposed)-1].at) {
				requests++
			}
		}
		Expect(len(exposed)*shareDivisor).To(BeNumerically("<=", requests+len(exposed)), "%d of %d on the route", len(exposed), requests+len(exposed))
		for _, a := range arrivalsAt(bad...) {
			Expect(a.at).To(BeTemporally("<", rolledBackAt), "no requests after the move was rolled back")
		}
		endedAt := endTimes(exposed, sent)
		Expect(exposed[len(exposed)-1].at).To(BeTemporally("<", endedAt[1].Add(bound)), "no requests soon after the fault showed")
	},
		Entry("that fails at once", endpoint.VersionFault{Fail: true, PathPrefix: "/"}),
		Entry("that fails on one route only", endpoint.VersionFault{Fail: true, PathPrefix: "/other/"}),
		Entry("that hangs", endpoint.VersionFault{SlowPercent: hanging, PathPrefix: "/"}),
	)
})
