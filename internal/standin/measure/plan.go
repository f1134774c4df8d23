package measure

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/baseline"
	"baobabladder.example/baobabladder/internal/standin/firm"
)

const (
	// slotLoad is the catalogue's load on its slots, in percent: what the
	// workspaces send and open look-ups together.
	slotLoad = 70
	// rateLoad is how much of its rate a workspace sends, in percent.
	rateLoad = 80
	// orderPercent is the part of the order service's requests that are orders;
	// the rest are look-ups of their status.
	orderPercent = 40
	// twicePercent is the part of the orders that their caller sends twice.
	twicePercent = 5
	// twiceGap is the time between the two.
	twiceGap = 40 * clock.Millis(1)
	// uploadBytes is the size of an upload.
	uploadBytes = 1 << 20
	// callersPerRegion is how many callers a region has. Each keeps its own list
	// of entry VMs and its own connections.
	callersPerRegion = 48
)

// Request is one request of the load.
type Request struct {
	// At is when it is sent, in microseconds from the start of the load.
	SendAt  int64
	Service string
	// Workspace is empty for an open look-up.
	Workspace string
	Region    string
	// Caller is the caller's place in its region.
	Caller int
	Work   document.Work
	Path   string
	// Order is an order id, or empty. Twice says that it is sent twice.
	OrderID   string
	SentTwice bool
	// Within says that one bucket with the workspace's whole rate and burst
	// would admit it. Open look-ups are always within.
	WithinRate bool
	Deadline   clock.Millis
	// Floor is the round trip to the client and the service time, in microseconds.
	Floor int64
}

// flow is one workspace's requests to one service, or the open look-ups.
type flow struct {
	service   *document.Service
	workspace *document.Workspace
	// perSecond is the mean of the Poisson arrivals.
	perSecond float64
	bucket    baseline.TokenBucket
}

// planner draws the load of a run. The same seed gives the same load.
type planner struct {
	firm   *firm.Firm
	random *rand.Rand
	// factors multiplies what the named workspaces send.
	factors map[string]float64
	times   map[string]clock.Millis
	count   int
}

// plan returns the requests of a length of time, by time.
func (p *planner) plan(length clock.Millis) (requests []*Request) {
	for _, service := range p.firm.CurrentServices() {
		for _, flow := range p.flows(service) {
			requests = append(requests, p.draw(flow, length)...)
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].SendAt < requests[j].SendAt })
	return requests
}

func (p *planner) flows(service *document.Service) (flows []*flow) {
	sum := 0.0
	for i := range service.Workspaces {
		workspace := &service.Workspaces[i]
		perSecond := float64(workspace.Rate) / 1000 * rateLoad / 100
		sum += perSecond
		if factor := p.factors[workspace.Name]; factor > 0 {
			perSecond *= factor
		}
		bucket := baseline.TokenBucket{Rate: float64(workspace.Rate) / 1000, Burst: float64(workspace.Burst)}
		flows = append(flows, &flow{service, workspace, perSecond, bucket})
	}
	if firm.FindRoute(service, document.WorkCatalogue, true) != nil {
		flows = append(flows, &flow{service: service, perSecond: max(0, p.capacity(service)*slotLoad/100-sum)})
	}
	return flows
}

// capacity is how many requests a second a service's slots run.
func (p *planner) capacity(service *document.Service) float64 {
	slots := 0
	for _, endpoint := range service.Endpoints {
		slots += endpoint.Slots
	}
	return float64(slots) * float64(clock.Second) / float64(p.times[service.Name])
}

func (p *planner) draw(flow *flow, length clock.Millis) (requests []*Request) {
	if flow.perSecond <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += p.random.ExpFloat64() / flow.perSecond
		if at >= float64(length)/float64(clock.Second) {
			return requests
		}
		requests = append(requests, p.request(flow, int64(at*1e6)))
	}
}

func (p *planner) request(flow *flow, at int64) *Request {
	p.count++
	work := p.work(flow.service)
	route := firm.FindRoute(flow.service, work, flow.workspace == nil)
	request := &Request{
		SendAt: at, Service: flow.service.Name, Work: work, WithinRate: true, Deadline: route.Deadline,
		Region: p.firm.Fleet.Regions[p.random.IntN(len(p.firm.Fleet.Regions))].Name,
		Caller: p.random.IntN(callersPerRegion), Path: fmt.Sprintf("%sr-%06d", route.Prefix, p.count),
	}
	if request.Deadline == 0 {
		request.Deadline = flow.service.Deadline
	}
	if flow.workspace != nil {
		request.Workspace = flow.workspace.Name
		request.WithinRate = flow.bucket.Take(clock.Millis(at / 1000))
	}
	if work == document.WorkOrder {
		request.OrderID = fmt.Sprintf("order-%06d", p.count)
		request.SentTwice = p.random.IntN(100) < twicePercent
	}
	if request.SentTwice {
		request.Path += twiceMark
	}
	request.Floor = p.firm.Network.ClientRoundTripMicros + int64(p.pathTime(flow.service, request.Path))*1000
	return request
}

// twiceMark ends the paths of orders that their caller sends twice.
const twiceMark = "-twice"

func (p *planner) work(service *document.Service) document.Work {
	switch {
	case firm.FindRoute(service, document.WorkUpload, false) != nil:
		return document.WorkUpload
	case firm.FindRoute(service, document.WorkOrder, false) != nil && p.random.IntN(100) < orderPercent:
		return document.WorkOrder
	}
	return document.WorkCatalogue
}

// pathTime is the service time of a path, the same at all endpoints of a service.
func (p *planner) pathTime(service *document.Service, path string) clock.Millis {
	return p.firm.Endpoint(service.Endpoints[0].Name).PathServiceTime(path)
}
