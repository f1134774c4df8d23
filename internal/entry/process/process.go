// Package process puts the parts of an entry VM together: it opens the VM's
// listeners, starts its duties and stops them in order.
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

// Dial opens a connection; it is the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Process is one run of an entry VM.
type Process struct {
	Settings settings.Settings
	Log      logrus.FieldLogger
	// Dial, when set, opens the connections to the store, to peers and to
	// endpoints.
	Dial Dial
}

// Run serves until ctx ends, and then stops as planned: peers learn that the VM
// is stopping and name it no more, callers that still come are served, and the
// duties end after the last request.
func (p *Process) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "running entry VM %s", p.Settings.Name)
	known, err := newKnowledge(p.Settings, p.Log, p.Dial)
	if err != nil {
		return err
	}
	decided, err := newSteering(known, p.Settings)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", p.Settings.CallerAddress)
	if err != nil {
		return err
	}
	if err := known.listen(p.Settings); err != nil {
		_ = listener.Close()
		return err
	}
	endDuties := p.startDuties(ctx, known, decided)
	defer endDuties()
	server := p.callerServer(known, decided)
	go func() {
		<-ctx.Done()
		known.heartbeat.SetStopping()
		_ = server.Shutdown(context.Background())
	}()
	p.Log.WithField("address", listener.Addr()).Info("serving callers")
	return server.Serve(listener)
}

// startDuties starts what goes on until the last request has ended, and returns
// what ends it.
func (p *Process) startDuties(ctx context.Context, known *knowledge, decided *steering) (end func()) {
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	group.Go(func() { known.run(duties) })
	group.Go(func() { decided.run(duties) })
	return func() {
		cancel()
		group.Wait()
	}
}

// callerServer puts together what serves callers.
func (p *Process) callerServer(known *knowledge, decided *steering) *caller.Server {
	refuser := caller.RefusalWriter{Counters: metric.NewReasonCounters(known.metrics.Scope, "refusals"), Log: p.Log}
	handler := decided.router(refuser, &endpoint.Client{Dial: p.Dial}, p.Settings.Region)
	return &caller.Server{
		Handler: readyGate{known: known, next: handler, refuser: refuser}, Refuser: refuser,
		VMs: &decided.ranker, Ready: known.isReady,
	}
}

// notReadyRetry is when a refused caller may try again.
const notReadyRetry = 1 * clock.Second

// readyGate refuses callers until the VM knows enough to serve them.
type readyGate struct {
	known   *knowledge
	next    http.Handler
	refuser caller.RefusalWriter
}

// ServeHTTP implements http.Handler.
func (g readyGate) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if ready, why := g.known.follower.Ready(); !ready {
		g.refuser.Refuse(w, reason.NotRun(reason.NotReady, notReadyRetry, "%s", why), nil)
		return
	}
	g.next.ServeHTTP(w, request)
}
