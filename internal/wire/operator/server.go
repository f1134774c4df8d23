package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// Limits of a command.
const (
	// defaultWriteTimeout is how long a command tries to learn the outcome of a write.
	defaultWriteTimeout = 4 * clock.Second
	// propagationTimeout is how long a command waits for the confirmations of VMs.
	propagationTimeout = 2 * clock.Second
	// maxBodyBytes allows for the JSON escapes in the text of a document.
	maxBodyBytes = 4 * document.MaxBytes
	// maxAuthorBytes is the maximum length of the name of an author.
	maxAuthorBytes = 100
)

// Store is the part of the store's client that a Server uses.
type Store interface {
	store.Changer
	List(ctx context.Context, prefix string) (store.Listing, error)
}

// Propagator pushes accepted changes to the other VMs and reports whether this VM is
// ready; see follower.Follower.
type Propagator interface {
	PushAll(ctx context.Context, objects []store.Object) (confirmed, unconfirmed []string)
	Ready() (ready bool, reason string)
}

// Viewer returns the current view of the membership; see heartbeat.Heartbeat.
type Viewer interface{ View() *membership.View }

// Freshness reports the age of this VM's copy of the configuration; see
// freshness.Freshness.
type Freshness interface {
	Age() (age clock.Millis, known bool)
	IsFresh() bool
}

// PeerCaller calls peers; see peer.Client.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Server is the HTTP server for operators. All exported fields must be set except
// those marked as optional.
type Server struct {
	Name       string
	Store      Store
	Replica    *replica.Replica
	Propagator Propagator
	Viewer     Viewer
	Freshness  Freshness
	Decisions  *account.DecisionLog
	Peers      PeerCaller
	Clock      clock.Clock
	Log        logrus.FieldLogger
	// Scope receives the counter of commands by outcome; optional.
	Scope tally.Scope
	// Metrics serves the metrics page; optional.
	Metrics http.Handler
	// Shares returns the shares that this VM holds, sorted; optional.
	Shares func() []ShareStatus
	// WriteTimeout bounds the attempts to learn the outcome of a write; 0 selects 4 s.
	WriteTimeout clock.Millis

	pending pendingWithdrawals
}

// Handler returns the handler of all HTTP calls.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/documents/{name}", command(s, s.apply))
	mux.HandleFunc("GET /v1/documents/{name}", command(s, s.show))
	mux.HandleFunc("GET /v1/documents/{name}/history", command(s, s.history))
	mux.HandleFunc("GET /v1/documents/{name}/compare", command(s, s.compare))
	mux.HandleFunc("POST /v1/keys", command(s, s.issue))
	mux.HandleFunc("POST /v1/keys/{id}/withdraw", command(s, s.withdraw))
	mux.HandleFunc("GET /v1/keys", command(s, s.listKeys))
	mux.HandleFunc("GET /v1/status", command(s, s.status))
	mux.HandleFunc("GET /v1/moves", command(s, s.moves))
	mux.HandleFunc("GET /v1/account", command(s, s.account))
	mux.HandleFunc("GET /-/live", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("GET /-/ready", s.ready)
	if s.Metrics != nil {
		mux.Handle("GET /metrics", s.Metrics)
	}
	return mux
}

// ready handles the platform's readiness check.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := s.Propagator.Ready(); !ready {
		writeJSON(w, http.StatusServiceUnavailable, Failure{Code: NotReady, Detail: reason})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// command returns a handler that writes the result of run, or its Failure, as JSON.
func command[T any](s *Server, run func(request *http.Request) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(w, request.Body, maxBodyBytes)
		result, err := run(request)
		if err == nil {
			s.count("ok")
			writeJSON(w, http.StatusOK, result)
			return
		}
		failure, ok := fault.As[*Failure](err)
		if !ok {
			failure = &Failure{Code: Internal, Detail: err.Error()}
		}
		s.count(failure.Code)
		s.Log.WithField("reason", failure.Code).WithField("path", request.URL.Path).Info("operator command failed: " + failure.Detail)
		writeJSON(w, failure.status(), failure)
	}
}

func (s *Server) count(outcome ErrorCode) {
	if s.Scope != nil {
		s.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("operator_commands").Inc(1)
	}
}

func (f *Failure) status() int {
	switch f.Code {
	case Invalid:
		return http.StatusBadRequest
	case NotFound:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	case NotReady, Unavailable:
		return http.StatusServiceUnavailable
	case OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON decodes the body of a request and refuses unknown fields.
func readJSON(request *http.Request, into any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalid("the body can't be read: %v", err)
	}
	return nil
}

// parseRevision parses the query parameter name as a revision. It returns 0, which
// selects the newest revision, if the parameter is missing.
func parseRevision(request *http.Request, name string) (revision int64, err error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	revision, err = strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 1 {
		return 0, invalid("%s: %q is not allowed: a revision from 1", name, text)
	}
	return revision, nil
}

// requireReady returns a NotReady failure until this VM's copy of the configuration is
// complete enough to validate a change.
func (s *Server) requireReady() error {
	if ready, reason := s.Propagator.Ready(); !ready {
		return &Failure{Code: NotReady, Detail: reason}
	}
	return nil
}

// propagate merges accepted objects into the replica, pushes them to all VMs and
// returns which VMs confirmed within propagationTimeout. It continues if the operator's
// connection ends.
func (s *Server) propagate(ctx context.Context, objects ...store.Object) Propagation {
	if _, err := s.Replica.Merge(store.Listing{Objects: objects}); err != nil {
		s.Log.WithError(err).Error("merging an accepted object into the replica failed; its older value stays in force on this VM")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), propagationTimeout.Duration())
	defer cancel()
	confirmed, unconfirmed := s.Propagator.PushAll(ctx, objects)
	return Propagation{Confirmed: confirmed, Unconfirmed: unconfirmed}
}

// writeContext returns a context for a write. It continues if the operator's connection
// ends, and ends after the write timeout.
func (s *Server) writeContext(request *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(request.Context()), s.writeTimeout().Duration())
}

func (s *Server) writeTimeout() clock.Millis {
	if s.WriteTimeout > 0 {
		return s.WriteTimeout
	}
	return defaultWriteTimeout
}

func checkAuthor(author string) error {
	if author == "" || len(author) > maxAuthorBytes {
		return invalid("author: %q is not allowed: 1 to %d bytes", author, maxAuthorBytes)
	}
	return nil
}
