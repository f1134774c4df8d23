// Package measure is a benchmark of steering policies. It generates a firm's load
// from a seed and sends the same load to the system's entry VMs and to two baseline
// policies. During each run it injects the changes and faults of a scenario. It
// reports for each policy: latency, free slots and bandwidth, drain time, the
// worst-served workspace, refusals within a workspace's rate, uploads stored,
// orders that ran more than once, and retries.
//
// The floor of a request is the latency that no policy can avoid: the round trip
// between the client and its nearest region, and the endpoint's service time.
// Latency over the floor is a request's latency minus its floor. Its percentiles are
// taken over these differences.
//
// A workspace's requests are within its rate if one token bucket with its whole rate
// and burst would admit them. Its served share is the number of its requests answered
// within their deadline, divided by the number within its rate, and at most 1.
//
// The load of the warm-up at the start of a run is not scored.
package measure

import (
	"context"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/standin/baseline"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/firm"
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
)

// SystemPolicy is the policy of the system itself: the real entry VM process runs
// on each entry VM.
const SystemPolicy = "shares"

// Policies returns the names of the policies that are compared.
func Policies() []string {
	return []string{SystemPolicy, string(baseline.EvenSplit), string(baseline.Nearest)}
}

const (
	// warmUpDuration is how long the load runs before it is scored.
	warmUpDuration = 3 * clock.Second
	// serviceTimeJitterPercent is by how much service times vary in either direction.
	serviceTimeJitterPercent = 20
	// warmUpRequests and warmUpSlowPercent describe the cold start of endpoints that
	// take no uploads: how many requests are slower, and by how much the first is.
	warmUpRequests    = 20
	warmUpSlowPercent = 100
	// completionTimeout is how long a run waits at its end for requests in flight.
	completionTimeout = 3 * clock.Second
)

// Benchmark is one scenario with one policy. Run measures it; MeasureOverhead
// measures the overhead of an entry VM instead.
type Benchmark struct {
	Firm     string
	Scenario string
	Policy   string
	Seed     uint64
	// ScoredDuration is how long the load is scored, after the warm-up.
	ScoredDuration clock.Millis
	// Stretch multiplies the catalogue's service time and divides its rates and
	// bursts, so that the machine keeps up with the load.
	Stretch int
	Log     logrus.FieldLogger
}

// run is a benchmark in progress.
type run struct {
	*Benchmark
	firm           *firm.Firm
	monitor        *monitor
	callers        map[string][]*caller
	samples        samples
	clock          clock.Clock
	drainStartedAt clock.Millis
	// start is when the load began. A region's outage lasts from outageStart to
	// outageEnd; both are 0 if there is none.
	start, outageStart, outageEnd clock.Millis
	notes                         []string
	// oldRunsAtDeadline and newRunsAtDeadline are how many requests had run on each
	// version at the move's deadline.
	oldRunsAtDeadline, newRunsAtDeadline int64
}

// baseServiceTimes holds the mean service times by firm and service, before
// Benchmark.Stretch applies.
var baseServiceTimes = map[string]map[string]clock.Millis{
	examples.MunroLennox: {"catalogue": 20, "orders": 60, "proofroom": 1000},
	examples.TresTintas:  {"catalogo": 15, "pedidos": 50, "artes": 800},
}

// Run starts the firm, runs the scenario's load and returns the figures.
func (b *Benchmark) Run(ctx context.Context) (result *Result, err error) {
	defer fault.Annotate(&err, "running scenario %s of firm %s with policy %s", b.Scenario, b.Firm, b.Policy)
	ctx, cancel := context.WithCancel(ctx)
	r := &run{Benchmark: b, monitor: newMonitor(), drainStartedAt: -1}
	config := firm.Config{Name: b.Firm, Log: b.Log, EditDocument: b.editDocument, ConfigureEndpoint: r.configureEndpoint}
	if b.Policy != SystemPolicy {
		config.ServeEntryVM = baseline.ServeFunc(baseline.Policy(b.Policy))
	}
	r.firm, err = firm.Start(ctx, config)
	if err != nil {
		cancel()
		return nil, err
	}
	defer func() {
		cancel()
		r.firm.Stop()
	}()
	r.monitor.firm = r.firm
	r.callers = newCallers(r.firm, r.pinnedEntryVM())
	defer r.closeIdleConnections()
	return r.execute(ctx)
}

func (r *run) closeIdleConnections() {
	for _, callers := range r.callers {
		for _, caller := range callers {
			caller.http.CloseIdleConnections()
		}
	}
}

// pinnedEntryVM returns the entry VM that all callers try first, or nil if the
// scenario has no such VM.
func (r *run) pinnedEntryVM() *wireCaller.EntryVM {
	if r.Scenario != SingleEntryVM {
		return nil
	}
	return &r.firm.AdvertisedEntryVMs()[0]
}

// configureEndpoint sets an endpoint's service time and cold start. Endpoints that
// take uploads have no cold start: uploads are so few that these endpoints would
// still be cold after the benchmark's warm-up.
func (r *run) configureEndpoint(owner *document.Service, standIn *endpoint.Endpoint) {
	standIn.ServiceTime = r.serviceTimes()[owner.Name]
	standIn.JitterPercent, standIn.ServiceTimeByPath = serviceTimeJitterPercent, true
	if !takesUploads(owner) {
		standIn.WarmUpRequests, standIn.WarmUpSlowPercent = warmUpRequests, warmUpSlowPercent
	}
	standIn.OnArrival = r.monitor.recordArrival
}

