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

// apply accepts a document: it checks it whole, writes it on the condition that
// the document is still at the revision that the text is based on, and spreads
// it.
func (s *Server) apply(request *http.Request) (applied ApplyResponse, err error) {
	var asked ApplyRequest
	if err := readJSON(request, &asked); err != nil {
		return ApplyResponse{}, err
	}
	if err := checkAuthor(asked.Author); err != nil {
		return ApplyResponse{}, err
	}
	if err := s.requireReady(); err != nil {
		return ApplyResponse{}, err
	}
	name := request.PathValue("name")
	if err := s.checkDocument(name, asked.Text); err != nil {
		return ApplyResponse{}, err
	}
	ctx, cancel := s.writeContext(request)
	defer cancel()
	current, version, err := s.readRecord(ctx, name)
	if err != nil {
		return ApplyResponse{}, failureOf(err)
	}
	if current.Revision > 0 && current.Text == asked.Text {
		return ApplyResponse{Name: name, Revision: current.Revision, Unchanged: true, Propagation: s.spread(request.Context())}, nil
	}
	if current.Revision != asked.BasedOn {
		return ApplyResponse{}, s.conflict(current, asked)
	}
	return s.write(ctx, current, version, asked)
}

// write replaces the current record.
func (s *Server) write(ctx context.Context, current document.Record, version int64, asked ApplyRequest) (applied ApplyResponse, err error) {
	if err := s.keepHistory(ctx, current); err != nil {
		return ApplyResponse{}, failureOf(err)
	}
	next := current.Next(asked.Text, asked.Author, s.Clock.Wall())
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
		return ApplyResponse{}, s.conflictNow(ctx, next.Name, asked)
	}
	if err != nil {
		return ApplyResponse{}, failureOf(err)
	}
	s.Account.Add(account.Decision{
		What: "document_accepted", Subject: next.Name,
		Why: fmt.Sprintf("%s applied revision %d, based on %d", asked.Author, next.Revision, asked.BasedOn),
	})
	return ApplyResponse{Name: next.Name, Revision: next.Revision, Propagation: s.spread(ctx, object)}, nil
}

// checkDocument checks a text by itself and against the other documents.
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

// checkRoutes refuses a route that another service has.
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

// readRecord reads a document's newest record; one that does not exist has
// revision 0.
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

// keepHistory writes the record that is about to be replaced to the history, if
// it is not there.
func (s *Server) keepHistory(ctx context.Context, record document.Record) error {
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

// conflictNow reads the document again to tell who won.
func (s *Server) conflictNow(ctx context.Context, name string, asked ApplyRequest) error {
	current, _, err := s.readRecord(ctx, name)
	if err != nil {
		return &Failure{Code: Conflict, Detail: "another edit was accepted first; nothing was changed"}
	}
	return s.conflict(current, asked)
}

func (s *Server) conflict(current document.Record, asked ApplyRequest) *Failure {
	return &Failure{
		Code: Conflict,
		Detail: fmt.Sprintf("the text is based on revision %d, but %s is at revision %d by %s; nothing was changed",
			asked.BasedOn, current.Name, current.Revision, current.Author),
		CurrentRevision: current.Revision,
		CurrentAuthor:   current.Author,
		Difference:      Compare(current.Text, asked.Text),
	}
}

// show returns a document's newest or a given revision.
func (s *Server) show(request *http.Request) (revision Revision, err error) {
	number, err := revisionOf(request, "revision")
	if err != nil {
		return Revision{}, err
	}
	record, err := s.recordAt(request.Context(), request.PathValue("name"), number)
	if err != nil {
		return Revision{}, err
	}
	return revisionLine(record, true), nil
}

// recordAt reads a revision; 0 stands for the newest. The newest comes from this
// VM's copy if the store gives no answer.
func (s *Server) recordAt(ctx context.Context, name string, number int64) (record document.Record, err error) {
	record, _, err = s.readRecord(ctx, name)
	if err != nil {
		record = s.copied(name)
	}
	if record.Revision > 0 && (number == 0 || number == record.Revision) {
		return record, nil
	}
	if err != nil {
		return document.Record{}, failureOf(err)
	}
	if number == 0 {
		return document.Record{}, notFound("no document %s", name)
	}
	object, err := s.Store.Get(ctx, historyKey(name, number))
	if errorx.IsOfType(err, store.ErrNotFound) {
		return document.Record{}, notFound("no revision %d of document %s", number, name)
	}
	if err != nil {
		return document.Record{}, failureOf(err)
	}
	err = json.Unmarshal(object.Value, &record)
	return record, err
}

// copied reads a document's record from this VM's copy.
func (s *Server) copied(name string) (record document.Record) {
	if object, found := s.Replica.Object(document.ObjectPrefix + name); found {
		_ = json.Unmarshal(object.Value, &record)
	}
	return record
}

// history lists a document's revisions.
func (s *Server) history(request *http.Request) (history History, err error) {
	name := request.PathValue("name")
	record, err := s.recordAt(request.Context(), name, 0)
	if err != nil {
		return History{}, err
	}
	listing, err := s.Store.List(request.Context(), document.HistoryPrefix+name+"/")
	if err != nil {
		return History{}, failureOf(err)
	}
	history.Revisions = []Revision{revisionLine(record, false)}
	for _, object := range listing.Objects {
		var old document.Record
		if json.Unmarshal(object.Value, &old) == nil && old.Revision != record.Revision {
			history.Revisions = append(history.Revisions, revisionLine(old, false))
		}
	}
	slices.SortFunc(history.Revisions, func(a, b Revision) int { return int(b.Revision - a.Revision) })
	return history, nil
}

// compare compares two revisions, by default the newest with the one before.
func (s *Server) compare(request *http.Request) (comparison Comparison, err error) {
	name := request.PathValue("name")
	from, err := revisionOf(request, "from")
	if err != nil {
		return Comparison{}, err
	}
	to, err := revisionOf(request, "to")
	if err != nil {
		return Comparison{}, err
	}
	newer, err := s.recordAt(request.Context(), name, to)
	if err != nil {
		return Comparison{}, err
	}
	if from == 0 {
		from = max(1, newer.Revision-1)
	}
	older, err := s.recordAt(request.Context(), name, from)
	if err != nil {
		return Comparison{}, err
	}
	return Comparison{Name: name, From: older.Revision, To: newer.Revision, Lines: Compare(older.Text, newer.Text)}, nil
}

func revisionLine(record document.Record, withText bool) Revision {
	revision := Revision{Name: record.Name, Revision: record.Revision, Author: record.Author, AcceptedAt: record.AcceptedAt}
	if withText {
		revision.Text = record.Text
	}
	return revision
}
