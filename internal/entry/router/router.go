// Package router answers one caller's request: it finds the route, checks the
// key, the limits and the deadline, places the request on an endpoint, sends it
// there and passes the answer back. Serve can be read from top to bottom in the
// order in which a request goes.
package router

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/placement"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// Router answers callers' requests. All fields must be set.
type Router struct {
	Replica *replica.Replica
	Placer  *placement.Placer
	Client  *endpoint.Client
	Log     logrus.FieldLogger
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if err := r.serve(w, request); err != nil {
		r.Log.WithError(err).Info("request refused")
		caller.Refuse(w, err)
	}
}

func (r *Router) serve(w http.ResponseWriter, request *http.Request) error {
	snapshot := r.Replica.Snapshot()
	service, route := snapshot.Match(request.URL.Path)
	if route == nil {
		return reason.NotRun(reason.RouteUnknown, 0, "no route for %s", request.URL.Path)
	}
	if err := authenticate(snapshot, service, route, request); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(request.Context(), route.Deadline.Duration())
	defer cancel()
	chosen, err := r.Placer.Place(service.Service)
	if err != nil {
		return err
	}
	defer r.Placer.Release(chosen)
	request.Header.Set(endpoint.RequestIDHeader, newRequestID())
	response, err := r.Client.Send(ctx, chosen.Address, request, request.Body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return pass(w, response)
}

func authenticate(snapshot *replica.Snapshot, service *replica.Service, route *document.Route, request *http.Request) error {
	if route.Open {
		return nil
	}
	text, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found {
		return reason.NotRun(reason.KeyMissing, 0, "the route needs a key")
	}
	known, found := snapshot.Keys[key.DigestOf(text)]
	switch {
	case !found:
		return reason.NotRun(reason.KeyUnknown, 0, "no such key")
	case known.Withdrawn:
		return reason.NotRun(reason.KeyWithdrawn, 0, "key %s is withdrawn", known.ID)
	case service.Workspace(known.Workspace) == nil:
		return reason.NotRun(reason.WorkspaceUnknown, 0, "workspace %s has no part in %s", known.Workspace, service.Name)
	}
	return nil
}

func pass(w http.ResponseWriter, response *http.Response) error {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func newRequestID() string {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