func takesUploads(service *document.Service) bool {
	return slices.ContainsFunc(service.Routes, func(route document.Route) bool { return route.Work == document.WorkUpload })
}

// serviceTimes returns the mean service times by service, with Stretch applied to
// the catalogue.
func (b *Benchmark) serviceTimes() map[string]clock.Millis {
	scaled := map[string]clock.Millis{}
	for name, mean := range baseServiceTimes[b.Firm] {
		scaled[name] = mean
		if name == catalogueNames[b.Firm] {
			scaled[name] = mean * clock.Millis(b.Stretch)
		}
	}
	return scaled
}

// catalogueNames holds the name of each firm's catalogue service.
var catalogueNames = map[string]string{examples.MunroLennox: "catalogue", examples.TresTintas: "catalogo"}

var (
	clientBlockPattern = regexp.MustCompile(`blocks = 10\.`)
	limitPattern       = regexp.MustCompile(`(?m)^(rate|burst) = ([0-9]+)$`)
)

// editDocument moves the client blocks of a document into the loopback network and
// divides the rates and bursts of the catalogue by Stretch.
func (b *Benchmark) editDocument(text string) string {
	text = clientBlockPattern.ReplaceAllString(text, "blocks = 127.")
	if strings.Contains(text, "\nname = "+catalogueNames[b.Firm]+"\n") {
		text = limitPattern.ReplaceAllStringFunc(text, func(line string) string { return divideSetting(line, b.Stretch) })
	}
	return text
}

// execute runs the warm-up and the load with the scenario's steps, and returns the
// figures.
func (r *run) execute(ctx context.Context) (*Result, error) {
	generator := &generator{firm: r.firm, random: rand.New(rand.NewPCG(r.Seed, 0)), rateFactors: r.rateFactors(), serviceTimes: r.serviceTimes()}
	requests := generator.generate(warmUpDuration + r.ScoredDuration)
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	go r.monitor.run(monitorCtx)
	start := r.clock.Now()
	r.start = start
	var steps sync.WaitGroup
	steps.Go(func() { r.applySteps(ctx, start+warmUpDuration) })
	cpu := cpuMicros()
	r.sendAll(ctx, requests)
	steps.Wait()
	cores := float64(cpuMicros()-cpu) / 1000 / float64(r.clock.Now()-start)
	result := r.score(start+warmUpDuration, start+warmUpDuration+r.ScoredDuration)
	result.Cores = cores
	return result, nil
}

// rateFactors returns, by workspace, the factor by which the scenario multiplies
// the requests that it sends; nil if the scenario changes none.
func (r *run) rateFactors() map[string]float64 {
	if r.Scenario != LargestWorkspaceTimes5 {
		return nil
	}
	var largest *document.Workspace
	for i := range r.firm.CurrentServices()[0].Workspaces {
		workspace := &r.firm.CurrentServices()[0].Workspaces[i]
		if largest == nil || workspace.Rate > largest.Rate {
			largest = workspace
		}
	}
	return map[string]float64{largest.Name: largestWorkspaceFactor}
}

// largestWorkspaceFactor raises what a workspace sends from workspaceRatePercent of
// its rate to five times its rate.
const largestWorkspaceFactor = 5 * 100.0 / workspaceRatePercent

func (r *run) applySteps(ctx context.Context, start clock.Millis) {
	for _, step := range scenarioSteps(r.Scenario) {
		at := start + r.ScoredDuration*clock.Millis(step.atPercent)/100
		if clock.Sleep(ctx, at-r.clock.Now()) != nil {
			return
		}
		if err := step.apply(ctx, r); err != nil {
			r.notes = append(r.notes, "a step failed: "+err.Error())
		}
	}
}

// sendAll sends each request at its scheduled time, whether or not earlier ones
// have completed, and waits for those in flight at the end.
func (r *run) sendAll(ctx context.Context, requests []*Request) {
	keys := map[string]string{}
	for _, key := range r.firm.Keys {
		keys[key.Workspace] = key.Text
	}
	start := r.clock.Micros()
	for _, request := range requests {
		if wait := clock.Millis((start + request.SendAtMicros - r.clock.Micros()) / 1000); wait > 0 && clock.Sleep(ctx, wait) != nil {
			return
		}
		r.samples.inFlight.Add(1)
		go r.sendRequest(ctx, request, keys[request.Workspace])
	}
	for waited := clock.Millis(0); r.samples.inFlight.Load() > 0 && waited < completionTimeout; waited += sampleInterval {
		_ = clock.Sleep(ctx, sampleInterval)
	}
}

func (r *run) sendRequest(ctx context.Context, request *Request, key string) {
	defer r.samples.inFlight.Add(-1)
	callers := r.callers[request.Region]
	if request.SentTwice {
		r.samples.inFlight.Add(1)
		go func() {
			defer r.samples.inFlight.Add(-1)
			_ = clock.Sleep(ctx, duplicateOrderDelay)
			_, _ = callers[(request.Caller+1)%len(callers)].send(ctx, request, key)
		}()
	}
	start := r.clock.Micros()
	response, err := callers[request.Caller].send(ctx, request, key)
	sample := Sample{Request: request, LatencyMicros: r.clock.Micros() - start}
	sample.Outcome, sample.Reason = classify(response, err)
	r.samples.add(sample)
}

// cpuMicros returns the CPU time that the process has used, in microseconds.
func cpuMicros() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano()/1000 + usage.Stime.Nano()/1000
}
