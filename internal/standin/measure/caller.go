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
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
	wireEndpoint "baobabladder.example/baobabladder/internal/wire/endpoint"
)

const (
	// dialTimeout is how long a caller tries to connect to one entry VM.
	dialTimeout = 300 * clock.Millis(1)
	// tryTimeout bounds one try of a look-up, so that a silent VM costs no more.
	tryTimeout = 400 * clock.Millis(1)
	// maxTries is how many entry VMs a caller tries.
	maxTries = 3
	// avoidTime is how long a caller puts a VM that gave no answer last.
	avoidTime = 2 * clock.Second
)

// answer is what an entry VM said.
type answer struct {
	status int
	reason reason.Reason
	ran    reason.Ran
}

// caller is a client near one region. It asks which entry VMs to use and keeps
// the answer for as long as the answer says.
type caller struct {
	http *http.Client
	// first is whom it asks first.
	first wireCaller.EntryVM
	// pinned, if set, comes before all others.
	pinned *wireCaller.EntryVM

	mu sync.Mutex
	// named is the last answer, kept until. Guarded by mu.
	named []wireCaller.EntryVM
	until clock.Millis
	clock clock.Clock
	// avoided says until when a VM comes last. Guarded by mu.
	avoided map[string]clock.Millis
}

// newCallers puts callers near each region, each with its own IP number.
func newCallers(f *firm.Firm, pinned *wireCaller.EntryVM) map[string][]*caller {
	all := map[string][]*caller{}
	for i, region := range f.Fleet.Regions {
		near := nearEntries(f, region.Name)
		for j := range callersPerRegion {
			place := link.Location{VM: "caller", Region: region.Name, IsClient: true, SourceIP: sourceAddress(f.Fleet, region.Name, byte(j+1))}
			transport := &http.Transport{DialContext: dialer(f.Network.Dialer(place)), MaxIdleConnsPerHost: 256, DisableCompression: true}
			made := &caller{http: &http.Client{Transport: transport}, first: near[(i+j)%len(near)], pinned: pinned, avoided: map[string]clock.Millis{}}
			all[region.Name] = append(all[region.Name], made)
		}
	}
	return all
}

// sourceAddress returns a number in the region's block of client addresses.
func sourceAddress(fleet *document.Fleet, region string, last byte) netip.Addr {
	for _, block := range fleet.ClientBlocks {
		if block.Region == region {
			bytes := block.Prefix.Addr().As4()
			bytes[3] = last
			return netip.AddrFrom4(bytes)
		}
	}
	return netip.Addr{}
}

func nearEntries(f *firm.Firm, region string) (near []wireCaller.EntryVM) {
	for _, listed := range f.AdvertisedEntryVMs() {
		if listed.Region == region {
			near = append(near, listed)
		}
	}
	return near
}

// errDial marks an error before any byte of a request went out.
var errDial = errors.New("no connection")

func dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
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

// entries returns the VMs in the order in which to try them.
func (c *caller) entries(ctx context.Context) (ordered []wireCaller.EntryVM) {
	named := c.current(ctx)
	if c.pinned != nil {
		named = append([]wireCaller.EntryVM{*c.pinned}, named...)
	}
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var last []wireCaller.EntryVM
	for _, entry := range named {
		if c.avoided[entry.Address] > now {
			last = append(last, entry)
		} else {
			ordered = append(ordered, entry)
		}
	}
	return append(ordered, last...)
}

// current returns the kept answer, asked anew when it is too old.
func (c *caller) current(ctx context.Context) []wireCaller.EntryVM {
	now := c.clock.Now()
	c.mu.Lock()
	named, fresh := c.named, c.until > now
	if !fresh {
		// One request asks, the others go on with what there is.
		c.until = now + clock.Second
	}
	c.mu.Unlock()
	if fresh && len(named) > 0 {
		return named
	}
	for _, asked := range append([]wireCaller.EntryVM{c.first}, named...) {
		if answer, err := c.ask(ctx, asked.Address); err == nil && len(answer.VMs) > 0 {
			c.mu.Lock()
			c.named, c.until = answer.VMs, now+answer.LifetimeMs
			c.mu.Unlock()
			return answer.VMs
		}
	}
	return append([]wireCaller.EntryVM{c.first}, named...)
}

func (c *caller) ask(ctx context.Context, address string) (named wireCaller.EntryVMs, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wireCaller.EntryVMsPath, nil)
	if err != nil {
		return named, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return named, err
	}
	defer response.Body.Close()
	return named, json.NewDecoder(response.Body).Decode(&named)
}

// send tries entry VMs until one gives an endpoint's answer. It goes on only
// after silence, and only where a second run is harmless or can't be.
func (c *caller) send(ctx context.Context, request *Request, key string) (got *answer, err error) {
	err = errDial
	ctx, cancel := context.WithTimeout(ctx, request.Deadline.Duration())
	defer cancel()
	for tries, entry := range c.entries(ctx) {
		if tries >= maxTries {
			break
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		got, err = c.try(ctx, entry.Address, request, key)
		if err == nil && got.reason != reason.NotReady && got.reason != reason.Stopping {
			return got, nil
		}
		c.avoid(entry.Address)
		if err != nil && request.Work != document.WorkCatalogue && !errors.Is(err, errDial) {
			return got, err
		}
	}
	return got, err
}

func (c *caller) avoid(address string) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = now + avoidTime
}

// try sends a request to one entry VM and tells it how long the caller waits.
func (c *caller) try(ctx context.Context, address string, request *Request, key string) (*answer, error) {
	if request.Work == document.WorkCatalogue {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, tryTimeout.Duration())
		defer cancel()
	}
	made, err := http.NewRequestWithContext(ctx, method(request.Work), "http://"+address+request.Path, body(request.Work))
	if err != nil {
		return nil, err
	}
	if key != "" {
		made.Header.Set("Authorization", "Bearer "+key)
	}
	if request.OrderID != "" {
		made.Header.Set(wireEndpoint.OrderIDHeader, request.OrderID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		made.Header.Set(wireEndpoint.DeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	response, err := c.http.Do(made)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, err
	}
	header := response.Header
	return &answer{response.StatusCode, reason.Reason(header.Get(wireCaller.ReasonHeader)), reason.Ran(header.Get(wireCaller.RanHeader))}, nil
}

func method(work document.Work) string {
	switch work {
	case document.WorkOrder:
		return http.MethodPost
	case document.WorkUpload:
		return http.MethodPut
	}
	return http.MethodGet
}

var uploadBody = make([]byte, uploadBytes)

func body(work document.Work) io.Reader {
	switch work {
	case document.WorkOrder:
		return bytes.NewReader([]byte("labels"))
	case document.WorkUpload:
		return bytes.NewReader(uploadBody)
	}
	return http.NoBody
}
