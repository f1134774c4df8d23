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

// HalfLoad is the measure of what an entry VM adds to a look-up.
const HalfLoad = "half-load"

// halfLoad is the part of the catalogue's slots in use, in percent.
const halfLoad = 50

// Overhead compares look-ups through entry VMs with look-ups sent straight to
// endpoints, in one run on loopback without the network's delays. Over is the
// time beyond the drawn service time.
type Overhead struct {
	Firm       string  `json:"firm"`
	Seed       uint64  `json:"seed"`
	Seconds    int     `json:"seconds"`
	ViaEntryVM Latency `json:"through"`
	Direct     Latency `json:"direct"`
	// AddedP50 and AddedP99 are the difference of the percentiles of Over.
	AddedP50    int64 `json:"added_p50_us"`
	AddedP99    int64 `json:"added_p99_us"`
	Failed      int   `json:"failed"`
	TimerLagP99 int64 `json:"timer_lag_p99_us"`
}

// MeasureOverhead sends look-ups with keys at half of the catalogue's slots, in turns
// through an entry VM and straight to the endpoint with the fewest requests.
func (m *Benchmark) MeasureOverhead(ctx context.Context) (found *Overhead, err error) {
	defer fault.Annotate(&err, "measuring the overhead of %s", m.Firm)
	ctx, cancel := context.WithCancel(ctx)
	r := &run{Benchmark: m, watcher: newWatcher()}
	r.firm, err = firm.Start(ctx, firm.Config{Name: m.Firm, Log: m.Log, EditDocument: m.edit, ConfigureEndpoint: r.shape, NoNetworkDelays: true})
	if err != nil {
		cancel()
		return nil, err
	}
	defer func() {
		cancel()
		r.firm.Stop()
	}()
	r.watcher.firm = r.firm
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go r.watcher.run(watching)
	return r.compare(ctx), nil
}

// compare plays the look-ups.
func (r *run) compare(ctx context.Context) *Overhead {
	service, route := r.firm.Route(document.WorkCatalogue, false)
	planner := &planner{firm: r.firm, random: rand.New(rand.NewPCG(r.Seed, 0)), times: r.times()}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	defer client.CloseIdleConnections()
	through, direct := &samples{}, &samples{}
	var calls sync.WaitGroup
	perSecond := planner.capacity(service.Service) * halfLoad / 100
	start := r.clock.Micros()
	for i, at := 0, 0.0; at < float64(warmTime+r.ScoredDuration)*1000; i++ {
		at += planner.random.ExpFloat64() / perSecond * 1e6
		if wait := clock.Millis((start + int64(at) - r.clock.Micros()) / 1000); wait > 0 && clock.Sleep(ctx, wait) != nil {
			break
		}
		request := &Request{SendAt: int64(at), Service: service.Name, Work: document.WorkCatalogue, Path: fmt.Sprintf("%sh-%06d", route.Prefix, i)}
		request.Floor = int64(planner.pathTime(service.Service, request.Path)) * 1000
		entry := r.firm.EntryVMs[i/2%len(r.firm.EntryVMs)].Settings.CallerAddress
		key := r.firm.Keys[i/2%len(r.firm.Keys)].Text
		if i%2 == 0 {
			calls.Go(func() { r.lookUp(ctx, client, through, request, entry, key) })
			continue
		}
		calls.Go(func() { r.lookUp(ctx, client, direct, request, leastBusy(r.firm, service.Service), "") })
	}
	calls.Wait()
	return r.overhead(through, direct)
}

func (r *run) overhead(through, direct *samples) *Overhead {
	found := &Overhead{Firm: r.Firm, Seed: r.Seed, Seconds: int(r.ScoredDuration / clock.Second), TimerLagP99: r.watcher.lag.ValueAtQuantile(99)}
	isScored := func(s *Sample) bool { return s.SendAt >= int64(warmTime)*1000 }
	found.ViaEntryVM = measureLatency(through.ended, isScored)
	found.Direct = measureLatency(direct.ended, isScored)
	found.AddedP50 = found.ViaEntryVM.OverP50 - found.Direct.OverP50
	found.AddedP99 = found.ViaEntryVM.OverP99 - found.Direct.OverP99
	for _, sample := range append(through.ended, direct.ended...) {
		if sample.Outcome != Answered && isScored(&sample) {
			found.Failed++
		}
	}
	return found
}

// lookUp sends one look-up and notes its end.
func (r *run) lookUp(ctx context.Context, client *http.Client, into *samples, request *Request, address, key string) {
	start := r.clock.Micros()
	caller := &caller{http: client}
	got, err := caller.try(ctx, address, request, key)
	sample := Sample{Request: request, LatencyMicros: r.clock.Micros() - start}
	sample.Outcome, sample.Reason = endOf(got, err)
	into.add(sample)
}

// leastBusy returns the address of the endpoint with the most free slots.
func leastBusy(f *firm.Firm, service *document.Service) (address string) {
	most := -1
	for _, declared := range service.Endpoints {
		if free := declared.Slots - f.Endpoint(declared.Name).Running(); free > most {
			most, address = free, declared.Address
		}
	}
	return address
}

// Print writes the comparison.
func (o *Overhead) Print(out io.Writer) {
	fmt.Fprintf(out, "%s, half load, seed %d, %d s: over the service time, through an entry VM p50 %.2f ms p99 %.2f ms (%d look-ups), straight p50 %.2f ms p99 %.2f ms (%d); added p50 %.2f ms, p99 %.2f ms; %d failed; timer lag p99 %.1f ms\n",
		o.Firm, o.Seed, o.Seconds, millis(o.ViaEntryVM.OverP50), millis(o.ViaEntryVM.OverP99), o.ViaEntryVM.Count,
		millis(o.Direct.OverP50), millis(o.Direct.OverP99), o.Direct.Count, millis(o.AddedP50), millis(o.AddedP99), o.Failed, millis(o.TimerLagP99))
}
