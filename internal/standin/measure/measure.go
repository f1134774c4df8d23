// Package measure plays a firm's load against the entry VMs and against two
// baselines, with the same seed, and says how each decided: latency over the
// floor, headroom, drain time, the worst-served workspace, refusals inside a
// rate, uploads kept, orders doubled and retries.
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

// SystemPolicy is the policy of the entry VMs' own process.
const SystemPolicy = "shares"

// Policies lists the policies that are compared.
func Policies() []string {
	return []string{SystemPolicy, string(baseline.EvenSplit), string(baseline.Nearest)}
}

const (
	// warmTime is how long the load runs before it is scored.
	warmTime = 3 * clock.Second
	// spread is how much service times vary either way, in percent.
	spread = 20
	// coldRuns and coldPercent are the cold start of endpoints that take no uploads.
	coldRuns    = 20
	coldPercent = 100
	// endTime is how long a run waits for requests under way at its end.
	endTime = 3 * clock.Second
)

// Benchmark is one scenario with one policy.
type Benchmark struct {
	Firm     string
	Scenario string
	Policy   string
	Seed     uint64
	// Length is how long the load is scored.
	ScoredDuration clock.Millis
	// Stretch multiplies the catalogue's service time and divides its rates, so
	// that the machine keeps up with the load.
	Stretch int
	Log     logrus.FieldLogger
}

// Result is what a run showed.
type Result struct {
	Firm     string  `json:"firm"`
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Seconds  int     `json:"seconds"`
	Stretch  int     `json:"stretch"`
	Latency  Latency `json:"latency"`
	// Catalogue and Orders are parts of Latency.
	Catalogue Latency `json:"catalogue"`
	Orders    Latency `json:"orders"`
	// FreeSlots is the least free slot share of a service in a region in any
	// second, FreeLink that of a link's bandwidth in any second.
	MinFreeSlotShare float64 `json:"free_slots"`
	MinFreeSlotGroup string  `json:"free_slots_where"`
	MinFreeLinkShare float64 `json:"free_link"`
	MinFreeLink      string  `json:"free_link_where"`
	// LostShare is the worst workspace's served share of what was sent while a
	// region was lost; LostBound is what the other regions' slots could serve of
	// that service's load at best. Both are -1 where none was lost.
	OutageWorstShare     float64         `json:"lost_share"`
	OutageShareBound     float64         `json:"lost_bound"`
	OutageWorstWorkspace WorkspaceResult `json:"lost_worst"`
	// DrainMs is -1 where nothing was drained.
	DrainMs           clock.Millis    `json:"drain_ms"`
	WorstServedShare  float64         `json:"worst_share"`
	WorstWorkspace    WorkspaceResult `json:"worst"`
	RefusedWithinRate int             `json:"refused_inside"`
	PublicServedShare float64         `json:"open_share"`
	Sent              int             `json:"sent"`
	// SecondShares is the share answered in time of what was sent in each second.
	InTimeShares []float64 `json:"second_shares"`
	InTime       int       `json:"in_time"`
	UploadsSent  int       `json:"uploads_sent"`
	// UploadsKept counts uploads that an endpoint has whole.
	UploadsStored    int `json:"uploads_kept"`
	OrdersSent       int `json:"orders_sent"`
	OrdersDuplicated int `json:"orders_doubled"`
	// NewRuns and NewFailed count runs on a new version, NewShareAfter is its share
	// of the catalogue after the time by which the move was to be done; -1 where
	// nothing moved.
	NewVersionRuns               int64   `json:"new_runs"`
	NewVersionFailed             int64   `json:"new_failed"`
	NewVersionShareAfterDeadline float64 `json:"new_share_after"`
	// RetryShare is the share of retries in what came to endpoints, in the worst second.
	PeakRetryShare float64           `json:"retry_share"`
	Reasons        map[string]int    `json:"reasons"`
	Workspaces     []WorkspaceResult `json:"fates"`
	// Unfinished requests had no end when the run was over.
	Unfinished int64 `json:"unfinished"`
	// Cores is the processor time of the whole process per second, LagP99 how
	// late a timer was; both say whether the machine was the bottleneck.
	Cores           float64  `json:"cores"`
	TimerLagP99     int64    `json:"timer_lag_p99_us"`
	PeakStoreWrites int      `json:"store_worst_writes"`
	StoreRefused    int64    `json:"store_refused"`
	Notes           []string `json:"notes,omitempty"`
}

