package fleet

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/wire/operator"
)

const (
	// settleDuration gives leases and membership views time to become stable before
	// the idle measurement begins.
	settleDuration = 8 * clock.Second
	// changeTimeout limits the time to apply one changed document.
	changeTimeout = 30 * clock.Second
	percent       = 100
	megabyte      = 1e6
)

// Measurements holds the cost of a fleet of one size. CPU time and memory are those
// of the whole process divided by the number of VMs, so they include the store's
// stand-in and the measurement itself.
type Measurements struct {
	VMs         int `json:"vms"`
	DataCentres int `json:"data_centres"`
	// IdleCPUPercent is the CPU time of an idle VM, in percent of a core.
	IdleCPUPercent float64 `json:"rest_cpu_percent"`
	// IdlePeerBytes and IdleStoreBytes are what an idle VM sends to and receives from
	// its peers and the store, in bytes a second.
	IdlePeerBytes  float64 `json:"rest_peer_bytes_per_second"`
	IdleStoreBytes float64 `json:"rest_store_bytes_per_second"`
	// HeapMB is the live heap for each VM, in megabytes of 10^6 bytes.
	HeapMB float64 `json:"heap_mb"`
	// IdleStoreReads and IdleStoreWrites are the calls a second that the store
	// receives from the idle fleet. An open watch counts as one read each second.
	IdleStoreReads  float64 `json:"rest_store_reads_per_second"`
	IdleStoreWrites float64 `json:"rest_store_writes_per_second"`
	// ChangeMedianMs and ChangeMaxMs are the median and the maximum duration, in
	// milliseconds, of the operator API call that applies a changed document. The call
	// returns when all VMs have confirmed the document, or after its time limit.
	ChangeMedianMs float64 `json:"change_median_ms"`
	ChangeMaxMs    float64 `json:"change_worst_ms"`
	// ChangeCPUMs and ChangeBytes are the CPU time in milliseconds and the bytes
	// exchanged with peers that one change costs one VM, above the idle cost.
	ChangeCPUMs float64 `json:"change_cpu_ms"`
	ChangeBytes float64 `json:"change_bytes"`
	// Unconfirmed is the number of confirmations that were missing when these calls
	// returned, summed over all changes.
	Unconfirmed int `json:"unconfirmed"`
	// Restarted is how many VMs restarted at once, and RestartMs the time until all
	// of them were ready, in milliseconds. RestartPeakStoreCalls is the highest number
	// of reads and writes together that the store received in one second of that time.
	Restarted             int     `json:"returned"`
	RestartMs             float64 `json:"return_ms"`
	RestartPeakStoreCalls int     `json:"return_worst_store_calls"`
}

// Plan selects what to measure.
type Plan struct {
	VMs, DataCentres int
	// IdleDuration is the length of the measurement of the idle fleet.
	IdleDuration clock.Millis
	// Changes is how many documents are applied, one after the other. Each has
	// DocumentBytes bytes or a little more.
	Changes       int
	DocumentBytes int
	// Restarted is how many VMs restart at once; 0 skips this measurement.
	Restarted int
}

// Measure starts a fleet, measures it as planned and stops it. If it fails, it also
// returns the figures measured so far.
func Measure(ctx context.Context, plan Plan) (figures Measurements, err error) {
	defer fault.Annotate(&err, "measuring a fleet of %d entry VMs", plan.VMs)
	f, err := Start(ctx, plan.VMs, plan.DataCentres)
	if err != nil {
		return Measurements{}, err
	}
	defer f.Stop()
	figures = Measurements{VMs: plan.VMs, DataCentres: plan.DataCentres}
	if err := clock.Sleep(ctx, settleDuration); err != nil {
		return figures, err
	}
	if err := f.measureIdle(ctx, plan, &figures); err != nil {
		return figures, err
	}
	if err := f.measureChanges(ctx, plan, &figures); err != nil {
		return figures, err
	}
	return figures, f.measureRestart(ctx, plan, &figures)
}

// usage is the CPU time that the process has used and the bytes that its VMs have
// exchanged until the time at.
type usage struct {
	at                    time.Time
	cpu                   time.Duration
	peerBytes, storeBytes int64
}

