package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
)

// settleInterval is how often an unsettled withdrawal is tried again.
const settleInterval = 2 * clock.Second

// settler holds withdrawals that this VM was asked for and that the store does
// not show yet.
type settler struct {
	mu sync.Mutex
	// authors maps the id of a key to who asked. Guarded by mu.
	authors map[string]string
}

// issue makes a key for a workspace.
func (s *Server) issue(request *http.Request) (issued IssueResponse, err error) {
	var asked IssueRequest
	if err := readJSON(request, &asked); err != nil {
		return IssueResponse{}, err
	}
	if err := checkAuthor(asked.Author); err != nil {
		return IssueResponse{}, err
	}
	if err := s.requireReady(); err != nil {
		return IssueResponse{}, err
	}
	if !s.hasWorkspace(asked.Workspace) {
		return IssueResponse{}, invalid("workspace: %q is not allowed: a workspace that a service's document has", asked.Workspace)
	}
	made, text, err := key.Issue(asked.Workspace)
	if err != nil {
		return IssueResponse{}, err
	}
	made.IssuedBy, made.IssuedAt, made.WriteID = asked.Author, s.Clock.Wall(), newWriteID()
	ctx, cancel := s.writeContext(request)
	defer cancel()
	object, err := s.writeKey(ctx, made, 0)
	if err != nil {
		return IssueResponse{}, failureOf(err)
	}
	s.Account.Add(account.Decision{What: "key_issued", Subject: made.ID, Why: fmt.Sprintf("%s asked for a key for workspace %s", asked.Author, asked.Workspace)})
	return IssueResponse{ID: made.ID, Workspace: made.Workspace, Text: text, Propagation: s.spread(ctx, object)}, nil
}

func (s *Server) hasWorkspace(name string) bool {
	for _, service := range s.Replica.Snapshot().Services {
		if service.Workspace(name) != nil {
			return true
		}
	}
	return false
}

func (s *Server) writeKey(ctx context.Context, k key.Key, version int64) (object store.Object, err error) {
	value, err := json.Marshal(k)
	if err != nil {
		return store.Object{}, err
	}
	return store.Write(ctx, s.Store, key.ObjectPrefix+k.ID, value, version, func(value []byte) bool {
		var read key.Key
		return json.Unmarshal(value, &read) == nil && read.WriteID == k.WriteID
	})
}

// withdraw withdraws a key. All VMs are told while the store is written, so that
// a lost answer delays the withdrawal nowhere.
func (s *Server) withdraw(request *http.Request) (withdrawn WithdrawResponse, err error) {
	id, author := request.PathValue("id"), request.URL.Query().Get("author")
	if err := checkAuthor(author); err != nil {
		return WithdrawResponse{}, err
	}
	if err := s.requireReady(); err != nil {
		return WithdrawResponse{}, err
	}
	ctx, cancel := s.writeContext(request)
	defer cancel()
	if _, copied := s.Replica.Object(key.ObjectPrefix + id); !copied {
		if err := s.requireKey(ctx, id); err != nil {
			return WithdrawResponse{}, err
		}
	}
	s.Replica.WithdrawKeys(id)
	early := make(chan Propagation, 1)
	go func() { early <- s.spread(ctx) }()
	object, err := s.withdrawInStore(ctx, id, author)
	if err != nil {
		s.settleLater(id, author)
		told := <-early
		return WithdrawResponse{}, &Failure{
			Code:        OutcomeUnknown,
			Detail:      "the key is treated as withdrawn by the VMs named, but the store has not confirmed it; this VM keeps trying: " + err.Error(),
			Confirmed:   told.Confirmed,
			Unconfirmed: told.Unconfirmed,
		}
	}
	s.noteWithdrawal(id, author)
	return WithdrawResponse{ID: id, Propagation: s.spread(ctx, object)}, nil
}

func (s *Server) noteWithdrawal(id, author string) {
	s.Account.Add(account.Decision{What: "key_withdrawn", Subject: id, Why: withdrawalOf(author)})
}

