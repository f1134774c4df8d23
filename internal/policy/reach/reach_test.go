package reach_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/policy/reach"
)

// links are the links of a VM to its endpoints. Probes of a link that is cut fail at once,
// or hang if isSilent.
type links struct {
	isCut, isSilent atomic.Bool
	probes          atomic.Int64

	mu sync.Mutex
	// up holds the addresses that are reached even if isCut. Guarded by mu.
	up map[string]bool
}

func (l *links) probe(ctx context.Context, address string) error {
	l.probes.Add(1)
	l.mu.Lock()
	isUp := l.up[address]
	l.mu.Unlock()
	if isUp || !l.isCut.Load() {
		return nil
	}
	if l.isSilent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.New("refused")
}

func addresses(count int) (all []string) {
	for i := range count {
		all = append(all, fmt.Sprint("e", i))
	}
	return all
}

func start(t *testing.T, l *links) *reach.Monitor {
	monitor := &reach.Monitor{Probe: l.probe, Addresses: addresses}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go monitor.Run(ctx)
	return monitor
}

func TestVMCutOffFromAllEndpointsIsFound(t *testing.T) {
	for _, isSilent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", isSilent), func(t *testing.T) {
			g := NewWithT(t)
			l := &links{}
			l.isSilent.Store(isSilent)
			monitor := start(t, l)
			l.isCut.Store(true)
			monitor.Begin()
			if !isSilent {
				monitor.End(false, true)
			}
			lost := monitor.Lost()
			g.Eventually(monitor.IsCutOff, "3s").Should(BeTrue())
			if isSilent {
				g.Expect(lost.Done()).To(BeClosed(), "requests in flight get no answers")
			}
			l.isCut.Store(false)
			g.Eventually(monitor.IsCutOff, "5s").Should(BeFalse())
			g.Expect(monitor.Lost().Err()).NotTo(HaveOccurred())
		})
	}
}

// Requests on connections that live on, while new ones are refused, must not be given up.
func TestAnswersOnOpenConnectionsAreAwaited(t *testing.T) {
	g := NewWithT(t)
	l := &links{}
	monitor := start(t, l)
	lost := monitor.Lost()
	l.isCut.Store(true)
	g.Eventually(func() bool {
		monitor.Begin()
		monitor.End(true, true)
		return monitor.IsCutOff()
	}, "3s", "50ms").Should(BeTrue())
	g.Expect(lost.Err()).NotTo(HaveOccurred())
}

// One endpoint that is down or slow must not make the VM count as cut off.
func TestVMThatReachesAnEndpointIsNotCutOff(t *testing.T) {
	g := NewWithT(t)
	l := &links{up: map[string]bool{"e3": true}}
	l.isCut.Store(true)
	monitor := start(t, l)
	monitor.Begin()
	monitor.End(false, true)
	g.Eventually(l.probes.Load, "3s").Should(BeNumerically(">=", 4))
	g.Consistently(monitor.IsCutOff, "1s").Should(BeFalse())
}

func TestCalmVMProbesNothing(t *testing.T) {
	g := NewWithT(t)
	l := &links{}
	monitor := start(t, l)
	for range 10 {
		monitor.Begin()
		time.Sleep(20 * time.Millisecond)
		monitor.End(true, false)
	}
	g.Expect(l.probes.Load()).To(BeZero())
}

// Guards against requests that are blocked because endpoints, or this VM's own links, close
// connections.
func TestEndpointHasEndedOnlyIfOthersAreReached(t *testing.T) {
	g := NewWithT(t)
	l := &links{up: map[string]bool{"e3": true}}
	l.isCut.Store(true)
	monitor := &reach.Monitor{Probe: l.probe, Addresses: addresses}
	g.Expect(monitor.HasEnded(t.Context(), "e0")).To(BeTrue())
	g.Expect(monitor.HasEnded(t.Context(), "e3")).To(BeFalse(), "the endpoint takes connections")
	l.mu.Lock()
	l.up["e3"] = false
	l.mu.Unlock()
	g.Expect(monitor.HasEnded(t.Context(), "e0")).To(BeFalse(), "no endpoint takes connections from this VM")
}
