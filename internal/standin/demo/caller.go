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
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
	wireEndpoint "baobabladder.example/baobabladder/internal/wire/endpoint"
)

const (
	// dialTimeout is how long a caller tries one entry VM.
	dialTimeout = 500 * clock.Millis(1)
	// requestTimeout bounds one try.
	requestTimeout = 10 * clock.Second
	// maxTries is how many entry VMs a caller tries.
	maxTries = 4
)

// request is what a caller wants.
type request struct {
	method string
	path   string
	// key is a key's text, or empty.
	key string
	// order is an order id, or empty.
	order string
	body  []byte
	work  document.Work
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	reason reason.Reason
	ran    reason.Ran
}

// caller is a client near one region. It tries the entry VMs of its region
// first and goes on to others.
type caller struct {
	region string
	http   *http.Client
	firm   *firm
	tally  *tally
}

// addCallers puts a caller near each region.
func (f *firm) addCallers() {
	for _, region := range f.Fleet.Regions {
		dial := f.Network.Dialer(link.Location{VM: "caller-" + region.Name, Region: region.Name, IsClient: true})
		transport := &http.Transport{DialContext: withTimeout(dial), MaxIdleConnsPerHost: 64, DisableCompression: true}
		f.callers = append(f.callers, &caller{region: region.Name, http: &http.Client{Transport: transport}, firm: f, tally: f.tally})
	}
}

// ranked returns the entry VMs in the order in which to try them, turned by
// turn so that the load spreads.
func (c *caller) ranked(turn int) []*standin.EntryVM {
	var near, far []*standin.EntryVM
	for _, entry := range c.firm.EntryVMs {
		if entry.Settings.Region == c.region {
			near = append(near, entry)
		} else {
			far = append(far, entry)
		}
	}
	return append(rotate(near, turn), rotate(far, turn)...)
}

func rotate(entries []*standin.EntryVM, turn int) []*standin.EntryVM {
	start := turn % max(1, len(entries))
	return append(append([]*standin.EntryVM{}, entries[start:]...), entries[:start]...)
}

// send tries entry VMs until one gives an endpoint's answer. It goes on only
// where that is harmless: the request did not run, or it is idempotent.
func (c *caller) send(ctx context.Context, turn int, wanted *request) (got *answer, err error) {
	for _, entry := range c.ranked(turn)[:maxTries] {
		got, err = c.try(ctx, entry, wanted)
		if err == nil && got.reason == "" {
			return got, nil
		}
		c.tally.add(got, err)
		repeatable := wanted.work == document.WorkCatalogue || (err == nil && got.ran == reason.RanNo) || isDialError(err)
		if !repeatable {
			return got, err
		}
	}
	return got, err
}

// try sends a request to one entry VM.
func (c *caller) try(ctx context.Context, entry *standin.EntryVM, wanted *request) (got *answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	made, err := http.NewRequestWithContext(ctx, wanted.method, "http://"+entry.Settings.CallerAddress+wanted.path, bytes.NewReader(wanted.body))
	if err != nil {
		return nil, err
	}
	if wanted.key != "" {
		made.Header.Set("Authorization", "Bearer "+wanted.key)
	}
	if wanted.order != "" {
		made.Header.Set(wireEndpoint.OrderIDHeader, wanted.order)
	}
	response, err := c.http.Do(made)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	header := response.Header
	return &answer{response.StatusCode, string(body), reason.Reason(header.Get(wireCaller.ReasonHeader)), reason.Ran(header.Get(wireCaller.RanHeader))}, nil
}

// tally counts what callers met besides answers.
type tally struct {
	mu sync.Mutex
	// counts is by word. Guarded by mu.
	counts map[string]int
}

func newTally() *tally { return &tally{counts: map[string]int{}} }

func (t *tally) add(got *answer, err error) {
	word := "no_answer"
	switch {
	case isDialError(err):
		word = "no_connection"
	case err == nil:
		word = string(got.reason)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[word]++
}

// lines returns one tab-separated line for each word, sorted.
func (t *tally) lines() (lines []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for word, count := range t.counts {
		lines = append(lines, fmt.Sprintf("%s\t%d", word, count))
	}
	sort.Strings(lines)
	return lines
}

func (t *tally) count(word string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[word]
}
