// Package baseline implements two simple steering policies, with which the benchmark
// in package measure compares the system. They use the same protocols towards
// callers and endpoints as the system does, and see drains without delay. They have no
// leases, no versions and no claims on orders.
package baseline

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/standin/firm"
	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
	wireEndpoint "baobabladder.example/baobabladder/internal/wire/endpoint"
)

// Policy is the name of a baseline policy.
type Policy string

// The baseline policies.
const (
	// EvenSplit divides each limit evenly among the entry VMs and tries all endpoints
	// in round-robin order.
	EvenSplit Policy = "even"
	// Nearest tries the endpoints of the entry VM's own region first and enforces no
	// limits.
	Nearest Policy = "nearest"
)

// maxAttempts is the maximum number of endpoints tried for one request.
const maxAttempts = 8

// ServiceSource returns the services as they are now. The caller must not modify them.
type ServiceSource func() []*document.Service

// VM is an entry VM that steers by a baseline policy. Its exported fields must be
// set before Run or ServeHTTP.
type VM struct {
	Policy   Policy
	Settings settings.Settings
	Client   *wireEndpoint.Client
	Services ServiceSource
	// EntryVMs lists all entry VMs. Callers get this list with those of the VM's own
	// region first.
	EntryVMs []wireCaller.EntryVM
	// EntryVMCount is the number of entry VMs among which EvenSplit divides a limit.
	EntryVMCount int
	Clock        clock.Clock

	// rotation counts requests. It is the offset at which round-robin order starts.
	rotation atomic.Uint64
	mu       sync.Mutex
	// lastID numbers the requests sent to endpoints. Guarded by mu.
	lastID int64
	// limits holds the use of each limit, by service, or by service and workspace.
	// Guarded by mu.
	limits map[string]*usage
}

// usage is the use of the VM's even part of one limit. For the slots of a service,
// running counts those in use; for the rate of a workspace, bucket enforces it.
type usage struct {
	bucket  TokenBucket
	running int
}

// Run serves callers until ctx ends. Requests in flight at that time still complete,
// but Run does not wait for them.
func (v *VM) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", v.Settings.CallerAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: v}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (v *VM) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == wireCaller.EntryVMsPath {
		v.serveEntryVMs(w, request)
		return
	}
	service, route := v.findRoute(request.URL.Path)
	if route == nil {
		wireCaller.Refuse(w, reason.NotRun(reason.RouteUnknown, 0, "no such route"))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), routeDeadline(service, route).Duration())
	defer cancel()
	done, err := v.admit(service, route, strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer "))
	if err != nil {
		wireCaller.Refuse(w, err)
		return
	}
	defer done()
	response, err := v.send(ctx, service, route, request)
	if err != nil {
		wireCaller.Refuse(w, err)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	if _, err := io.Copy(w, response.Body); err != nil {
		// Aborting the connection shows the caller that the response is truncated.
		panic(http.ErrAbortHandler)
	}
}

func (v *VM) findRoute(path string) (*document.Service, *document.Route) {
	for _, service := range v.Services() {
		if route := service.Route(path); route != nil {
			return service, route
		}
	}
	return nil, nil
}

func routeDeadline(service *document.Service, route *document.Route) clock.Millis {
	if route.Deadline > 0 {
		return route.Deadline
	}
	return service.Deadline
}

// admit takes a token and a slot from the VM's part of the limits, or returns a
// refusal. done frees the slot. The name of a workspace serves as its API key.
func (v *VM) admit(service *document.Service, route *document.Route, workspace string) (done func(), err error) {
	if v.Policy == Nearest {
		return func() {}, nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !route.Public {
		limit := service.Workspace(workspace)
		if limit == nil {
			return nil, reason.NotRun(reason.KeyUnknown, 0, "no such key")
		}
		bucket := &v.limitUsage(service.Name + "/" + workspace).bucket
		bucket.Rate, bucket.Burst = float64(limit.Rate)/1000/float64(v.EntryVMCount), float64(limit.Burst)/float64(v.EntryVMCount)
		if !bucket.Take(v.Clock.Now()) {
			return nil, reason.NotRun(reason.RateExceeded, clock.Second, "the VM's part of the rate is used up")
		}
	}
	slots := v.limitUsage(service.Name)
	if slots.running >= max(1, totalSlots(service)/v.EntryVMCount) {
		return nil, reason.NotRun(reason.RegionFull, clock.Second, "the VM's part of the slots is used up")
	}
	slots.running++
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		slots.running--
	}, nil
}

// limitUsage returns the use of the limit with the given name. The caller must hold
// mu.
func (v *VM) limitUsage(name string) *usage {
	if v.limits == nil {
		v.limits = map[string]*usage{}
	}
	if v.limits[name] == nil {
		v.limits[name] = &usage{}
	}
	return v.limits[name]
}

func totalSlots(service *document.Service) (slots int) {
	for i := range service.Endpoints {
		if !isDrained(service, &service.Endpoints[i]) {
			slots += service.Endpoints[i].Slots
		}
	}
	return slots
}

func isDrained(service *document.Service, endpoint *document.Endpoint) bool {
	for _, drain := range service.Drains {
		if drain.Name == endpoint.Name || drain.Name == endpoint.DataCentre || drain.Name == endpoint.Region {
			return true
		}
	}
	return false
}

// candidates returns the endpoints in the order in which to try them, without those
// that are drained.
func (v *VM) candidates(service *document.Service) (ordered []*document.Endpoint) {
	var preferred, others []*document.Endpoint
	for i := range service.Endpoints {
		endpoint := &service.Endpoints[i]
		switch {
		case isDrained(service, endpoint):
		case v.Policy == EvenSplit || endpoint.Region == v.Settings.Region:
			preferred = append(preferred, endpoint)
		default:
			others = append(others, endpoint)
		}
	}
	offset := int(v.rotation.Add(1))
	return append(rotate(preferred, offset), rotate(others, offset)...)
}

func rotate(endpoints []*document.Endpoint, offset int) []*document.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	start := offset % len(endpoints)
	return append(append([]*document.Endpoint{}, endpoints[start:]...), endpoints[:start]...)
}