// run is a measure under way.
type run struct {
	*Benchmark
	firm      *firm.Firm
	watcher   *watcher
	callers   map[string][]*caller
	samples   samples
	clock     clock.Clock
	drainedAt clock.Millis
	// start is when the load began; a region was lost from lostAt to backAt, 0 for
	// never.
	start, lostAt, backAt clock.Millis
	notes                 []string
	// oldAtEnd and newAtEnd are the runs on each version when a move was to be done.
	oldAtEnd, newAtEnd int64
}

// serviceTimes are the mean service times by firm and document.
var serviceTimes = map[string]map[string]clock.Millis{
	examples.MunroLennox: {"catalogue": 20, "orders": 60, "proofroom": 1000},
	examples.TresTintas:  {"catalogo": 15, "pedidos": 50, "artes": 800},
}

// Run plays the load and returns what it showed.
func (m *Benchmark) Run(ctx context.Context) (row *Result, err error) {
	defer fault.Annotate(&err, "measuring %s of %s with %s", m.Scenario, m.Firm, m.Policy)
	ctx, cancel := context.WithCancel(ctx)
	r := &run{Benchmark: m, watcher: newWatcher(), drainedAt: -1}
	plan := firm.Config{Name: m.Firm, Log: m.Log, EditDocument: m.edit, ConfigureEndpoint: r.shape}
	if m.Policy != SystemPolicy {
		plan.ServeEntryVM = baseline.ServeFunc(baseline.Policy(m.Policy))
	}
	r.firm, err = firm.Start(ctx, plan)
	if err != nil {
		cancel()
		return nil, err
	}
	defer func() {
		cancel()
		r.firm.Stop()
	}()
	r.watcher.firm = r.firm
	r.callers = newCallers(r.firm, r.pinned())
	defer r.closeCallers()
	return r.play(ctx)
}

func (r *run) closeCallers() {
	for _, callers := range r.callers {
		for _, caller := range callers {
			caller.http.CloseIdleConnections()
		}
	}
}

// pinned is the VM on which all callers lean, if the scenario says so.
func (r *run) pinned() *wireCaller.EntryVM {
	if r.Scenario != SingleEntryVM {
		return nil
	}
	return &r.firm.AdvertisedEntryVMs()[0]
}

// shape gives an endpoint its service time and its cold start. Endpoints that take
// uploads have none: uploads are so few that the warm-up would not end it.
func (r *run) shape(owner *document.Service, made *endpoint.Endpoint) {
	made.ServiceTime = r.times()[owner.Name]
	made.JitterPercent, made.ServiceTimeByPath = spread, true
	if !takesUploads(owner) {
		made.WarmUpRequests, made.WarmUpSlowPercent = coldRuns, coldPercent
	}
	made.OnArrival = r.watcher.arrive
}

func takesUploads(service *document.Service) bool {
	return slices.ContainsFunc(service.Routes, func(route document.Route) bool { return route.Work == document.WorkUpload })
}

// times are the service times of this run.
func (m *Benchmark) times() map[string]clock.Millis {
	times := map[string]clock.Millis{}
	for name, time := range serviceTimes[m.Firm] {
		times[name] = time
		if name == catalogues[m.Firm] {
			times[name] = time * clock.Millis(m.Stretch)
		}
	}
	return times
}

// catalogues names each firm's catalogue service.
var catalogues = map[string]string{examples.MunroLennox: "catalogue", examples.TresTintas: "catalogo"}

var (
	blockPattern = regexp.MustCompile(`blocks = 10\.`)
	limitPattern = regexp.MustCompile(`(?m)^(rate|burst) = ([0-9]+)$`)
)

// edit puts the callers' blocks on the loopback network and stretches the
// catalogue's rates.
func (m *Benchmark) edit(text string) string {
	text = blockPattern.ReplaceAllString(text, "blocks = 127.")
	if strings.Contains(text, "\nname = "+catalogues[m.Firm]+"\n") {
		text = limitPattern.ReplaceAllStringFunc(text, func(line string) string { return divided(line, m.Stretch) })
	}
	return text
}

