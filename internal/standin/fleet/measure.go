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
	// settleTime lets leases and views settle before the fleet counts as at rest.
	settleTime = 8 * clock.Second
	// changeTimeout bounds the acceptance of one change.
	changeTimeout = 30 * clock.Second
	percent       = 100
	megabyte      = 1e6
)

// Measurements is what a fleet of one size cost. Processor time and memory hold the
// store's stand-in and the measuring too, shared out over the VMs.
type Measurements struct {
	VMs         int `json:"vms"`
	DataCentres int `json:"data_centres"`
	// RestCPUPercent is a VM's processor time at rest, in percent of a core.
	IdleCPUPercent float64 `json:"rest_cpu_percent"`
	// RestBytes is what a VM sends and receives at rest, in bytes a second.
	IdlePeerBytes  float64 `json:"rest_peer_bytes_per_second"`
	IdleStoreBytes float64 `json:"rest_store_bytes_per_second"`
	// HeapMB is the live heap for each VM.
	HeapMB float64 `json:"heap_mb"`
	// RestReads and RestWrites are the store's calls a second at rest, a waiting
	// watch counted as one in each second.
	IdleStoreReads  float64 `json:"rest_store_reads_per_second"`
	IdleStoreWrites float64 `json:"rest_store_writes_per_second"`
	// ChangeMedianMs and ChangeWorstMs are the times from the operator's call until
	// all VMs had confirmed a changed document.
	ChangeMedianMs float64 `json:"change_median_ms"`
	ChangeMaxMs    float64 `json:"change_worst_ms"`
	// ChangeCPUMs is the processor time of one change at one VM, and ChangeBytes
	// the bytes, both above those at rest.
	ChangeCPUMs float64 `json:"change_cpu_ms"`
	ChangeBytes float64 `json:"change_bytes"`
	// Unconfirmed counts confirmations that did not come in the operator's time.
	Unconfirmed int `json:"unconfirmed"`
	// ReturnMs is the time in which Returned VMs that restart together were ready,
	// and ReturnWorstCalls the store's calls in the worst second of it.
	Restarted             int     `json:"returned"`
	RestartMs             float64 `json:"return_ms"`
	RestartPeakStoreCalls int     `json:"return_worst_store_calls"`
}

// Plan says what to measure.
type Plan struct {
	VMs, DataCentres int
	// Rest is how long the fleet is watched at rest.
	IdleDuration clock.Millis
	// Changes is how many documents are changed, each of DocumentBytes or a little
	// more.
	Changes       int
	DocumentBytes int
	// Returned is how many VMs restart at once.
	Restarted int
}

// Measure runs a fleet and returns its figures.
func Measure(ctx context.Context, plan Plan) (figures Measurements, err error) {
	defer fault.Annotate(&err, "measuring a fleet of %d", plan.VMs)
	f, err := Start(ctx, plan.VMs, plan.DataCentres)
	if err != nil {
		return Measurements{}, err
	}
	defer f.Stop()
	figures = Measurements{VMs: plan.VMs, DataCentres: plan.DataCentres}
	if err := clock.Sleep(ctx, settleTime); err != nil {
		return figures, err
	}
	if err := f.measureRest(ctx, plan, &figures); err != nil {
		return figures, err
	}
	if err := f.measureChanges(ctx, plan, &figures); err != nil {
		return figures, err
	}
	return figures, f.measureReturn(ctx, plan, &figures)
}

// reading is what has been spent so far.
type reading struct {
	at                    time.Time
	cpu                   time.Duration
	peerBytes, storeBytes int64
}

