package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/standin/firm"
	"baobabladder.example/baobabladder/internal/standin/link"
	"baobabladder.example/baobabladder/internal/wire/body"
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
	wireEndpoint "baobabladder.example/baobabladder/internal/wire/endpoint"
)

const (
	// dialTimeout limits the time to connect to one entry VM.
	dialTimeout = 300 * clock.Millis(1)
	// attemptTimeout limits the time of one attempt of a look-up, and so the time lost
	// to an unresponsive entry VM. An attempt sends a request to one entry VM. For
	// orders and uploads only the request's deadline limits it.
	attemptTimeout = 400 * clock.Millis(1)
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 3
	// avoidDuration is how long a caller tries an entry VM only after all others, once
	// the VM gave no response or refused because it was not ready or was stopping.
	avoidDuration = 2 * clock.Second
)

// vmResponse is an entry VM's response. If the entry VM refused the request, reason
// states why, and ran whether an endpoint ran it. If reason is empty, it is an
// endpoint's response.
type vmResponse struct {
	status int
	reason reason.Reason
	ran    reason.Ran
}

// caller is a client near one region. It fetches the list of entry VMs and caches
// it for the lifetime that the list states.
type caller struct {
	http *http.Client
	// bootstrap is the entry VM that is asked for the list first.
	bootstrap wireCaller.EntryVM
	// pinned, if set, is tried before all others.
	pinned *wireCaller.EntryVM

	mu sync.Mutex
	// entryVMs is the cached list, valid until expiresAt. Guarded by mu.
	entryVMs  []wireCaller.EntryVM
	expiresAt clock.Millis
	clock     clock.Clock
	// avoidUntil holds, by address, until when an entry VM is tried only after all
	// others. Guarded by mu.
	avoidUntil map[string]clock.Millis
}

// newCallers returns callersPerRegion callers for each region, by region. Each
// caller of a region dials from a different IP address of the region's client block.
func newCallers(f *firm.Firm, pinned *wireCaller.EntryVM) map[string][]*caller {
	callers := map[string][]*caller{}
	for i, region := range f.Fleet.Regions {
		regionVMs := entryVMsInRegion(f, region.Name)
		for j := range callersPerRegion {
			location := link.Location{VM: "caller", Region: region.Name, IsClient: true, SourceIP: sourceAddress(f.Fleet, region.Name, byte(j+1))}
			transport := &http.Transport{DialContext: withDialTimeout(f.Network.Dialer(location)), MaxIdleConnsPerHost: 256, DisableCompression: true}
			created := &caller{http: &http.Client{Transport: transport}, bootstrap: regionVMs[(i+j)%len(regionVMs)], pinned: pinned, avoidUntil: map[string]clock.Millis{}}
			callers[region.Name] = append(callers[region.Name], created)
		}
	}
	return callers
}

// sourceAddress returns the address of the region's client block that ends in the
// given byte, or the zero address if the region has no block.
func sourceAddress(fleet *document.Fleet, region string, lastByte byte) netip.Addr {
	for _, block := range fleet.ClientBlocks {
		if block.Region == region {
			octets := block.Prefix.Addr().As4()
			octets[3] = lastByte
			return netip.AddrFrom4(octets)
		}
	}
	return netip.Addr{}
}

func entryVMsInRegion(f *firm.Firm, region string) (inRegion []wireCaller.EntryVM) {
	for _, listed := range f.AdvertisedEntryVMs() {
		if listed.Region == region {
			inRegion = append(inRegion, listed)
		}
	}
	return inRegion
}

// errDial marks a failure to connect. No byte of the request was sent.
var errDial = errors.New("no connection")

func withDialTimeout(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Join(errDial, err)
		}
		return conn, nil
	}
}

