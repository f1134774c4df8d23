package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// apply accepts a new text of a document. It validates the text, writes it on the
// condition that the document is still at the revision on which the text is based, and
// propagates it to all VMs.
func (s *Server) apply(request *http.Request) (applied ApplyResponse, err error) {
	var input ApplyRequest
	if err := readJSON(request, &input); err != nil {
		return ApplyResponse{}, err
	}
	if err := checkAuthor(input.Author); err != nil {
		return ApplyResponse{}, err
	}
	if err := s.requireReady(); err != nil {
		return ApplyResponse{}, err
	}
	name := request.PathValue("name")
	if err := s.checkDocument(name, input.Text); err != nil {
		return ApplyResponse{}, err
	}
	ctx, cancel := s.writeContext(request)
	defer cancel()
	current, version, err := s.readRecord(ctx, name)
	if err != nil {
		return ApplyResponse{}, asFailure(err)
	}
	if current.Revision > 0 && current.Text == input.Text {
		return ApplyResponse{Name: name, Revision: current.Revision, Unchanged: true, Propagation: s.propagate(request.Context())}, nil
	}
	if current.Revision != input.BasedOn {
		return ApplyResponse{}, s.newConflict(current, input)
	}
	return s.replaceRecord(ctx, current, version, input)
}

// replaceRecord writes the successor of the current record, which has the given
// version in the store, after saving the current one to the history.
func (s *Server) replaceRecord(ctx context.Context, current document.Record, version int64, input ApplyRequest) (applied ApplyResponse, err error) {
	if err := s.saveHistory(ctx, current); err != nil {
		return ApplyResponse{}, asFailure(err)
	}
	next := current.Next(input.Text, input.Author, s.Clock.Wall())
	next.WriteID = newWriteID()
	value, err := json.Marshal(next)
	if err != nil {
		return ApplyResponse{}, err
	}
	if len(value) > store.MaxValueBytes {
		return ApplyResponse{}, invalid("the record has %d bytes, at most %d are allowed", len(value), store.MaxValueBytes)
	}
	object, err := store.Write(ctx, s.Store, document.ObjectPrefix+next.Name, value, version, func(value []byte) bool {
		var read document.Record
		return json.Unmarshal(value, &read) == nil && read.HasWrite(next.WriteID)
	})
	if errorx.IsOfType(err, store.ErrConflict) {
		return ApplyResponse{}, s.conflictWithCurrent(ctx, next.Name, input)
	}
	if err != nil {
		return ApplyResponse{}, asFailure(err)
	}
	s.Decisions.Add(account.Decision{
		What: "document_accepted", Subject: next.Name,
		Why: fmt.Sprintf("%s applied revision %d, based on %d", input.Author, next.Revision, input.BasedOn),
	})
	return ApplyResponse{Name: next.Name, Revision: next.Revision, Propagation: s.propagate(ctx, object)}, nil
}

// checkDocument validates the text of the document name, by itself and against the
// documents of other services.
func (s *Server) checkDocument(name, text string) error {
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		return invalid("%v", err)
	}
	if parsed.Name != name {
		return invalid("the text is the document of %s, not of %s", parsed.Name, name)
	}
	if parsed.Service != nil {
		return checkRoutes(s.Replica.Snapshot(), parsed.Service)
	}
	return nil
}

// checkRoutes refuses a route prefix that another service has.
func checkRoutes(snapshot *replica.Snapshot, service *document.Service) error {
	for _, other := range snapshot.Services {
		if other.Name == service.Name {
			continue
		}
		for _, route := range service.Routes {
			if slices.ContainsFunc(other.Routes, func(r document.Route) bool { return r.Prefix == route.Prefix }) {
				return invalid("section [route %s], key (prefix): %q is not allowed: a path that the document of %s does not have", route.Prefix, route.Prefix, other.Name)
			}
		}
	}
	return nil
}

// readRecord reads the newest record of a document and its version in the store. The
// record of a document that does not exist has revision 0.
func (s *Server) readRecord(ctx context.Context, name string) (record document.Record, version int64, err error) {
	object, err := s.Store.Get(ctx, document.ObjectPrefix+name)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return document.Record{Name: name}, 0, nil
	}
	if err != nil {
		return document.Record{}, 0, err
	}
	err = json.Unmarshal(object.Value, &record)
	return record, object.Version, err
}

// saveHistory writes a record that is about to be replaced to the history unless the
// history has it.
func (s *Server) saveHistory(ctx context.Context, record document.Record) error {
	if record.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = store.Write(ctx, s.Store, historyKey(record.Name, record.Revision), value, 0, func([]byte) bool { return true })
	if errorx.IsOfType(err, store.ErrConflict) {
		return nil
	}
	if errorx.IsOfType(err, store.ErrOutcomeUnknown) {
		return store.ErrUnavailable.Wrap(err, "the history could not be kept")
	}
	return err
}

