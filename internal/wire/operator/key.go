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

// withdrawalRetryInterval is the time between two attempts to write a withdrawal.
const withdrawalRetryInterval = 2 * clock.Second

// pendingWithdrawals holds withdrawals that operators requested from this VM and that
// the store has not confirmed.
type pendingWithdrawals struct {
	mu sync.Mutex
	// authors maps the id of a key to the author of its withdrawal. Guarded by mu.
	authors map[string]string
}

// issue creates a key for a workspace.
func (s *Server) issue(request *http.Request) (issued IssueResponse, err error) {
	var input IssueRequest
	if err := readJSON(request, &input); err != nil {
		return IssueResponse{}, err
	}
	if err := checkAuthor(input.Author); err != nil {
		return IssueResponse{}, err
	}
	if err := s.requireReady(); err != nil {
		return IssueResponse{}, err
	}
	if !s.hasWorkspace(input.Workspace) {
		return IssueResponse{}, invalid("workspace: %q is not allowed: a workspace that a service's document has", input.Workspace)
	}
	issuedKey, text, err := key.Issue(input.Workspace)
	if err != nil {
		return IssueResponse{}, err
	}
	issuedKey.IssuedBy, issuedKey.IssuedAt, issuedKey.WriteID = input.Author, s.Clock.Wall(), newWriteID()
	ctx, cancel := s.writeContext(request)
	defer cancel()
	object, err := s.writeKey(ctx, issuedKey, 0)
	if err != nil {
		return IssueResponse{}, asFailure(err)
	}
	s.Decisions.Add(account.Decision{What: "key_issued", Subject: issuedKey.ID, Why: fmt.Sprintf("%s asked for a key for workspace %s", input.Author, input.Workspace)})
	return IssueResponse{ID: issuedKey.ID, Workspace: issuedKey.Workspace, Text: text, Propagation: s.propagate(ctx, object)}, nil
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

// withdraw withdraws a key. It propagates the withdrawal to all VMs while it writes to
// the store, so that a lost reply of the store does not delay the withdrawal.
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
	if _, isReplicated := s.Replica.Object(key.ObjectPrefix + id); !isReplicated {
		if err := s.requireKey(ctx, id); err != nil {
			return WithdrawResponse{}, err
		}
	}
	s.Replica.WithdrawKeys(id)
	propagated := make(chan Propagation, 1)
	go func() { propagated <- s.propagate(ctx) }()
	object, err := s.withdrawInStore(ctx, id, author)
	if err != nil {
		s.addPending(id, author)
		propagation := <-propagated
		return WithdrawResponse{}, &Failure{
			Code:        OutcomeUnknown,
			Detail:      "the key is treated as withdrawn by the VMs named, but the store has not confirmed it; this VM keeps trying: " + err.Error(),
			Confirmed:   propagation.Confirmed,
			Unconfirmed: propagation.Unconfirmed,
		}
	}
	s.recordWithdrawal(id, author)
	return WithdrawResponse{ID: id, Propagation: s.propagate(ctx, object)}, nil
}

func (s *Server) recordWithdrawal(id, author string) {
	s.Decisions.Add(account.Decision{What: "key_withdrawn", Subject: id, Why: withdrawalReason(author)})
}

// requireKey returns a Failure if the store does not have the key.
func (s *Server) requireKey(ctx context.Context, id string) error {
	_, err := s.Store.Get(ctx, key.ObjectPrefix+id)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return notFound("no key %s", id)
	}
	return asFailure(err)
}

// withdrawInStore writes the withdrawal to the store and retries after conflicts with
// other writes to the key. It does not change a key that is already withdrawn.
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

// addPending adds a withdrawal to those that Run retries.
func (s *Server) addPending(id, author string) {
	s.pending.mu.Lock()
	defer s.pending.mu.Unlock()
	if s.pending.authors == nil {
		s.pending.authors = map[string]string{}
	}
	s.pending.authors[id] = author
}

// Run retries withdrawals that the store has not confirmed, until ctx ends: those
// requested from this VM and those that it learned from a peer, because the peer may
// have ended before it wrote them.
func (s *Server) Run(ctx context.Context) {
	unconfirmed := map[string]bool{}
	for clock.Sleep(ctx, withdrawalRetryInterval) == nil {
		pending := s.copyPending()
		previous := unconfirmed
		unconfirmed = map[string]bool{}
		for _, id := range s.Replica.UnconfirmedWithdrawals() {
			unconfirmed[id] = true
			// The VM that received the command has one interval to write it first.
			if _, isPending := pending[id]; !isPending && previous[id] && s.isFirstOfDataCentre() {
				pending[id] = ""
			}
		}
		for _, id := range slices.Sorted(maps.Keys(pending)) {
			s.retryWithdrawal(ctx, id, pending[id])
		}
	}
}

// copyPending returns a copy of the pending withdrawals: key id to author.
func (s *Server) copyPending() map[string]string {
	s.pending.mu.Lock()
	defer s.pending.mu.Unlock()
	pending := make(map[string]string, len(s.pending.authors))
	maps.Copy(pending, s.pending.authors)
	return pending
}

// isFirstOfDataCentre reports whether no other reachable VM of the data centre, except
// stopping ones, has a name that sorts before this VM's. Only the first VM writes
// withdrawals learned from peers, so that the number of calls to the store does not
// grow with the number of VMs.
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

// retryWithdrawal writes a withdrawal to the store and, if that succeeds, removes it
// from the pending ones, records the decision and propagates it.
func (s *Server) retryWithdrawal(ctx context.Context, id, author string) {
	ctx, cancel := context.WithTimeout(ctx, s.writeTimeout().Duration())
	defer cancel()
	object, err := s.withdrawInStore(ctx, id, author)
	if err != nil {
		return
	}
	s.pending.mu.Lock()
	delete(s.pending.authors, id)
	s.pending.mu.Unlock()
	s.recordWithdrawal(id, author)
	s.propagate(ctx, object)
}

// listKeys lists the keys in the replica of this VM.
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
