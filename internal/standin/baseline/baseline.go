// Package baseline holds two simple ways to steer requests, which the measure
// compares with the system's. They share the callers' and endpoints' protocols
// and know drains at once, but nothing of leases, versions or order claims.
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

// Policy is a way to steer.
type Policy string

// The policies.
const (
	// Even splits each limit evenly over the entry VMs and goes round all endpoints.
	EvenSplit Policy = "even"
	// Nearest goes to the nearest region first and caps nothing.
	Nearest Policy = "nearest"
)

// maxTries is how many endpoints are tried.
const maxTries = 8

// DocumentSource returns the newest services. The caller must not change them.
type DocumentSource func() []*document.Service

// VM is one entry VM with a policy.
type VM struct {
	Policy    Policy
	Settings  settings.Settings
	Client    *wireEndpoint.Client
	Documents DocumentSource
	// VMs is what callers are told, near ones first.
	EntryVMs []wireCaller.EntryVM
	// Fleet is how many entry VMs split a limit.
	EntryVMCount int
	Clock        clock.Clock

	turn  atomic.Uint64
	mu    sync.Mutex
	ids   int64
	state map[string]*share
}

// share is a VM's even part of a service's slots or of a workspace's rate.
type share struct {
	bucket  TokenBucket
	running int
}

// Run serves callers until ctx ends and the last request has ended.
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
		v.serveVMs(w, request)
		return
	}
	service, route := v.route(request.URL.Path)
	if route == nil {
		wireCaller.Refuse(w, reason.NotRun(reason.RouteUnknown, 0, "no such route"))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), deadline(service, route).Duration())
	defer cancel()
	done, err := v.admit(service, route, strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer "))
	if err != nil {
		wireCaller.Refuse(w, err)
		return
	}
	defer done()
	answer, err := v.send(ctx, service, route, request)
	if err != nil {
		wireCaller.Refuse(w, err)
		return
	}
	defer answer.Body.Close()
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = io.Copy(w, answer.Body)
}

func (v *VM) route(path string) (*document.Service, *document.Route) {
	for _, service := range v.Documents() {
		if route := service.Route(path); route != nil {
			return service, route
		}
	}
	return nil, nil
}

func deadline(service *document.Service, route *document.Route) clock.Millis {
	if route.Deadline > 0 {
		return route.Deadline
	}
	return service.Deadline
}

// admit takes the VM's part of the limits. A workspace's name is its key.
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
		bucket := &v.share(service.Name + "/" + workspace).bucket
		bucket.Rate, bucket.Burst = float64(limit.Rate)/1000/float64(v.EntryVMCount), float64(limit.Burst)/float64(v.EntryVMCount)
		if !bucket.Take(v.Clock.Now()) {
			return nil, reason.NotRun(reason.RateExceeded, clock.Second, "the VM's part of the rate is used up")
		}
	}
	slots := v.share(service.Name)
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

// share returns the state of a limit. Callers hold mu.
func (v *VM) share(name string) *share {
	if v.state == nil {
		v.state = map[string]*share{}
	}
	if v.state[name] == nil {
		v.state[name] = &share{}
	}
	return v.state[name]
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

// candidates returns the endpoints in the order in which to try them.
func (v *VM) candidates(service *document.Service) (ordered []*document.Endpoint) {
	var near, far []*document.Endpoint
	for i := range service.Endpoints {
		endpoint := &service.Endpoints[i]
		switch {
		case isDrained(service, endpoint):
		case v.Policy == EvenSplit || endpoint.Region == v.Settings.Region:
			near = append(near, endpoint)
		default:
			far = append(far, endpoint)
		}
	}
	turn := int(v.turn.Add(1))
	return append(rotate(near, turn), rotate(far, turn)...)
}

func rotate(endpoints []*document.Endpoint, turn int) []*document.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	start := turn % len(endpoints)
	return append(append([]*document.Endpoint{}, endpoints[start:]...), endpoints[:start]...)
}

// send tries endpoints. It goes on where the request did not run, and after
// failed look-ups.
func (v *VM) send(ctx context.Context, service *document.Service, route *document.Route, request *http.Request) (answer *wireEndpoint.Response, err error) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, reason.NotRun(reason.BodyShort, 0, "the body is short")
	}
	err = reason.NotRun(reason.NoEndpoint, clock.Second, "no endpoint")
	for tries, endpoint := range v.candidates(service) {
		if tries >= maxTries || ctx.Err() != nil {
			return nil, err
		}
		sent := &wireEndpoint.Request{
			Method: request.Method, Target: request.URL.RequestURI(), Header: request.Header, ID: v.newID(),
			Length: request.ContentLength, NewConnection: route.Work == document.WorkOrder, ExpectContinue: route.Work == document.WorkUpload,
		}
		if len(content) > 0 {
			sent.Body = io.NopCloser(bytes.NewReader(content))
		}
		answer, err = v.Client.Send(ctx, endpoint.Address, sent)
		if err == nil {
			return answer, nil
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
	v.ids++
	return v.Settings.Name + "-" + strconv.FormatInt(v.ids, 10)
}

// ServeFunc returns what firm.Plan runs in the place of each entry VM.
func ServeFunc(policy Policy) func(ctx context.Context, f *firm.Firm, read settings.Settings) error {
	return func(ctx context.Context, f *firm.Firm, read settings.Settings) error {
		vm := &VM{
			Policy: policy, Settings: read, Client: &wireEndpoint.Client{Dial: f.Network.Dialer(firm.EntryVMLocation(read))},
			Documents: f.CurrentServices, EntryVMs: f.AdvertisedEntryVMs(), EntryVMCount: len(f.AdvertisedEntryVMs()),
		}
		return vm.Run(ctx)
	}
}
