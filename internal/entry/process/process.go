// Package process assembles and runs an entry VM that is configured by documents. It
// opens the VM's listeners, starts the control plane and the traffic policies, and
// shuts everything down gracefully.
package process

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Process is one run of an entry VM.
type Process struct {
	Settings settings.Settings
	Log      logrus.FieldLogger
	// Dial, if set, opens the connections to the store, to peers and to endpoints.
	Dial Dial
}

// Run serves until ctx is done and then shuts down gracefully: peers learn that the VM
// is stopping and no longer recommend it to callers, requests that still arrive are
// served, and the background work ends after the last request.
func (p *Process) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "running entry VM %s", p.Settings.Name)
	control, err := newControlPlane(p.Settings, p.Log, p.Dial)
	if err != nil {
		return err
	}
	policies, err := newPolicies(control, p.Settings)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", p.Settings.CallerAddress)
	if err != nil {
		return err
	}
	if err := control.listen(p.Settings); err != nil {
		_ = listener.Close()
		return err
	}
	stopBackground := p.startBackground(ctx, control, policies)
	defer stopBackground()
	server := p.callerServer(control, policies)
	go func() {
		<-ctx.Done()
		control.heartbeat.SetStopping()
		_ = server.Shutdown(context.Background())
	}()
	p.Log.WithField("address", listener.Addr()).Info("serving callers")
	return server.Serve(listener)
}

// startBackground starts the background work, which must run until the last request
// has ended. stop ends it and waits for that.
func (p *Process) startBackground(ctx context.Context, control *controlPlane, policies *policies) (stop func()) {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { control.run(background) })
	group.Go(func() { policies.run(background) })
	return func() {
		cancel()
		group.Wait()
	}
}

// callerServer creates the server for callers.
func (p *Process) callerServer(control *controlPlane, policies *policies) *caller.Server {
	refuser := caller.RefusalWriter{Counters: metric.NewReasonCounters(control.metrics.Scope, "refusals"), Log: p.Log}
	handler := policies.router(refuser, &endpoint.Client{Dial: p.Dial}, p.Settings.Region)
	return &caller.Server{
		Handler: readinessHandler{control: control, next: handler, refuser: refuser}, Refusals: refuser,
		Memory: control.memory, OnHeadRefused: func(cause caller.HeadCause) { cause.Count(control.metrics.Scope) },
		VMs: &policies.ranker, Ready: control.isReady, RequestIDHeader: endpoint.RequestIDHeader,
		OnUndelivered: func(undelivered caller.Undelivered) {
			undelivered.Count(control.metrics.Scope)
			undelivered.LogTo(p.Log)
		},
	}
}

// notReadyRetryAfter is the Retry-After of a VM that is not ready.
const notReadyRetryAfter = 1 * clock.Second

// readinessHandler refuses requests until the VM is ready, and then passes them to
// next.
type readinessHandler struct {
	control *controlPlane
	next    http.Handler
	refuser caller.RefusalWriter
}

// ServeHTTP implements http.Handler.
func (h readinessHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if ready, detail := h.control.follower.Ready(); !ready {
		h.refuser.Refuse(w, reason.NotRun(reason.NotReady, notReadyRetryAfter, "%s", detail), nil)
		return
	}
	h.next.ServeHTTP(w, request)
}
