package gateway

import (
	"context"
	"net/http"
	"strconv"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Headers of a request that a VM which is cut off from all endpoints forwards to another
// VM. The forwarding VM has checked the key and the quota.
const (
	// forwardedServiceHeader names the service, forwardedVersionHeader the version of the
	// configuration by which the forwarding VM chose it.
	forwardedServiceHeader = "Forwarded-Service"
	forwardedVersionHeader = "Forwarded-Configuration"
	// forwardedAttemptsHeader holds the number of endpoints that may have run the request
	// already.
	forwardedAttemptsHeader = "Forwarded-Attempts"
)

const (
	// maxAlternates is the number of VMs to which one request may be forwarded, one after the
	// other. The next one gets it only if the one before has not run it.
	maxAlternates = 2
	// alternateRetryAfter is the Retry-After of a VM that cannot serve a forwarded request, or
	// has no alternate.
	alternateRetryAfter = 250 * clock.Millis(1)
)

// isCutOff reports whether the request must be forwarded because this VM is cut off from
// all endpoints.
func (c *call) isCutOff() bool { return c.gateway.Reach != nil && c.gateway.Reach.IsCutOff() }

// hasLostLinks reports whether this VM is cut off and gets no answers on open connections
// either.
func (c *call) hasLostLinks() bool { return c.isCutOff() && c.gateway.Reach.Lost().Err() != nil }

// alternates returns the VMs to which the request may be forwarded. A forwarded request is not
// forwarded again.
func (c *call) alternates() []vm.VM {
	if c.isForwarded || c.gateway.Alternates == nil {
		return nil
	}
	return c.gateway.Alternates(maxAlternates, func(region string) bool { return routing.IsRegionAllowed(c.route, c.workspace, region) })
}

// alternatesAfter returns the VMs to which the request may be forwarded after its last attempt
// failed: this VM is cut off, or did not reach the endpoint and may just have been.
func (c *call) alternatesAfter(ctx context.Context, refusal *reason.Refusal) []vm.VM {
	if c.mayHaveRun || refusal.Ran != reason.RanNo || ctx.Err() != nil || c.isBodyConsumed() || !c.canFinish(ctx) {
		return nil
	}
	if !c.isCutOff() && c.lastOutcome() != balance.Unreachable {
		return nil
	}
	return c.alternates()
}

// forward sends the request to one of the alternates and relays the response. There must be one.
func (c *call) forward(ctx context.Context, alternates []vm.VM) error {
	var refusal *reason.Refusal
	for _, alternate := range alternates {
		err := c.forwardTo(ctx, alternate)
		if err == nil {
			return nil
		}
		refusal = alternateRefusal(err)
		c.mayHaveRun = c.mayHaveRun || refusal.Ran != reason.RanNo
		if c.mayHaveRun || ctx.Err() != nil || c.isBodyConsumed() || !c.canFinish(ctx) {
			break
		}
	}
	return c.finalRefusal(refusal)
}

func (c *call) forwardTo(ctx context.Context, alternate vm.VM) error {
	c.forwardedTo = alternate.Name
	c.sentTo.Store(&alternate.Name)
	defer c.sentTo.Store(nil)
	response, err := c.gateway.PeerClient.Send(ctx, alternate.ForwardAddress, c.forwardedRequest())
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return c.relayResponse(ctx, response)
}

// alternateRefusal returns the refusal for a request that an alternate has not answered. An alternate
// that has not run it may have said when to come back.
func alternateRefusal(err error) *reason.Refusal {
	refusal := caller.AsRefusal(err)
	notRun, ok := fault.As[*endpoint.NotRunError](err)
	if !ok || notRun.Pause == 0 {
		return refusal
	}
	copied := *refusal
	copied.RetryAfter = notRun.Pause
	return &copied
}

// forwardedRequest returns the request as it is forwarded.
func (c *call) forwardedRequest() *endpoint.Request {
	request := c.outgoingRequest()
	request.Header.Set(forwardedServiceHeader, c.service.Name)
	request.Header.Set(forwardedVersionHeader, strconv.FormatUint(c.table.Version, 10))
	request.Header.Set(forwardedAttemptsHeader, strconv.Itoa(c.ranAttempts))
	return request
}

// ForwardHandler returns the handler for requests that other VMs forward to this one. It must
// not be reachable for callers: it does not check keys.
func (g *Gateway) ForwardHandler() http.Handler { return http.HandlerFunc(g.serveForwarded) }

func (g *Gateway) serveForwarded(w http.ResponseWriter, request *http.Request) {
	c := &call{gateway: g, w: w, request: request, arrived: g.Clock.Now(), isForwarded: true}
	err := g.runForwarded(c)
	if err != nil && caller.AsRefusal(err).Ran == reason.RanNo {
		w.Header().Set(endpoint.NotRunHeader, "1")
	}
	g.finish(c, err)
}

// runForwarded runs a request that another VM forwarded: the steps of serve without those
// that the other VM has made.
func (g *Gateway) runForwarded(c *call) error {
	if err := c.readHead(); err != nil {
		return err
	}
	if err := c.adoptChoices(); err != nil {
		return err
	}
	ctx, cancel := c.withDeadline()
	defer cancel()
	defer g.inFlight.add(c)()
	return c.afterInterrupt(ctx, c.receiveAndSend(ctx))
}

// adoptChoices takes the workspace and the service that the forwarding VM has determined. A
// VM that knows only an older configuration refuses the request.
func (c *call) adoptChoices() error {
	header := c.request.Header
	version, err := strconv.ParseUint(header.Get(forwardedVersionHeader), 10, 64)
	if err != nil {
		return reason.NotRun(reason.BadRequest, 0, "the header %s is not the version of a configuration", forwardedVersionHeader)
	}
	if c.earlierAttempts, err = strconv.Atoi(header.Get(forwardedAttemptsHeader)); err != nil || c.earlierAttempts < 0 {
		return reason.NotRun(reason.BadRequest, 0, "the header %s is not a number of endpoints", forwardedAttemptsHeader)
	}
	service, workspace := header.Get(forwardedServiceHeader), header.Get(c.gateway.Headers.Workspace)
	header.Del(forwardedServiceHeader)
	header.Del(forwardedVersionHeader)
	header.Del(forwardedAttemptsHeader)
	if c.isCutOff() {
		return reason.NotRun(reason.NoEndpoint, alternateRetryAfter, "this VM is cut off from all endpoints too")
	}
	if err := c.findRoute(); err != nil || c.table.Version < version {
		return reason.NotRun(reason.NotReady, alternateRetryAfter, "this VM does not have version %d of the configuration", version)
	}
	if c.workspace = c.table.Workspaces[workspace]; c.workspace == nil && workspace != "" {
		return reason.NotRun(reason.NotReady, alternateRetryAfter, "this VM does not know the workspace %s", workspace)
	}
	c.setService(service)
	return nil
}
