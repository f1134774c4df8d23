package placement

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
)

// The queue serves the worst-served workspace first and, in it, the earliest
// deadline; a full queue drops from the largest excess.
func TestQueueFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := &document.Service{}
		for i := range 4 {
			service.Workspaces = append(service.Workspaces, document.Workspace{Name: fmt.Sprint(i), Rate: int64(1+i) * 1000})
		}
		p := &plan{service: service}
		served := map[string]int64{}
		push := func(workspace string, deadline clock.Millis) {
			p.push(&waiter{request: &Request{Workspace: workspace}, deadline: deadline, dropped: make(chan struct{})}, 0)
		}
		excess := func(workspace string) int64 {
			return served[workspace] * servedUnit * 1000 / service.Workspace(workspace).Rate
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				workspace := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace"))
				count := rapid.IntRange(1, 50).Draw(t, "count")
				deadline := rapid.IntRange(1, 1000).Draw(t, "deadline")
				for i := range count {
					push(workspace, clock.Millis((deadline+i*37)%1000))
				}
			},
			"serve": func(t *rapid.T) {
				if len(p.queue.waiters) == 0 {
					return
				}
				next := p.queue.remove(p.first(0))
				for _, other := range p.queue.waiters {
					a, b := excess(next.request.Workspace), excess(other.request.Workspace)
					if a > b || a == b && next.deadline > other.deadline {
						t.Fatalf("%s with excess %d went before %s with %d", next.request.Workspace, a, other.request.Workspace, b)
					}
				}
				served[next.request.Workspace]++
				p.served(next.request.Workspace, 0)
			},
			"": func(t *rapid.T) {
				if len(p.queue.waiters) > maxWaiters {
					t.Fatalf("%d wait", len(p.queue.waiters))
				}
			},
		})
	})
}

// Uploads with a minute to go were refused after 250 ms, though a slot that runs
// uploads comes free about once in a second.
func TestUploadGaveUpAfterTheWaitOfAShortRequest(t *testing.T) {
	g := NewWithT(t)
	for remaining, wait := range map[clock.Millis]clock.Millis{
		100:               100,
		800:               250,
		5 * clock.Second:  625,
		60 * clock.Second: 5 * clock.Second,
	} {
		service := testService(1, 1)
		service.Endpoints = service.Endpoints[2:]
		placer, _, _ := testPlacer(service)
		warm(placer, service)
		request := testRequest(service)
		running, _ := placer.try(&request, move.Choice{})
		request.Remaining = remaining
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = placer.Place(context.Background(), request)
		}()
		var deadline clock.Millis
		g.Eventually(func() bool {
			placer.mu.Lock()
			defer placer.mu.Unlock()
			waiters := placer.plans["orders"].queue.waiters
			if len(waiters) == 1 {
				deadline = waiters[0].deadline
			}
			return len(waiters) == 1
		}, "20s").Should(BeTrue())
		g.Expect(deadline).To(Equal(wait), "with %d ms remaining", remaining)
		running.Done(good(1000))
		g.Eventually(ended, "20s").Should(BeClosed())
	}
}

// A large workspace at five times its rate does not starve a small one: of the
// slots that come free each gets its part.
func TestLargeWorkspaceDoesNotStarveSmall(t *testing.T) {
	service := &document.Service{Workspaces: []document.Workspace{{Name: "large", Rate: 40_000}, {Name: "small", Rate: 10_000}}}
	p := &plan{service: service}
	served := map[string]int{}
	dropped := map[string]int{}
	now := clock.Millis(0)
	for tick := range 1000 {
		now = clock.Millis(tick) * 20
		for i := range 5 {
			workspace := "large"
			if i == 0 && tick%5 == 0 {
				workspace = "small"
			}
			p.push(&waiter{request: &Request{Workspace: workspace}, deadline: now + queueWait, dropped: make(chan struct{})}, now)
		}
		for i := 0; i < len(p.queue.waiters); i++ {
			if p.queue.waiters[i].deadline < now {
				dropped[p.queue.remove(i).request.Workspace]++
				i--
			}
		}
		w := p.queue.remove(p.first(now))
		served[w.request.Workspace]++
		p.served(w.request.Workspace, now)
	}
	if dropped["small"] > 0 || served["small"] < 198 {
		t.Fatalf("the small workspace got %d of 200, lost %d", served["small"], dropped["small"])
	}
	t.Logf("served %v, dropped %v", served, dropped)
}

func BenchmarkPlace(b *testing.B) {
	for _, perRegion := range []int{14, 600} {
		b.Run(fmt.Sprintf("%d endpoints", 3*perRegion), func(b *testing.B) {
			service := testService(perRegion, 3)
			placer, _, _ := testPlacer(service)
			warm(placer, service)
			request := testRequest(service)
			b.ReportAllocs()
			for b.Loop() {
				grant, _ := placer.Place(b.Context(), request)
				grant.Done(good(10_000))
			}
		})
	}
}

// BenchmarkPick measures the choice alone, without the grant.
func BenchmarkPick(b *testing.B) {
	for _, perRegion := range []int{14, 600} {
		b.Run(fmt.Sprintf("%d endpoints", 3*perRegion), func(b *testing.B) {
			service := testService(perRegion, 3)
			placer, _, _ := testPlacer(service)
			warm(placer, service)
			request := testRequest(service)
			group := &placer.plans["orders"].regions[0].all
			b.ReportAllocs()
			for b.Loop() {
				if placer.best(group, &request, 0) == nil {
					b.Fatal("nothing found")
				}
			}
		})
	}
}

// BenchmarkPlaceInMove measures a placement with the choice of a version.
func BenchmarkPlaceInMove(b *testing.B) {
	service := testService(14, 3)
	for i := range service.Endpoints {
		if i%2 == 0 {
			service.Endpoints[i].Version = "v2"
		}
	}
	service.Moves = []document.Move{{From: "v1", To: "v2", MaxSlowdownPercent: 50}}
	placer, _, manual := testPlacer(service)
	guard := &move.Guard{Clock: manual.Clock()}
	guard.Update(service, &move.State{Service: "orders", Attempt: 1, From: "v1", To: "v2", Stage: move.Ramping, Step: 1, Share: 100})
	placer.Versions = guard
	warm(placer, service)
	request := testRequest(service)
	b.ReportAllocs()
	for b.Loop() {
		grant, err := placer.Place(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		grant.Done(good(10_000))
	}
}