// send sends the request to one endpoint after another until one responds. After a
// failure it retries requests that did not run, and look-ups, which are idempotent.
func (v *VM) send(ctx context.Context, service *document.Service, route *document.Route, request *http.Request) (response *wireEndpoint.Response, err error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, reason.NotRun(reason.BodyShort, 0, "the body is short")
	}
	err = reason.NotRun(reason.NoEndpoint, clock.Second, "no endpoint")
	for attempts, endpoint := range v.candidates(service) {
		if attempts >= maxAttempts || ctx.Err() != nil {
			return nil, err
		}
		endpointRequest := &wireEndpoint.Request{
			Method: request.Method, Target: request.URL.RequestURI(), Header: request.Header, ID: v.newID(),
			Length: request.ContentLength, NewConnection: route.Work == document.WorkOrder, ExpectContinue: route.Work == document.WorkUpload,
		}
		if len(body) > 0 {
			endpointRequest.Body = io.NopCloser(bytes.NewReader(body))
		}
		response, err = v.Client.Send(ctx, endpoint.Address, endpointRequest)
		if err == nil {
			return response, nil
		}
		if wireCaller.AsRefusal(err).Ran != reason.RanNo && route.Work != document.WorkCatalogue {
			return nil, err
		}
	}
	return nil, err
}

func (v *VM) newID() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastID++
	return v.Settings.Name + "-" + strconv.FormatInt(v.lastID, 10)
}

// ServeFunc returns the function for firm.Config.ServeEntryVM that runs an entry VM
// with the given policy.
func ServeFunc(policy Policy) func(ctx context.Context, f *firm.Firm, vmSettings settings.Settings) error {
	return func(ctx context.Context, f *firm.Firm, vmSettings settings.Settings) error {
		vm := &VM{
			Policy: policy, Settings: vmSettings, Client: &wireEndpoint.Client{Dial: f.Network.Dialer(firm.EntryVMLocation(vmSettings))},
			Services: f.CurrentServices, EntryVMs: f.AdvertisedEntryVMs(), EntryVMCount: len(f.AdvertisedEntryVMs()),
		}
		return vm.Run(ctx)
	}
}