// play runs warm-up, load and steps, and scores.
func (r *run) play(ctx context.Context) (*Result, error) {
	planner := &planner{firm: r.firm, random: rand.New(rand.NewPCG(r.Seed, 0)), factors: r.factors(), times: r.times()}
	requests := planner.plan(warmTime + r.ScoredDuration)
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go r.watcher.run(watching)
	start := r.clock.Now()
	r.start = start
	var steps sync.WaitGroup
	steps.Go(func() { r.step(ctx, start+warmTime) })
	cpu := cpuMicros()
	r.send(ctx, requests)
	steps.Wait()
	cores := float64(cpuMicros()-cpu) / 1000 / float64(r.clock.Now()-start)
	row := r.score(start+warmTime, start+warmTime+r.ScoredDuration)
	row.Cores = cores
	return row, nil
}

// factors is what the scenario multiplies.
func (r *run) factors() map[string]float64 {
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
	return map[string]float64{largest.Name: fiveTimes}
}

// fiveTimes makes a workspace that sends rateLoad percent send five times its rate.
const fiveTimes = 5 * 100.0 / rateLoad

func (r *run) step(ctx context.Context, start clock.Millis) {
	for _, step := range scenarioSteps(r.Scenario) {
		at := start + r.ScoredDuration*clock.Millis(step.percent)/100
		if clock.Sleep(ctx, at-r.clock.Now()) != nil {
			return
		}
		if err := step.do(ctx, r); err != nil {
			r.notes = append(r.notes, "a step failed: "+err.Error())
		}
	}
}

// send sends each request at its time, whether or not earlier ones have ended.
func (r *run) send(ctx context.Context, requests []*Request) {
	keys := map[string]string{}
	for _, key := range r.firm.Keys {
		keys[key.Workspace] = key.Text
	}
	start := r.clock.Micros()
	for _, request := range requests {
		if wait := clock.Millis((start + request.SendAt - r.clock.Micros()) / 1000); wait > 0 && clock.Sleep(ctx, wait) != nil {
			return
		}
		r.samples.open.Add(1)
		go r.sendOne(ctx, request, keys[request.Workspace])
	}
	for waited := clock.Millis(0); r.samples.open.Load() > 0 && waited < endTime; waited += watchInterval {
		_ = clock.Sleep(ctx, watchInterval)
	}
}

func (r *run) sendOne(ctx context.Context, request *Request, key string) {
	defer r.samples.open.Add(-1)
	callers := r.callers[request.Region]
	if request.SentTwice {
		r.samples.open.Add(1)
		go func() {
			defer r.samples.open.Add(-1)
			_ = clock.Sleep(ctx, twiceGap)
			_, _ = callers[(request.Caller+1)%len(callers)].send(ctx, request, key)
		}()
	}
	start := r.clock.Micros()
	got, err := callers[request.Caller].send(ctx, request, key)
	sample := Sample{Request: request, LatencyMicros: r.clock.Micros() - start}
	sample.Outcome, sample.Reason = endOf(got, err)
	r.samples.add(sample)
}

// score sums up what was sent after the warm-up.
func (r *run) score(from, to clock.Millis) *Result {
	r.samples.mu.Lock()
	defer r.samples.mu.Unlock()
	var ended []Sample
	for _, sample := range r.samples.ended {
		if sample.SendAt >= int64(warmTime)*1000 {
			ended = append(ended, sample)
		}
	}
	row := &Result{
		Firm: r.Firm, Scenario: r.Scenario, Policy: r.Policy, Seed: r.Seed, Seconds: int(r.ScoredDuration / clock.Second), Stretch: r.Stretch,
		Latency:        measureLatency(ended, func(s *Sample) bool { return s.Work != document.WorkUpload }),
		Catalogue:      measureLatency(ended, func(s *Sample) bool { return s.Service == catalogues[r.Firm] }),
		Orders:         measureLatency(ended, func(s *Sample) bool { return s.Work == document.WorkOrder }),
		PeakRetryShare: r.watcher.worstRepeats(from, to), Reasons: reasons(ended), Workspaces: fates(ended),
		Unfinished: r.samples.open.Load(), TimerLagP99: r.watcher.lag.ValueAtQuantile(99), DrainMs: -1, Notes: r.notes,
	}
	row.MinFreeSlotShare, row.MinFreeSlotGroup = r.watcher.leastFree(from, to)
	row.MinFreeLinkShare, row.MinFreeLink = r.leastLink()
	row.WorstWorkspace = worst(row.Workspaces)
	row.WorstServedShare = row.WorstWorkspace.ServedShare()
	row.RefusedWithinRate = refusedInside(row.Workspaces)
	if r.drainedAt >= 0 {
		row.DrainMs = r.watcher.emptyAt - r.drainedAt
	}
	r.scoreLoss(row, ended)
	r.scoreMove(row)
	r.count(row, ended)
	row.InTimeShares = secondShares(ended)
	calls := r.firm.Store.CallCounts()
	row.PeakStoreWrites, row.StoreRefused = calls.MaxWritesPerSecond, calls.OverBudget
	return row
}

