package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	standin "baobabladder.example/baobabladder/internal/standin/firm"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/wire/body"
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
	wireEndpoint "baobabladder.example/baobabladder/internal/wire/endpoint"
)

const (
	// dialTimeout limits the time to connect to one entry VM.
	dialTimeout = 500 * clock.Millis(1)
	// attemptTimeout limits the time of one attempt, which sends a request to one entry
	// VM.
	attemptTimeout = 10 * clock.Second
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 4
)

// request is a request that a caller sends.
type request struct {
	method string
	path   string
	// key is the text of an API key, or empty.
	key string
	// orderID is an order id, or empty.
	orderID string
	body    []byte
	work    document.Work
}

// vmResponse is an entry VM's response. If the entry VM refused the request, reason
// states why, and ran whether an endpoint ran it. If reason is empty, it is an
// endpoint's response.
type vmResponse struct {
	status int
	body   string
	reason reason.Reason
	ran    reason.Ran
}

// caller is a client near one region. It sends requests to the entry VMs of its region
// first and fails over to the others.
type caller struct {
	region   string
	http     *http.Client
	firm     *firm
	failures *failureCounts
}

// addCallers adds a caller near each region.
func (f *firm) addCallers() {
	for _, region := range f.Fleet.Regions {
		dial := f.Network.Dialer(link.Location{VM: "caller-" + region.Name, Region: region.Name, IsClient: true})
		transport := &http.Transport{DialContext: withDialTimeout(dial), MaxIdleConnsPerHost: 64, DisableCompression: true}
		f.callers = append(f.callers, &caller{region: region.Name, http: &http.Client{Transport: transport}, firm: f, failures: f.failures})
	}
}

// orderedEntryVMs returns all entry VMs in the order in which to try them: those of the
// caller's region first. Each of the two groups is rotated by offset to spread the load.
func (c *caller) orderedEntryVMs(offset int) []*standin.EntryVM {
	var near, far []*standin.EntryVM
	for _, entry := range c.firm.EntryVMs {
		if entry.Settings.Region == c.region {
			near = append(near, entry)
		} else {
			far = append(far, entry)
		}
	}
	return append(rotate(near, offset), rotate(far, offset)...)
}

func rotate(entries []*standin.EntryVM, offset int) []*standin.EntryVM {
	start := offset % max(1, len(entries))
	return append(append([]*standin.EntryVM{}, entries[start:]...), entries[:start]...)
}

// send sends a request to one entry VM after another until it gets an endpoint's
// response. offset rotates the order of the entry VMs. It retries only where that is
// safe: if the request did not run, or if it is a catalogue look-up, which is
// idempotent.
func (c *caller) send(ctx context.Context, offset int, req *request) (got *vmResponse, err error) {
	for _, entry := range c.orderedEntryVMs(offset)[:maxAttempts] {
		got, err = c.sendTo(ctx, entry, req)
		if err == nil && got.reason == "" {
			return got, nil
		}
		c.failures.record(got, err)
		canRetry := req.work == document.WorkCatalogue || (err == nil && got.ran == reason.RanNo) || isDialError(err)
		if !canRetry {
			return got, err
		}
	}
	return got, err
}

// sendTo sends a request to one entry VM.
func (c *caller) sendTo(ctx context.Context, entry *standin.EntryVM, req *request) (got *vmResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, "http://"+entry.Settings.CallerAddress+req.path, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	if req.key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+req.key)
	}
	if req.orderID != "" {
		httpRequest.Header.Set(wireEndpoint.OrderIDHeader, req.orderID)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if err := body.CheckReply(response); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	header := response.Header
	return &vmResponse{response.StatusCode, string(content), reason.Reason(header.Get(wireCaller.ReasonHeader)), reason.Ran(header.Get(wireCaller.RanHeader))}, nil
}

// failureCounts counts the attempts that did not get an endpoint's response by outcome,
// which is the reason of a refusal, no_connection or no_answer.
type failureCounts struct {
	mu sync.Mutex
	// counts holds the number of attempts by outcome. Guarded by mu.
	counts map[string]int
}

func newFailureCounts() *failureCounts { return &failureCounts{counts: map[string]int{}} }

func (c *failureCounts) record(got *vmResponse, err error) {
	outcome := "no_answer"
	switch {
	case isDialError(err):
		outcome = "no_connection"
	case err == nil:
		outcome = string(got.reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
}

// lines returns a line with outcome and count, separated by a tab, for each outcome. The
// lines are sorted.
func (c *failureCounts) lines() (lines []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for outcome, count := range c.counts {
		lines = append(lines, fmt.Sprintf("%s\t%d", outcome, count))
	}
	sort.Strings(lines)
	return lines
}

func (c *failureCounts) count(outcome string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[outcome]
}
