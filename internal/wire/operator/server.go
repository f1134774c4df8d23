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

// Bounds of a command.
const (
	// defaultWriteTime is how long the outcome of a write is asked for.
	defaultWriteTime = 4 * clock.Second
	// spreadTime is how long VMs' confirmations are waited for.
	spreadTime = 2 * clock.Second
	// maxBodyBytes leaves room for the escapes of JSON around a document.
	maxBodyBytes = 4 * document.MaxBytes
	// maxAuthor is the longest name of an author, in bytes.
	maxAuthor = 100
)

// Store is the part of the store's client that a Server uses.
type Store interface {
	store.Changer
	List(ctx context.Context, prefix string) (store.Listing, error)
}

// Propagator pushes accepted changes to the other VMs; see follower.Follower.
type Propagator interface {
	PushAll(ctx context.Context, objects []store.Object) (confirmed, rest []string)
	Ready() (ready bool, why string)
}

// Viewer shows the membership; see heartbeat.Heartbeat.
type Viewer interface{ View() *membership.View }

// Freshness tells the age of knowledge; see freshness.Freshness.
type Freshness interface {
	Age() (age clock.Millis, known bool)
	IsFresh() bool
}

// Caller calls peers; see peer.Client.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Server answers operators. All exported fields must be set, but for those said
// to be optional.
type Server struct {
	Name       string
	Store      Store
	Replica    *replica.Replica
	Propagator Propagator
	Viewer     Viewer
	Freshness  Freshness
	Account    *account.DecisionLog
	Peers      Caller
	Clock      clock.Clock
	Log        logrus.FieldLogger
	// Scope counts commands by their outcome; optional.
	Scope tally.Scope
	// Metrics shows the metrics page; optional.
	Metrics http.Handler
	// Shares returns the shares that this VM holds, sorted; optional.
	Shares func() []ShareStatus
	// WriteTime takes the place of the default time for a write, if it is not 0.
	WriteTimeout clock.Millis

	settler settler
}

// Handler returns the operators' HTTP calls.
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

// ready answers the platform's readiness check.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if ready, why := s.Propagator.Ready(); !ready {
		writeJSON(w, http.StatusServiceUnavailable, Failure{Code: NotReady, Detail: why})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// command turns a function into a handler that writes its answer or failure.
func command[T any](s *Server, run func(request *http.Request) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(w, request.Body, maxBodyBytes)
		answer, err := run(request)
		if err == nil {
			s.count("ok")
			writeJSON(w, http.StatusOK, answer)
			return
		}
		failure, ok := fault.As[*Failure](err)
		if !ok {
			failure = &Failure{Code: Internal, Detail: err.Error()}
		}
		s.count(failure.Code)
		s.Log.WithField("reason", failure.Code).WithField("path", request.URL.Path).Info("operator's command failed: " + failure.Detail)
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

// readJSON reads a request's body whole.
func readJSON(request *http.Request, into any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalid("the body can't be read: %v", err)
	}
	return nil
}

// revisionOf reads a query parameter; 0 stands for the newest.
func revisionOf(request *http.Request, name string) (revision int64, err error) {
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

// requireReady refuses a change while this VM does not know enough to check it.
func (s *Server) requireReady() error {
	if ready, why := s.Propagator.Ready(); !ready {
		return &Failure{Code: NotReady, Detail: why}
	}
	return nil
}

// spread takes an accepted object over, pushes it to all VMs and tells which
// confirmed it in time. The caller's connection may end meanwhile.
func (s *Server) spread(ctx context.Context, objects ...store.Object) Propagation {
	if _, err := s.Replica.Merge(store.Listing{Objects: objects}); err != nil {
		s.Log.WithError(err).Error("an accepted object can't be read")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTime.Duration())
	defer cancel()
	confirmed, rest := s.Propagator.PushAll(ctx, objects)
	return Propagation{Confirmed: confirmed, Unconfirmed: rest}
}

func (s *Server) writeContext(request *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(request.Context()), s.writeTime().Duration())
}

func (s *Server) writeTime() clock.Millis {
	if s.WriteTimeout > 0 {
		return s.WriteTimeout
	}
	return defaultWriteTime
}

func checkAuthor(author string) error {
	if author == "" || len(author) > maxAuthor {
		return invalid("author: %q is not allowed: 1 to %d bytes", author, maxAuthor)
	}
	return nil
}