func (f *Fleet) read() reading {
	return reading{at: time.Now(), cpu: processorTime(), peerBytes: f.peerBytes.Load(), storeBytes: f.storeBytes.Load()}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (f *Fleet) measureRest(ctx context.Context, plan Plan, figures *Measurements) error {
	before := f.read()
	if err := clock.Sleep(ctx, plan.IdleDuration); err != nil {
		return err
	}
	after := f.read()
	seconds := after.at.Sub(before.at).Seconds()
	each := float64(plan.VMs) * seconds
	figures.IdleCPUPercent = percent * (after.cpu - before.cpu).Seconds() / each
	// A byte between two VMs costs both of them.
	figures.IdlePeerBytes = 2 * float64(after.peerBytes-before.peerBytes) / each
	figures.IdleStoreBytes = float64(after.storeBytes-before.storeBytes) / each
	figures.IdleStoreReads, figures.IdleStoreWrites = f.callsPerSecond(plan.IdleDuration)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	figures.HeapMB = float64(memory.HeapAlloc) / megabyte / float64(plan.VMs)
	return nil
}

// callsPerSecond averages the store's calls over the last whole seconds.
func (f *Fleet) callsPerSecond(over clock.Millis) (reads, writes float64) {
	seconds := f.store.CallCounts().Seconds
	wanted := int(over / clock.Second)
	if len(seconds) > 0 {
		seconds = seconds[:len(seconds)-1]
	}
	seconds = seconds[max(0, len(seconds)-wanted):]
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
	times := make([]float64, 0, plan.Changes)
	before := f.read()
	for i := range plan.Changes {
		took, unconfirmed, err := change(ctx, client, i, plan.DocumentBytes)
		if err != nil {
			return err
		}
		times = append(times, took)
		figures.Unconfirmed += unconfirmed
	}
	after := f.read()
	seconds := after.at.Sub(before.at).Seconds()
	each := float64(plan.VMs * plan.Changes)
	restCPU := figures.IdleCPUPercent / percent * seconds * float64(plan.VMs)
	figures.ChangeCPUMs = ((after.cpu - before.cpu).Seconds() - restCPU) * float64(clock.Second) / each
	restBytes := figures.IdlePeerBytes * seconds * float64(plan.VMs)
	figures.ChangeBytes = (2*float64(after.peerBytes-before.peerBytes) - restBytes) / each
	slices.Sort(times)
	figures.ChangeMedianMs = times[len(times)/2]
	figures.ChangeMaxMs = times[len(times)-1]
	return nil
}

// change accepts one new document and returns how long that took until all VMs
// had confirmed it.
func change(ctx context.Context, client *operator.Client, i, size int) (tookMs float64, unconfirmed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout.Duration())
	defer cancel()
	name := fmt.Sprintf("service-%d", i)
	asked := operator.ApplyRequest{Text: documentText(name, size), Author: "measure"}
	began := time.Now()
	applied, err := client.Apply(ctx, name, asked)
	if err != nil {
		return 0, 0, err
	}
	return float64(time.Since(began).Microseconds()) / 1000, len(applied.Unconfirmed), nil
}

// documentText returns a service document of about size bytes.
func documentText(name string, size int) string {
	text := fmt.Sprintf("[service]\nname = %s\n\n[route /%s/]\nwork = catalogue\n", name, name)
	for i := 0; len(text) < size; i++ {
		text += fmt.Sprintf("\n[workspace workspace-%d]\nrate = 10\nburst = 20\n", i)
	}
	return text
}

// measureReturn ends some VMs at once and starts them again at once.
func (f *Fleet) measureReturn(ctx context.Context, plan Plan, figures *Measurements) error {
	if plan.Restarted == 0 {
		return nil
	}
	returning := f.vms[len(f.vms)-plan.Restarted:]
	for _, v := range returning {
		v.stop()
	}
	for _, v := range returning {
		<-v.ended
	}
	since := len(f.store.CallCounts().Seconds)
	began := time.Now()
	for _, v := range returning {
		f.startVM(ctx, v)
	}
	if err := f.awaitReady(ctx, returning); err != nil {
		return err
	}
	figures.Restarted = plan.Restarted
	figures.RestartMs = float64(time.Since(began).Milliseconds())
	for _, second := range f.store.CallCounts().Seconds[max(0, since-1):] {
		figures.RestartPeakStoreCalls = max(figures.RestartPeakStoreCalls, second.Reads+second.Writes)
	}
	return nil
}
