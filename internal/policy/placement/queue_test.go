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

// The queue must serve the workspace with the lowest relative usage first and,
// within it, the earliest deadline. It must never exceed maxWaiters.
func TestQueueFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := &document.Service{}
		for i := range 4 {
			service.Workspaces = append(service.Workspaces, document.Workspace{Name: fmt.Sprint(i), Rate: int64(1+i) * 1000})
		}
		state := &serviceState{service: service}
		served := map[string]int64{}
		push := func(workspace string, deadline clock.Millis) {
			state.enqueue(&waiter{request: &Request{Workspace: workspace}, deadline: deadline, dropped: make(chan struct{})}, 0)
		}
		relativeUsage := func(workspace string) int64 {
			return served[workspace] * usageUnit * 1000 / service.Workspace(workspace).Rate
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
				if len(state.queue.waiters) == 0 {
					return
				}
				next := state.queue.remove(state.nextWaiter(0))
				for _, other := range state.queue.waiters {
					a, b := relativeUsage(next.request.Workspace), relativeUsage(other.request.Workspace)
					if a > b || a == b && next.deadline > other.deadline {
						t.Fatalf("workspace %s with relative usage %d was served before %s with %d", next.request.Workspace, a, other.request.Workspace, b)
					}
				}
				served[next.request.Workspace]++
				state.addUsage(next.request.Workspace, 0)
			},
			"": func(t *rapid.T) {
				if len(state.queue.waiters) > maxWaiters {
					t.Fatalf("%d requests are waiting", len(state.queue.waiters))
				}
			},
		})
	})
}

// Uploads with a minute until their deadline were refused after 250 ms, although a
// slot used by uploads becomes free only about once per second.
func TestQueueWaitGrowsWithRemainingTime(t *testing.T) {
	g := NewWithT(t)
	for remaining, want := range map[clock.Millis]clock.Millis{
		100:               100,
		800:               250,
		5 * clock.Second:  625,
		60 * clock.Second: 5 * clock.Second,
	} {
		service := testService(1, 1)
		service.Endpoints = service.Endpoints[2:]
		placer, _, _ := testPlacer(service)
		warmUp(placer, service)
		request := testRequest(service)
		running, _ := placer.tryPlace(&request, move.Choice{})
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
			waiters := placer.services["orders"].queue.waiters
			if len(waiters) == 1 {
				deadline = waiters[0].deadline
			}
			return len(waiters) == 1
		}, "20s").Should(BeTrue())
		g.Expect(deadline).To(Equal(want), "with %d ms remaining", remaining)
		running.Done(answeredResult(1000))
		g.Eventually(ended, "20s").Should(BeClosed())
	}
}

// A large workspace that sends six times its rate must not starve a small one
// that sends at its rate: both must get their part of the slots that become
// free.
func TestLargeWorkspaceDoesNotStarveSmall(t *testing.T) {
	service := &document.Service{Workspaces: []document.Workspace{{Name: "large", Rate: 40_000}, {Name: "small", Rate: 10_000}}}
	state := &serviceState{service: service}
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
			state.enqueue(&waiter{request: &Request{Workspace: workspace}, deadline: now + minQueueWait, dropped: make(chan struct{})}, now)
		}
		for i := 0; i < len(state.queue.waiters); i++ {
			if state.queue.waiters[i].deadline < now {
				dropped[state.queue.remove(i).request.Workspace]++
				i--
			}
		}
		w := state.queue.remove(state.nextWaiter(now))
		served[w.request.Workspace]++
		state.addUsage(w.request.Workspace, now)
	}
	if dropped["small"] > 0 || served["small"] < 198 {
		t.Fatalf("of 200 requests of the small workspace %d were served, %d dropped", served["small"], dropped["small"])
	}
	t.Logf("served %v, dropped %v", served, dropped)
}

func BenchmarkPlace(b *testing.B) {
	for _, perRegion := range []int{14, 600} {
		b.Run(fmt.Sprintf("%d endpoints", 3*perRegion), func(b *testing.B) {
			service := testService(perRegion, 3)
			placer, _, _ := testPlacer(service)
			warmUp(placer, service)
			request := testRequest(service)
			b.ReportAllocs()
			for b.Loop() {
				grant, _ := placer.Place(b.Context(), request)
				grant.Done(answeredResult(10_000))
			}
		})
	}
}

// BenchmarkCheapest measures the selection of an endpoint without taking the slot.
func BenchmarkCheapest(b *testing.B) {
	for _, perRegion := range []int{14, 600} {
		b.Run(fmt.Sprintf("%d endpoints", 3*perRegion), func(b *testing.B) {
			service := testService(perRegion, 3)
			placer, _, _ := testPlacer(service)
			warmUp(placer, service)
			request := testRequest(service)
			group := &placer.services["orders"].regions[0].all
			b.ReportAllocs()
			for b.Loop() {
				if placer.cheapest(group, &request, 0) == nil {
					b.Fatal("no endpoint found")
				}
			}
		})
	}
}

// BenchmarkPlaceInMove measures a placement that includes the choice of a version.
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
	warmUp(placer, service)
	request := testRequest(service)
	b.ReportAllocs()
	for b.Loop() {
		grant, err := placer.Place(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		grant.Done(answeredResult(10_000))
	}
}
