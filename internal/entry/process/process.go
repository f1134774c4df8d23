// Package process puts the parts of an entry VM together: it opens the VM's
// listeners, starts its duties and stops them in order.
package process

import (
	"context"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/router"
	"baobabladder.example/baobabladder/internal/policy/placement"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/order"
)

// Process is one run of an entry VM.
type Process struct {
	Settings settings.Settings
	Log      logrus.FieldLogger
}

// Run serves until ctx ends, and then stops as planned: peers learn that the VM
// is stopping and name it no more, callers that still come are served, and the
// duties end after the last request.
func (p *Process) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "running entry VM %s", p.Settings.Name)
	known, err := newKnowledge(p.Settings, p.Log)
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
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		known.run(duties)
	}()
	defer func() {
		endDuties()
		<-ended
	}()
	server := p.callerServer(known)
	go func() {
		<-ctx.Done()
		known.heartbeat.Stop()
		_ = server.Shutdown(context.Background())
	}()
	p.Log.WithField("address", listener.Addr()).Info("serving callers")
	return server.Serve(listener)
}

// callerServer puts together what serves callers.
func (p *Process) callerServer(known *knowledge) *caller.Server {
	refuser := caller.Refuser{Log: p.Log}
	handler := &router.Router{
		Replica:   known.replica,
		Freshness: known.freshness,
		Placer:    &placement.Placer{Region: p.Settings.Region, DataCentre: p.Settings.DataCentre},
		Client:    endpoint.New(),
		Claims:    &order.Claims{Store: known.store},
		Region:    p.Settings.Region,
		Refuser:   refuser,
	}
	return &caller.Server{Handler: readyGate{known: known, next: handler, refuser: refuser}, Refuser: refuser, Ready: known.isReady}
}

// notReadyRetry is when a refused caller may try again.
const notReadyRetry = 1 * clock.Second

// readyGate refuses callers until the VM knows enough to serve them.
type readyGate struct {
	known   *knowledge
	next    http.Handler
	refuser caller.Refuser
}

// ServeHTTP implements http.Handler.
func (g readyGate) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if ready, why := g.known.follower.Ready(); !ready {
		g.refuser.Refuse(w, reason.NotRun(reason.NotReady, notReadyRetry, "%s", why), nil)
		return
	}
	g.next.ServeHTTP(w, request)
}