// scoreLoss looks at what was sent while a region was lost.
func (r *run) scoreLoss(row *Result, ended []Sample) {
	row.OutageWorstShare, row.OutageShareBound = -1, -1
	if r.backAt == 0 {
		return
	}
	from, to := int64(r.lostAt-r.start)*1000, int64(r.backAt-r.start)*1000
	var sent []Sample
	for _, sample := range ended {
		if sample.SendAt >= from && sample.SendAt < to {
			sent = append(sent, sample)
		}
	}
	row.OutageWorstWorkspace = worst(fates(sent))
	row.OutageWorstShare = row.OutageWorstWorkspace.ServedShare()
	for _, service := range r.firm.CurrentServices() {
		if service.Name == row.OutageWorstWorkspace.Service {
			row.OutageShareBound = lossBound(service, r.lostRegion(), sent, r.times()[service.Name], r.backAt-r.lostAt)
		}
	}
}

// lossBound is the share of a service's load within the rates that the slots
// outside the lost region can run in a length of time.
func lossBound(service *document.Service, lost string, sent []Sample, serviceTime, length clock.Millis) float64 {
	slots, within := 0, 0
	for _, endpoint := range service.Endpoints {
		if endpoint.Region != lost {
			slots += endpoint.Slots
		}
	}
	for i := range sent {
		if sent[i].Service == service.Name && sent[i].WithinRate {
			within++
		}
	}
	if within == 0 {
		return 1
	}
	return min(1, float64(slots)*float64(length)/float64(serviceTime)/float64(within))
}

// leastLink returns the least free share of any link's bandwidth in any second
// since the start.
func (r *run) leastLink() (least float64, where string) {
	least = 1
	for _, traffic := range r.firm.Network.Traffic() {
		link := r.firm.Fleet.Link(traffic.From, traffic.To)
		if link == nil {
			continue
		}
		if free := 1 - float64(traffic.MaxBytesPerSecond)*8/1e6/float64(link.Mbit); free < least {
			least, where = free, traffic.From+" to "+traffic.To
		}
	}
	return least, where
}

// count looks at what the endpoints have.
func (r *run) count(row *Result, ended []Sample) {
	kept, orders := map[string]bool{}, map[string]int{}
	for _, endpoint := range r.firm.Endpoints {
		counts := endpoint.Counts()
		for _, upload := range counts.Uploads {
			kept[upload.Path] = kept[upload.Path] || upload.Bytes == uploadBytes
		}
		for order, runs := range counts.OrderRuns {
			orders[order] += runs
		}
	}
	open := WorkspaceResult{}
	for i := range ended {
		sample := &ended[i]
		row.Sent++
		if sample.InTime() {
			row.InTime++
		}
		switch {
		case sample.Work == document.WorkUpload:
			row.UploadsSent++
			if kept[sample.Path] {
				row.UploadsStored++
			}
		case sample.Work == document.WorkOrder:
			row.OrdersSent++
			if orders[sample.OrderID] > 1 {
				row.OrdersDuplicated++
			}
		case sample.Workspace == "":
			open.add(sample)
		}
	}
	row.PublicServedShare = open.ServedShare()
}

// cpuMicros is the process's processor time so far.
func cpuMicros() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano()/1000 + usage.Stime.Nano()/1000
}
