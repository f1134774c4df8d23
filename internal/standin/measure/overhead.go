package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/standin/firm"
)

// HalfLoad is the name of the benchmark that MeasureOverhead runs: the latency that an
// entry VM adds to a look-up. It is not one of Scenarios.
const HalfLoad = "half-load"

// halfLoadPercent is the load on the catalogue's slots, in percent.
const halfLoadPercent = 50

// Overhead compares look-ups sent via entry VMs with look-ups sent directly to
// endpoints, in one run over loopback without simulated network delays. The floor
// of these requests is their service time alone.
type Overhead struct {
	Firm       string  `json:"firm"`
	Seed       uint64  `json:"seed"`
	Seconds    int     `json:"seconds"`
	ViaEntryVM Latency `json:"through"`
	Direct     Latency `json:"direct"`
	// AddedP50 and AddedP99 are the differences between ViaEntryVM and Direct in
	// latency over the floor at these percentiles, in microseconds.
	AddedP50 int64 `json:"added_p50_us"`
	AddedP99 int64 `json:"added_p99_us"`
	// Failed counts the look-ups of both kinds that were not answered. TimerLagP99 is
	// that of Result.
	Failed      int   `json:"failed"`
	TimerLagP99 int64 `json:"timer_lag_p99_us"`
}

// MeasureOverhead sends look-ups that load half of the catalogue's slots,
// alternately via an entry VM, with a key, and directly to the endpoint with the
// most free slots.
func (b *Benchmark) MeasureOverhead(ctx context.Context) (overhead *Overhead, err error) {
	defer fault.Annotate(&err, "measuring the overhead of entry VMs of firm %s", b.Firm)
	ctx, cancel := context.WithCancel(ctx)
	r := &run{Benchmark: b, monitor: newMonitor()}
	r.firm, err = firm.Start(ctx, firm.Config{Name: b.Firm, Log: b.Log, EditDocument: b.editDocument, ConfigureEndpoint: r.configureEndpoint, NoNetworkDelays: true})
	if err != nil {
		cancel()
		return nil, err
	}
	defer func() {
		cancel()
		r.firm.Stop()
	}()
	r.monitor.firm = r.firm
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	go r.monitor.run(monitorCtx)
	return r.compareLatency(ctx), nil
}

// compareLatency sends the look-ups and returns the comparison.
func (r *run) compareLatency(ctx context.Context) *Overhead {
	service, route := r.firm.Route(document.WorkCatalogue, false)
	generator := &generator{firm: r.firm, random: rand.New(rand.NewPCG(r.Seed, 0)), serviceTimes: r.serviceTimes()}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	defer client.CloseIdleConnections()
	viaEntryVM, direct := &samples{}, &samples{}
	var calls sync.WaitGroup
	perSecond := generator.capacity(service.Service) * halfLoadPercent / 100
	start := r.clock.Micros()
	for i, at := 0, 0.0; at < float64(warmUpDuration+r.ScoredDuration)*1000; i++ {
		at += generator.random.ExpFloat64() / perSecond * 1e6
		if wait := clock.Millis((start + int64(at) - r.clock.Micros()) / 1000); wait > 0 && clock.Sleep(ctx, wait) != nil {
			break
		}
		request := &Request{SendAtMicros: int64(at), Service: service.Name, Work: document.WorkCatalogue, Path: fmt.Sprintf("%sh-%06d", route.Prefix, i)}
		request.FloorMicros = int64(generator.serviceTime(service.Service, request.Path)) * 1000
		entry := r.firm.EntryVMs[i/2%len(r.firm.EntryVMs)].Settings.CallerAddress
		key := r.firm.Keys[i/2%len(r.firm.Keys)].Text
		if i%2 == 0 {
			calls.Go(func() { r.sendLookUp(ctx, client, viaEntryVM, request, entry, key) })
			continue
		}
		calls.Go(func() { r.sendLookUp(ctx, client, direct, request, leastLoadedEndpoint(r.firm, service.Service), "") })
	}
	calls.Wait()
	return r.scoreOverhead(viaEntryVM, direct)
}

func (r *run) scoreOverhead(viaEntryVM, direct *samples) *Overhead {
	overhead := &Overhead{Firm: r.Firm, Seed: r.Seed, Seconds: int(r.ScoredDuration / clock.Second), TimerLagP99: r.monitor.timerLag.ValueAtQuantile(99)}
	isScored := func(s *Sample) bool { return s.SendAtMicros >= int64(warmUpDuration)*1000 }
	overhead.ViaEntryVM = measureLatency(viaEntryVM.completed, isScored)
	overhead.Direct = measureLatency(direct.completed, isScored)
	overhead.AddedP50 = overhead.ViaEntryVM.OverP50 - overhead.Direct.OverP50
	overhead.AddedP99 = overhead.ViaEntryVM.OverP99 - overhead.Direct.OverP99
	for _, sample := range append(viaEntryVM.completed, direct.completed...) {
		if sample.Outcome != Answered && isScored(&sample) {
			overhead.Failed++
		}
	}
	return overhead
}

// sendLookUp sends one look-up and records its outcome.
func (r *run) sendLookUp(ctx context.Context, client *http.Client, target *samples, request *Request, address, key string) {
	start := r.clock.Micros()
	caller := &caller{http: client}
	response, err := caller.attempt(ctx, address, request, key)
	sample := Sample{Request: request, LatencyMicros: r.clock.Micros() - start}
	sample.Outcome, sample.Reason = classify(response, err)
	target.add(sample)
}

// leastLoadedEndpoint returns the address of the endpoint with the most free slots.
func leastLoadedEndpoint(f *firm.Firm, service *document.Service) (address string) {
	most := -1
	for _, declared := range service.Endpoints {
		if free := declared.Slots - f.Endpoint(declared.Name).Running(); free > most {
			most, address = free, declared.Address
		}
	}
	return address
}

// Print writes the comparison to out as one line.
func (o *Overhead) Print(out io.Writer) {
	fmt.Fprintf(out, "%s, half load, seed %d, %d s: over the service time, through an entry VM p50 %.2f ms p99 %.2f ms (%d look-ups), straight p50 %.2f ms p99 %.2f ms (%d); added p50 %.2f ms, p99 %.2f ms; %d failed; timer lag p99 %.1f ms\n",
		o.Firm, o.Seed, o.Seconds, toMillis(o.ViaEntryVM.OverP50), toMillis(o.ViaEntryVM.OverP99), o.ViaEntryVM.Count,
		toMillis(o.Direct.OverP50), toMillis(o.Direct.OverP99), o.Direct.Count, toMillis(o.AddedP50), toMillis(o.AddedP99), o.Failed, toMillis(o.TimerLagP99))
}