func (f *Fleet) currentUsage() usage {
	return usage{at: time.Now(), cpu: cpuTime(), peerBytes: f.peerBytes.Load(), storeBytes: f.storeBytes.Load()}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (f *Fleet) measureIdle(ctx context.Context, plan Plan, figures *Measurements) error {
	before := f.currentUsage()
	if err := clock.Sleep(ctx, plan.IdleDuration); err != nil {
		return err
	}
	after := f.currentUsage()
	seconds := after.at.Sub(before.at).Seconds()
	vmSeconds := float64(plan.VMs) * seconds
	figures.IdleCPUPercent = percent * (after.cpu - before.cpu).Seconds() / vmSeconds
	// dial counts a connection between peers once, at the VM that opened it, but its
	// bytes cost both VMs.
	figures.IdlePeerBytes = 2 * float64(after.peerBytes-before.peerBytes) / vmSeconds
	figures.IdleStoreBytes = float64(after.storeBytes-before.storeBytes) / vmSeconds
	figures.IdleStoreReads, figures.IdleStoreWrites = f.callsPerSecond(plan.IdleDuration)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	figures.HeapMB = float64(memory.HeapAlloc) / megabyte / float64(plan.VMs)
	return nil
}

// callsPerSecond returns the average numbers of reads and writes that the store
// received in a second. It averages over as many seconds as duration holds: the most
// recent ones with calls, except the last one, which may not be complete.
func (f *Fleet) callsPerSecond(duration clock.Millis) (reads, writes float64) {
	seconds := f.store.CallCounts().Seconds
	maxSeconds := int(duration / clock.Second)
	if len(seconds) > 0 {
		seconds = seconds[:len(seconds)-1]
	}
	seconds = seconds[max(0, len(seconds)-maxSeconds):]
	if len(seconds) == 0 {
		return 0, 0
	}
	for _, second := range seconds {
		reads += float64(second.Reads)
		writes += float64(second.Writes)
	}
	return reads / float64(len(seconds)), writes / float64(len(seconds))
}

func (f *Fleet) measureChanges(ctx context.Context, plan Plan, figures *Measurements) error {
	if plan.Changes == 0 {
		return nil
	}
	client := f.Client()
	timesMs := make([]float64, 0, plan.Changes)
	before := f.currentUsage()
	for i := range plan.Changes {
		tookMs, unconfirmed, err := applyDocument(ctx, client, i, plan.DocumentBytes)
		if err != nil {
			return err
		}
		timesMs = append(timesMs, tookMs)
		figures.Unconfirmed += unconfirmed
	}
	after := f.currentUsage()
	seconds := after.at.Sub(before.at).Seconds()
	vmChanges := float64(plan.VMs * plan.Changes)
	idleCPU := figures.IdleCPUPercent / percent * seconds * float64(plan.VMs)
	figures.ChangeCPUMs = ((after.cpu - before.cpu).Seconds() - idleCPU) * float64(clock.Second) / vmChanges
	idleBytes := figures.IdlePeerBytes * seconds * float64(plan.VMs)
	figures.ChangeBytes = (2*float64(after.peerBytes-before.peerBytes) - idleBytes) / vmChanges
	slices.Sort(timesMs)
	figures.ChangeMedianMs = timesMs[len(timesMs)/2]
	figures.ChangeMaxMs = timesMs[len(timesMs)-1]
	return nil
}

// applyDocument applies a new document of about size bytes through the operator API,
// whose call waits for the confirmations of all VMs. It returns how long the call
// took, in milliseconds, and how many VMs had not confirmed by then.
func applyDocument(ctx context.Context, client *operator.Client, i, size int) (tookMs float64, unconfirmed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout.Duration())
	defer cancel()
	name := fmt.Sprintf("service-%d", i)
	request := operator.ApplyRequest{Text: documentText(name, size), Author: "measure"}
	startedAt := time.Now()
	applied, err := client.Apply(ctx, name, request)
	if err != nil {
		return 0, 0, err
	}
	return float64(time.Since(startedAt).Microseconds()) / 1000, len(applied.Unconfirmed), nil
}

// documentText returns a service document of about size bytes.
func documentText(name string, size int) string {
	text := fmt.Sprintf("[service]\nname = %s\n\n[route /%s/]\nwork = catalogue\n", name, name)
	for i := 0; len(text) < size; i++ {
		text += fmt.Sprintf("\n[workspace workspace-%d]\nrate = 10\nburst = 20\n", i)
	}
	return text
}

// measureRestart stops the last plan.Restarted VMs, starts them again all at once and
// measures the time until they are ready.
func (f *Fleet) measureRestart(ctx context.Context, plan Plan, figures *Measurements) error {
	if plan.Restarted == 0 {
		return nil
	}
	restarting := f.vms[len(f.vms)-plan.Restarted:]
	for _, entry := range restarting {
		entry.cancel()
	}
	for _, entry := range restarting {
		<-entry.exited
	}
	secondsBefore := len(f.store.CallCounts().Seconds)
	startedAt := time.Now()
	for _, entry := range restarting {
		f.startVM(ctx, entry)
	}
	if err := f.awaitReady(ctx, restarting); err != nil {
		return err
	}
	figures.Restarted = plan.Restarted
	figures.RestartMs = float64(time.Since(startedAt).Milliseconds())
	for _, second := range f.store.CallCounts().Seconds[max(0, secondsBefore-1):] {
		figures.RestartPeakStoreCalls = max(figures.RestartPeakStoreCalls, second.Reads+second.Writes)
	}
	return nil
}