// requireKey refuses the id of a key that neither the copy nor the store has.
func (s *Server) requireKey(ctx context.Context, id string) error {
	_, err := s.Store.Get(ctx, key.ObjectPrefix+id)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return notFound("no key %s", id)
	}
	return failureOf(err)
}

// withdrawInStore writes the withdrawal, whatever else is written to the key at
// the same time. A key that is withdrawn already is left as it is.
func (s *Server) withdrawInStore(ctx context.Context, id, author string) (object store.Object, err error) {
	for {
		object, err = s.Store.Get(ctx, key.ObjectPrefix+id)
		if err != nil {
			return store.Object{}, err
		}
		var k key.Key
		if err := json.Unmarshal(object.Value, &k); err != nil {
			return store.Object{}, err
		}
		if k.Withdrawn {
			return object, nil
		}
		k.Withdrawn, k.WriteID = true, newWriteID()
		k.WithdrawnBy, k.WithdrawnAt = author, s.Clock.Wall()
		object, err = s.writeKey(ctx, k, object.Version)
		if !errorx.IsOfType(err, store.ErrConflict) {
			return object, err
		}
	}
}

func (s *Server) settleLater(id, author string) {
	s.settler.mu.Lock()
	defer s.settler.mu.Unlock()
	if s.settler.authors == nil {
		s.settler.authors = map[string]string{}
	}
	s.settler.authors[id] = author
}

// Run writes withdrawals that the store has not confirmed, until ctx ends: those
// that this VM was asked for, and those that it knows of from a peer, which may
// have ended since.
func (s *Server) Run(ctx context.Context) {
	unsettled := map[string]bool{}
	for clock.Sleep(ctx, settleInterval) == nil {
		waiting := s.waiting()
		before := unsettled
		unsettled = map[string]bool{}
		for _, id := range s.Replica.UnconfirmedWithdrawals() {
			unsettled[id] = true
			// The VM that was asked gets a round to write it first.
			if _, asked := waiting[id]; !asked && before[id] && s.isFirstOfDataCentre() {
				waiting[id] = ""
			}
		}
		for _, id := range slices.Sorted(maps.Keys(waiting)) {
			s.settle(ctx, id, waiting[id])
		}
	}
}

// waiting returns a copy of the settler's content.
func (s *Server) waiting() map[string]string {
	s.settler.mu.Lock()
	defer s.settler.mu.Unlock()
	waiting := make(map[string]string, len(s.settler.authors))
	maps.Copy(waiting, s.settler.authors)
	return waiting
}

// isFirstOfDataCentre says whether no other VM of the data centre that can be
// reached has a lesser name. Calls of the store then don't grow with the VMs.
func (s *Server) isFirstOfDataCentre() bool {
	view := s.Viewer.View()
	self := view.Member(view.Self)
	for i := range view.Members {
		m := &view.Members[i]
		if self != nil && m.Name < self.Name && m.DataCentre == self.DataCentre && m.Reachable && !m.Stopping {
			return false
		}
	}
	return true
}

func (s *Server) settle(ctx context.Context, id, author string) {
	ctx, cancel := context.WithTimeout(ctx, s.writeTime().Duration())
	defer cancel()
	object, err := s.withdrawInStore(ctx, id, author)
	if err != nil {
		return
	}
	s.settler.mu.Lock()
	delete(s.settler.authors, id)
	s.settler.mu.Unlock()
	s.noteWithdrawal(id, author)
	s.spread(ctx, object)
}

// listKeys lists the keys that this VM knows.
func (s *Server) listKeys(*http.Request) (list KeyList, err error) {
	list.Keys = []KeySummary{}
	for _, k := range s.Replica.Snapshot().Keys {
		list.Keys = append(list.Keys, KeySummary{
			ID: k.ID, Workspace: k.Workspace, Withdrawn: k.Withdrawn,
			IssuedBy: k.IssuedBy, IssuedAt: k.IssuedAt, WithdrawnBy: k.WithdrawnBy, WithdrawnAt: k.WithdrawnAt,
		})
	}
	slices.SortFunc(list.Keys, func(a, b KeySummary) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.ID, b.ID))
	})
	return list, nil
}