// orderedEntryVMs returns the entry VMs in the order in which to try them: the
// pinned one first, then the cached list, and those to avoid last.
func (c *caller) orderedEntryVMs(ctx context.Context) (ordered []wireCaller.EntryVM) {
	entryVMs := c.currentEntryVMs(ctx)
	if c.pinned != nil {
		entryVMs = append([]wireCaller.EntryVM{*c.pinned}, entryVMs...)
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var avoided []wireCaller.EntryVM
	for _, entry := range entryVMs {
		if c.avoidUntil[entry.Address] > now {
			avoided = append(avoided, entry)
		} else {
			ordered = append(ordered, entry)
		}
	}
	return append(ordered, avoided...)
}

// currentEntryVMs returns the cached list of entry VMs and fetches it again after
// it has expired. If no entry VM answers, it returns the old list, with the
// bootstrap VM first.
func (c *caller) currentEntryVMs(ctx context.Context) []wireCaller.EntryVM {
	now := c.clock.Now()
	c.mu.Lock()
	entryVMs, isFresh := c.entryVMs, c.expiresAt > now
	if !isFresh {
		// Only this request refreshes the list. Until it has, the others use the old
		// list if there is one.
		c.expiresAt = now + clock.Second
	}
	c.mu.Unlock()
	if isFresh && len(entryVMs) > 0 {
		return entryVMs
	}
	for _, source := range append([]wireCaller.EntryVM{c.bootstrap}, entryVMs...) {
		if list, err := c.fetchEntryVMs(ctx, source.Address); err == nil && len(list.VMs) > 0 {
			c.mu.Lock()
			c.entryVMs, c.expiresAt = list.VMs, now+list.LifetimeMs
			c.mu.Unlock()
			return list.VMs
		}
	}
	return append([]wireCaller.EntryVM{c.bootstrap}, entryVMs...)
}

func (c *caller) fetchEntryVMs(ctx context.Context, address string) (list wireCaller.EntryVMs, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wireCaller.EntryVMsPath, nil)
	if err != nil {
		return list, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	return list, json.NewDecoder(response.Body).Decode(&list)
}

// send sends a request to one entry VM after another, at most maxAttempts of them. It
// retries if the entry VM refuses because it is not ready or is stopping. After an
// attempt without a response it retries only look-ups, which are idempotent, and
// requests for which the connection failed, which cannot have run.
func (c *caller) send(ctx context.Context, request *Request, key string) (response *vmResponse, err error) {
	err = errDial
	ctx, cancel := context.WithTimeout(ctx, request.Deadline.Duration())
	defer cancel()
	for attempts, entry := range c.orderedEntryVMs(ctx) {
		if attempts >= maxAttempts {
			break
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		response, err = c.attempt(ctx, entry.Address, request, key)
		if err == nil && response.reason != reason.NotReady && response.reason != reason.Stopping {
			return response, nil
		}
		c.avoid(entry.Address)
		if err != nil && request.Work != document.WorkCatalogue && !errors.Is(err, errDial) {
			return response, err
		}
	}
	return response, err
}

func (c *caller) avoid(address string) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = now + avoidDuration
}

// attempt sends a request to one entry VM. The deadline header carries the time
// until the caller stops waiting.
func (c *caller) attempt(ctx context.Context, address string, request *Request, key string) (*vmResponse, error) {
	if request.Work == document.WorkCatalogue {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout.Duration())
		defer cancel()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, httpMethod(request.Work), "http://"+address+request.Path, requestBody(request.Work))
	if err != nil {
		return nil, err
	}
	if key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+key)
	}
	if request.OrderID != "" {
		httpRequest.Header.Set(wireEndpoint.OrderIDHeader, request.OrderID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		httpRequest.Header.Set(wireEndpoint.DeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if err := body.CheckReply(response); err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, err
	}
	header := response.Header
	return &vmResponse{response.StatusCode, reason.Reason(header.Get(wireCaller.ReasonHeader)), reason.Ran(header.Get(wireCaller.RanHeader))}, nil
}

func httpMethod(work document.Work) string {
	switch work {
	case document.WorkOrder:
		return http.MethodPost
	case document.WorkUpload:
		return http.MethodPut
	}
	return http.MethodGet
}

var uploadBody = make([]byte, uploadBytes)

func requestBody(work document.Work) io.Reader {
	switch work {
	case document.WorkOrder:
		return bytes.NewReader([]byte("labels"))
	case document.WorkUpload:
		return bytes.NewReader(uploadBody)
	}
	return http.NoBody
}
