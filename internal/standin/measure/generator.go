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
	// slotLoadPercent is the load on the slots of a service with public look-ups:
	// the requests of its workspaces and the public look-ups together.
	slotLoadPercent = 70
	// workspaceRatePercent is the share of its allowed rate at which a workspace sends.
	workspaceRatePercent = 80
	// orderPercent is the share of the order service's requests that are orders;
	// the rest are look-ups of the order status.
	orderPercent = 40
	// duplicateOrderPercent is the share of orders that are sent twice.
	duplicateOrderPercent = 5
	// duplicateOrderDelay is the time between an order and its duplicate.
	duplicateOrderDelay = 40 * clock.Millis(1)
	// uploadBytes is the size of an upload's body.
	uploadBytes = 1 << 20
	// callersPerRegion is the number of callers near a region. Each has its own list
	// of entry VMs and its own connections.
	callersPerRegion = 48
)

// Request is one request of the load.
type Request struct {
	// SendAtMicros is when the request is due to be sent, in microseconds since the
	// start of the load.
	SendAtMicros int64
	Service      string
	// Workspace is empty for a public look-up.
	Workspace string
	Region    string
	// Caller is the index of the caller among those of Region.
	Caller int
	Work   document.Work
	Path   string
	// OrderID is empty for requests other than orders. SentTwice is set if another
	// caller sends the same order again after duplicateOrderDelay.
	OrderID   string
	SentTwice bool
	// WithinRate is set if a single token bucket with the workspace's whole rate and
	// burst would admit the request. It is always set for public look-ups.
	WithinRate bool
	Deadline   clock.Millis
	// FloorMicros is the floor of the request (see the package comment), in
	// microseconds.
	FloorMicros int64
}

// flow is the stream of one workspace's requests to one service, or that of the
// public look-ups of a service, for which workspace is nil.
type flow struct {
	service   *document.Service
	workspace *document.Workspace
	// requestsPerSecond is the mean rate of the Poisson arrivals.
	requestsPerSecond float64
	bucket            baseline.TokenBucket
}

// generator generates the load of a run at random. The same seed gives the same
// load.
type generator struct {
	firm   *firm.Firm
	random *rand.Rand
	// rateFactors holds, by workspace, a factor for the requests that it sends.
	rateFactors map[string]float64
	// serviceTimes holds the mean service times by service.
	serviceTimes map[string]clock.Millis
	requestCount int
}

// generate returns the requests of the given length of time, sorted by SendAtMicros.
func (g *generator) generate(length clock.Millis) (requests []*Request) {
	for _, service := range g.firm.CurrentServices() {
		for _, flow := range g.flows(service) {
			requests = append(requests, g.generateFlow(flow, length)...)
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].SendAtMicros < requests[j].SendAtMicros })
	return requests
}

// flows returns a flow for each workspace of the service and, if the service has a
// public route, one of public look-ups that brings the load on its slots to
// slotLoadPercent.
func (g *generator) flows(service *document.Service) (flows []*flow) {
	total := 0.0
	for i := range service.Workspaces {
		workspace := &service.Workspaces[i]
		perSecond := float64(workspace.Rate) / 1000 * workspaceRatePercent / 100
		total += perSecond
		if factor := g.rateFactors[workspace.Name]; factor > 0 {
			perSecond *= factor
		}
		bucket := baseline.TokenBucket{Rate: float64(workspace.Rate) / 1000, Burst: float64(workspace.Burst)}
		flows = append(flows, &flow{service, workspace, perSecond, bucket})
	}
	if firm.FindRoute(service, document.WorkCatalogue, true) != nil {
		flows = append(flows, &flow{service: service, requestsPerSecond: max(0, g.capacity(service)*slotLoadPercent/100-total)})
	}
	return flows
}

// capacity returns how many requests a second the slots of a service can run.
func (g *generator) capacity(service *document.Service) float64 {
	slots := 0
	for _, endpoint := range service.Endpoints {
		slots += endpoint.Slots
	}
	return float64(slots) * float64(clock.Second) / float64(g.serviceTimes[service.Name])
}

func (g *generator) generateFlow(flow *flow, length clock.Millis) (requests []*Request) {
	if flow.requestsPerSecond <= 0 {
		return nil
	}
	for atSeconds := 0.0; ; {
		atSeconds += g.random.ExpFloat64() / flow.requestsPerSecond
		if atSeconds >= float64(length)/float64(clock.Second) {
			return requests
		}
		requests = append(requests, g.newRequest(flow, int64(atSeconds*1e6)))
	}
}

func (g *generator) newRequest(flow *flow, atMicros int64) *Request {
	g.requestCount++
	work := g.drawWork(flow.service)
	route := firm.FindRoute(flow.service, work, flow.workspace == nil)
	request := &Request{
		SendAtMicros: atMicros, Service: flow.service.Name, Work: work, WithinRate: true, Deadline: route.Deadline,
		Region: g.firm.Fleet.Regions[g.random.IntN(len(g.firm.Fleet.Regions))].Name,
		Caller: g.random.IntN(callersPerRegion), Path: fmt.Sprintf("%sr-%06d", route.Prefix, g.requestCount),
	}
	if request.Deadline == 0 {
		request.Deadline = flow.service.Deadline
	}
	if flow.workspace != nil {
		request.Workspace = flow.workspace.Name
		request.WithinRate = flow.bucket.Take(clock.Millis(atMicros / 1000))
	}
	if work == document.WorkOrder {
		request.OrderID = fmt.Sprintf("order-%06d", g.requestCount)
		request.SentTwice = g.random.IntN(100) < duplicateOrderPercent
	}
	if request.SentTwice {
		request.Path += duplicateOrderSuffix
	}
	request.FloorMicros = g.firm.Network.ClientRoundTripMicros + int64(g.serviceTime(flow.service, request.Path))*1000
	return request
}

// duplicateOrderSuffix ends the paths of orders that are sent twice. The
// monitor uses it to distinguish their second request from a retry.
const duplicateOrderSuffix = "-twice"

// drawWork returns the work of the next request to a service: an upload if the service
// takes any, otherwise an order with a probability of orderPercent, or a look-up.
func (g *generator) drawWork(service *document.Service) document.Work {
	switch {
	case firm.FindRoute(service, document.WorkUpload, false) != nil:
		return document.WorkUpload
	case firm.FindRoute(service, document.WorkOrder, false) != nil && g.random.IntN(100) < orderPercent:
		return document.WorkOrder
	}
	return document.WorkCatalogue
}

// serviceTime returns the service time of a path, which is the same at all
// endpoints of a service.
func (g *generator) serviceTime(service *document.Service, path string) clock.Millis {
	return g.firm.Endpoint(service.Endpoints[0].Name).PathServiceTime(path)
}
