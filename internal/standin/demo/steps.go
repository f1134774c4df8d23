package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
)

// Sizes and time limits of the steps.
const (
	// minAdvertised is the minimum number of entry VMs in the list that a caller gets.
	// With two, the failure of one leaves another.
	minAdvertised = 2
	lookUpCount   = 300
	orderCount    = 60
	uploadCount   = 9
	uploadBytes   = 1 << 20
	// parallelism is the number of concurrent requests.
	parallelism     = 12
	outageDuration  = 2 * clock.Second
	withdrawTimeout = 5 * clock.Second
	stopTimeout     = 10 * clock.Second
)

// inParallel calls do for 0 to count-1, at most parallelism at once, and returns how many
// calls returned true.
func inParallel(count int, do func(i int) bool) (done int) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := make(chan int)
	for range parallelism {
		workers.Go(func() {
			for i := range next {
				if do(i) {
					mu.Lock()
					done++
					mu.Unlock()
				}
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	workers.Wait()
	return done
}

// requireAll returns an error unless done equals count.
func requireAll(done, count int, what string) error {
	if done == count {
		return nil
	}
	return errStepFailed.New("%d of %d %s", done, count, what)
}

// sendLookUp sends the i-th look-up: even ones to a public route, odd ones with an API key.
func (f *firm) sendLookUp(ctx context.Context, i int) (*vmResponse, error) {
	isPublic := i%2 == 0
	_, route := f.Route(document.WorkCatalogue, isPublic)
	req := &request{method: http.MethodGet, path: fmt.Sprintf("%sitem-%d", route.Prefix, i), work: document.WorkCatalogue}
	if !isPublic {
		req.key = f.Keys[i/2%len(f.Keys)].Text
	}
	return f.callers[i%len(f.callers)].send(ctx, i, req)
}

// countAnsweredLookUps sends count look-ups and returns how many were answered with status
// 200 and a body that names the requested item.
func (f *firm) countAnsweredLookUps(ctx context.Context, count int) int {
	return inParallel(count, func(i int) bool {
		got, err := f.sendLookUp(ctx, i)
		return err == nil && got.status == http.StatusOK && strings.HasSuffix(got.body, fmt.Sprintf("item-%d 0\n", i))
	})
}

// checkAdvertisedEntryVMs asks every entry VM for the list of entry VMs to use. Each list
// must have a lifetime and name at least minAdvertised VMs.
func checkAdvertisedEntryVMs(ctx context.Context, f *firm) (string, error) {
	fewest := len(f.EntryVMs)
	for i, entry := range f.EntryVMs {
		got, err := f.callers[i%len(f.callers)].sendTo(ctx, entry, &request{method: http.MethodGet, path: wireCaller.EntryVMsPath})
		if err != nil {
			return "", err
		}
		var advertised wireCaller.EntryVMs
		if err := json.Unmarshal([]byte(got.body), &advertised); err != nil {
			return "", err
		}
		if advertised.LifetimeMs <= 0 {
			return "", errStepFailed.New("%s names VMs without a lifetime", entry.Settings.Name)
		}
		fewest = min(fewest, len(advertised.VMs))
	}
	happened := fmt.Sprintf("each of %d entry VMs names at least %d", len(f.EntryVMs), fewest)
	if fewest < minAdvertised {
		return happened, errStepFailed.New("one death would leave a caller without another VM")
	}
	return happened, nil
}

func sendLookUps(ctx context.Context, f *firm) (string, error) {
	answered := f.countAnsweredLookUps(ctx, lookUpCount)
	return fmt.Sprintf("%d of %d answered, half of them with a key", answered, lookUpCount), requireAll(answered, lookUpCount, "answered")
}

// sendOrders sends each order twice at the same time, from callers near different regions,
// which use different entry VMs. Each order must run exactly once.
func sendOrders(ctx context.Context, f *firm) (string, error) {
	_, route := f.Route(document.WorkOrder, false)
	id := func(i int) string { return fmt.Sprintf("order-%03d", i) }
	recorded := inParallel(orderCount, func(i int) bool {
		req := &request{method: http.MethodPost, path: route.Prefix + id(i), key: f.Keys[i%len(f.Keys)].Text, orderID: id(i), body: []byte("labels"), work: document.WorkOrder}
		resent := make(chan struct{})
		go func() {
			defer close(resent)
			_, _ = f.callers[(i+1)%len(f.callers)].send(ctx, i, req)
		}()
		_, _ = f.callers[i%len(f.callers)].send(ctx, i, req)
		<-resent
		return f.orderRuns(id(i)) > 0
	})
	duplicated := 0
	for i := range orderCount {
		if f.orderRuns(id(i)) > 1 {
			duplicated++
		}
	}
	happened := fmt.Sprintf("%d of %d recorded, %d doubled", recorded, orderCount, duplicated)
	if duplicated > 0 {
		return happened, errStepFailed.New("an order ran twice")
	}
	return happened, requireAll(recorded, orderCount, "recorded")
}

// orderRuns returns the number of runs of an order, summed over all endpoints.
func (f *firm) orderRuns(order string) (runs int) {
	for _, endpoint := range f.Endpoints {
		runs += endpoint.OrderRuns(order)
	}
	return runs
}

func sendUploads(ctx context.Context, f *firm) (string, error) {
	_, route := f.Route(document.WorkUpload, false)
	bodies := make([][]byte, uploadCount)
	random := rand.NewChaCha8([32]byte{1})
	for i := range bodies {
		bodies[i] = make([]byte, uploadBytes)
		_, _ = random.Read(bodies[i])
	}
	answered := inParallel(uploadCount, func(i int) bool {
		req := &request{method: http.MethodPut, path: fmt.Sprintf("%sartwork-%d", route.Prefix, i), key: f.Keys[i%len(f.Keys)].Text, body: bodies[i], work: document.WorkUpload}
		got, err := f.callers[i%len(f.callers)].send(ctx, i, req)
		return err == nil && got.status == http.StatusOK
	})
	storedDigests := f.uploadDigests()
	complete := 0
	for _, body := range bodies {
		sum := sha256.Sum256(body)
		if storedDigests[hex.EncodeToString(sum[:])] {
			complete++
		}
	}
	happened := fmt.Sprintf("%d of %d answered, %d arrived whole, 1 MiB each", answered, uploadCount, complete)
	return happened, requireAll(min(answered, complete), uploadCount, "kept")
}

func (f *firm) uploadDigests() map[string]bool {
	digests := map[string]bool{}
	for _, endpoint := range f.Endpoints {
		for _, upload := range endpoint.Counts().Uploads {
			digests[upload.Digest] = true
		}
	}
	return digests
}

func checkNoKeySeen(_ context.Context, f *firm) (string, error) {
	for name, endpoint := range f.Endpoints {
		if endpoint.Counts().KeySeen {
			return "", errStepFailed.New("a caller's key reached %s", name)
		}
	}
	return fmt.Sprintf("%d endpoints looked at every byte", len(f.Endpoints)), nil
}

func checkStoreBudget(_ context.Context, f *firm) (string, error) {
	calls := f.Store.CallCounts()
	happened := fmt.Sprintf("worst second: %d of %d reads, %d of %d writes", calls.MaxReadsPerSecond, f.Store.Budget.Reads, calls.MaxWritesPerSecond, f.Store.Budget.Writes)
	if calls.OverBudget > 0 {
		return happened, errStepFailed.New("%d calls were over the budget", calls.OverBudget)
	}
	return happened, nil
}

// isRefusedFor reports whether a reply is a refusal for one of the reasons.
func isRefusedFor(got *vmResponse, err error, reasons ...reason.Reason) bool {
	if err != nil {
		return false
	}
	for _, expected := range reasons {
		if got.reason == expected {
			return true
		}
	}
	return false
}
