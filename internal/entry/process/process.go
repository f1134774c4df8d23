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
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/router"
	"baobabladder.example/baobabladder/internal/policy/placement"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/replica"
)

const (
	watchWait  = 10 * clock.Second
	watchRetry = 200 * clock.Millis(1)
)

// Process is one run of an entry VM.
type Process struct {
	Settings settings.Settings
	Log      logrus.FieldLogger
}

// Run serves until ctx ends.
func (p *Process) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "running entry VM %s", p.Settings.Name)
	copied := &replica.Replica{}
	client := store.New(p.Settings.Store)
	listener, err := net.Listen("tcp", p.Settings.CallerAddress)
	if err != nil {
		return err
	}
	go p.follow(ctx, client, copied)
	handler := &router.Router{Replica: copied, Placer: &placement.Placer{}, Client: endpoint.New(), Log: p.Log}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: (10 * clock.Second).Duration()}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background())
	}()
	p.Log.WithField("address", listener.Addr()).Info("serving callers")
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// follow keeps copied up to date with the store until ctx ends.
func (p *Process) follow(ctx context.Context, client *store.Client, copied *replica.Replica) {
	for ctx.Err() == nil {
		listing, err := client.Watch(ctx, replica.Prefixes(), copied.Snapshot().Revision, watchWait)
		if err == nil {
			_, err = copied.Merge(listing)
		}
		if err != nil {
			p.Log.WithError(err).Warn("following the store failed")
			_ = clock.Sleep(ctx, watchRetry)
		}
	}
}