func historyKey(name string, revision int64) string {
	return document.HistoryPrefix + name + "/" + strconv.FormatInt(revision, 10)
}

// conflictWithCurrent reads the document again and returns the conflict with the
// revision that was accepted first.
func (s *Server) conflictWithCurrent(ctx context.Context, name string, input ApplyRequest) error {
	current, _, err := s.readRecord(ctx, name)
	if err != nil {
		return &Failure{Code: Conflict, Detail: "another edit was accepted first; nothing was changed"}
	}
	return s.newConflict(current, input)
}

func (s *Server) newConflict(current document.Record, input ApplyRequest) *Failure {
	return &Failure{
		Code: Conflict,
		Detail: fmt.Sprintf("the text is based on revision %d, but %s is at revision %d by %s; nothing was changed",
			input.BasedOn, current.Name, current.Revision, current.Author),
		CurrentRevision: current.Revision,
		CurrentAuthor:   current.Author,
		Difference:      Compare(current.Text, input.Text),
	}
}

// show returns the newest or a given revision of a document.
func (s *Server) show(request *http.Request) (revision Revision, err error) {
	number, err := parseRevision(request, "revision")
	if err != nil {
		return Revision{}, err
	}
	record, err := s.readRevision(request.Context(), request.PathValue("name"), number)
	if err != nil {
		return Revision{}, err
	}
	return newRevision(record, true), nil
}

// readRevision reads a revision of a document; 0 selects the newest. If the store does
// not respond, it takes the newest revision from the replica of this VM.
func (s *Server) readRevision(ctx context.Context, name string, number int64) (record document.Record, err error) {
	record, _, err = s.readRecord(ctx, name)
	if err != nil {
		record = s.replicaRecord(name)
	}
	if record.Revision > 0 && (number == 0 || number == record.Revision) {
		return record, nil
	}
	if err != nil {
		return document.Record{}, asFailure(err)
	}
	if number == 0 {
		return document.Record{}, notFound("no document %s", name)
	}
	object, err := s.Store.Get(ctx, historyKey(name, number))
	if errorx.IsOfType(err, store.ErrNotFound) {
		return document.Record{}, notFound("no revision %d of document %s", number, name)
	}
	if err != nil {
		return document.Record{}, asFailure(err)
	}
	err = json.Unmarshal(object.Value, &record)
	return record, err
}

// replicaRecord reads the record of a document from the replica of this VM.
func (s *Server) replicaRecord(name string) (record document.Record) {
	if object, found := s.Replica.Object(document.ObjectPrefix + name); found {
		_ = json.Unmarshal(object.Value, &record)
	}
	return record
}

// history lists the revisions of a document.
func (s *Server) history(request *http.Request) (history History, err error) {
	name := request.PathValue("name")
	record, err := s.readRevision(request.Context(), name, 0)
	if err != nil {
		return History{}, err
	}
	listing, err := s.Store.List(request.Context(), document.HistoryPrefix+name+"/")
	if err != nil {
		return History{}, asFailure(err)
	}
	history.Revisions = []Revision{newRevision(record, false)}
	for _, object := range listing.Objects {
		var old document.Record
		if json.Unmarshal(object.Value, &old) == nil && old.Revision != record.Revision {
			history.Revisions = append(history.Revisions, newRevision(old, false))
		}
	}
	slices.SortFunc(history.Revisions, func(a, b Revision) int { return int(b.Revision - a.Revision) })
	return history, nil
}

// compare compares two revisions of a document, by default the newest and the one
// before it.
func (s *Server) compare(request *http.Request) (comparison Comparison, err error) {
	name := request.PathValue("name")
	from, err := parseRevision(request, "from")
	if err != nil {
		return Comparison{}, err
	}
	to, err := parseRevision(request, "to")
	if err != nil {
		return Comparison{}, err
	}
	newer, err := s.readRevision(request.Context(), name, to)
	if err != nil {
		return Comparison{}, err
	}
	if from == 0 {
		from = max(1, newer.Revision-1)
	}
	older, err := s.readRevision(request.Context(), name, from)
	if err != nil {
		return Comparison{}, err
	}
	return Comparison{Name: name, From: older.Revision, To: newer.Revision, Lines: Compare(older.Text, newer.Text)}, nil
}

func newRevision(record document.Record, withText bool) Revision {
	revision := Revision{Name: record.Name, Revision: record.Revision, Author: record.Author, AcceptedAt: record.AcceptedAt}
	if withText {
		revision.Text = record.Text
	}
	return revision
}
