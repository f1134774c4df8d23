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

// Sizes of the steps.
const (
	leastNamed   = 2
	lookUpCount  = 300
	orderCount   = 60
	uploadCount  = 9
	uploadBytes  = 1 << 20
	parallelism  = 12
	outageTime   = 2 * clock.Second
	withdrawTime = 5 * clock.Second
	stopTime     = 10 * clock.Second
)

// inParallel calls do for 0 to count-1 and returns how many calls returned true.
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

// mustAll returns an error unless all of count were done.
func mustAll(done, count int, what string) error {
	if done == count {
		return nil
	}
	return errNotHeld.New("%d of %d %s", done, count, what)
}

// lookUp sends the i-th look-up, each second one with a key.
func (f *firm) lookUp(ctx context.Context, i int) (*answer, error) {
	isOpen := i%2 == 0
	_, route := f.Route(document.WorkCatalogue, isOpen)
	wanted := &request{method: http.MethodGet, path: fmt.Sprintf("%sitem-%d", route.Prefix, i), work: document.WorkCatalogue}
	if !isOpen {
		wanted.key = f.Keys[i/2%len(f.Keys)].Text
	}
	return f.callers[i%len(f.callers)].send(ctx, i, wanted)
}

// lookUpsAnswered sends count look-ups and returns how many got their own answer.
func (f *firm) lookUpsAnswered(ctx context.Context, count int) int {
	return inParallel(count, func(i int) bool {
		got, err := f.lookUp(ctx, i)
		return err == nil && got.status == http.StatusOK && strings.HasSuffix(got.body, fmt.Sprintf("item-%d 0\n", i))
	})
}

// namedEntries asks every entry VM which VMs to use.
func namedEntries(ctx context.Context, f *firm) (string, error) {
	fewest := len(f.EntryVMs)
	for i, entry := range f.EntryVMs {
		got, err := f.callers[i%len(f.callers)].try(ctx, entry, &request{method: http.MethodGet, path: wireCaller.EntryVMsPath})
		if err != nil {
			return "", err
		}
		var named wireCaller.EntryVMs
		if err := json.Unmarshal([]byte(got.body), &named); err != nil {
			return "", err
		}
		if named.LifetimeMs <= 0 {
			return "", errNotHeld.New("%s names VMs without a lifetime", entry.Settings.Name)
		}
		fewest = min(fewest, len(named.VMs))
	}
	happened := fmt.Sprintf("each of %d entry VMs names at least %d", len(f.EntryVMs), fewest)
	if fewest < leastNamed {
		return happened, errNotHeld.New("one death would leave a caller without another VM")
	}
	return happened, nil
}

func lookUps(ctx context.Context, f *firm) (string, error) {
	answered := f.lookUpsAnswered(ctx, lookUpCount)
	return fmt.Sprintf("%d of %d answered, half of them with a key", answered, lookUpCount), mustAll(answered, lookUpCount, "answered")
}

// orders sends each order twice at once, through different entry VMs.
func orders(ctx context.Context, f *firm) (string, error) {
	_, route := f.Route(document.WorkOrder, false)
	id := func(i int) string { return fmt.Sprintf("order-%03d", i) }
	recorded := inParallel(orderCount, func(i int) bool {
		wanted := &request{method: http.MethodPost, path: route.Prefix + id(i), key: f.Keys[i%len(f.Keys)].Text, order: id(i), body: []byte("labels"), work: document.WorkOrder}
		resent := make(chan struct{})
		go func() {
			defer close(resent)
			_, _ = f.callers[(i+1)%len(f.callers)].send(ctx, i, wanted)
		}()
		_, _ = f.callers[i%len(f.callers)].send(ctx, i, wanted)
		<-resent
		return f.runsOf(id(i)) > 0
	})
	doubled := 0
	for i := range orderCount {
		if f.runsOf(id(i)) > 1 {
			doubled++
		}
	}
	happened := fmt.Sprintf("%d of %d recorded, %d doubled", recorded, orderCount, doubled)
	if doubled > 0 {
		return happened, errNotHeld.New("an order ran twice")
	}
	return happened, mustAll(recorded, orderCount, "recorded")
}

// runsOf returns how often an order ran at all endpoints together.
func (f *firm) runsOf(order string) (runs int) {
	for _, endpoint := range f.Endpoints {
		runs += endpoint.OrderRuns(order)
	}
	return runs
}

func uploads(ctx context.Context, f *firm) (string, error) {
	_, route := f.Route(document.WorkUpload, false)
	bodies := make([][]byte, uploadCount)
	random := rand.NewChaCha8([32]byte{1})
	for i := range bodies {
		bodies[i] = make([]byte, uploadBytes)
		_, _ = random.Read(bodies[i])
	}
	answered := inParallel(uploadCount, func(i int) bool {
		wanted := &request{method: http.MethodPut, path: fmt.Sprintf("%sartwork-%d", route.Prefix, i), key: f.Keys[i%len(f.Keys)].Text, body: bodies[i], work: document.WorkUpload}
		got, err := f.callers[i%len(f.callers)].send(ctx, i, wanted)
		return err == nil && got.status == http.StatusOK
	})
	kept := f.uploadDigests()
	whole := 0
	for _, body := range bodies {
		sum := sha256.Sum256(body)
		if kept[hex.EncodeToString(sum[:])] {
			whole++
		}
	}
	happened := fmt.Sprintf("%d of %d answered, %d arrived whole, 1 MiB each", answered, uploadCount, whole)
	return happened, mustAll(min(answered, whole), uploadCount, "kept")
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

func noKeySeen(_ context.Context, f *firm) (string, error) {
	for name, endpoint := range f.Endpoints {
		if endpoint.Counts().KeySeen {
			return "", errNotHeld.New("a caller's key reached %s", name)
		}
	}
	return fmt.Sprintf("%d endpoints looked at every byte", len(f.Endpoints)), nil
}

func storeBudget(_ context.Context, f *firm) (string, error) {
	calls := f.Store.CallCounts()
	happened := fmt.Sprintf("worst second: %d of %d reads, %d of %d writes", calls.MaxReadsPerSecond, f.Store.Budget.Reads, calls.MaxWritesPerSecond, f.Store.Budget.Writes)
	if calls.OverBudget > 0 {
		return happened, errNotHeld.New("%d calls were over the budget", calls.OverBudget)
	}
	return happened, nil
}

// refuses reports whether an answer is a refusal for one of the reasons.
func refuses(got *answer, err error, reasons ...reason.Reason) bool {
	if err != nil {
		return false
	}
	for _, why := range reasons {
		if got.reason == why {
			return true
		}
	}
	return false
}
