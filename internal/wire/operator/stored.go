package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/control/lease"
)

// storeName is the entry in Account.Missing for the store.
const storeName = "store"

// storedDecisions returns the decisions that are recorded in objects of the store:
// keys and documents from the replica, and lease takeovers read with one call to the
// store. After an error the lease takeovers are missing.
func (s *Server) storedDecisions(ctx context.Context) (lines []account.Decision, err error) {
	lines = append(s.keyDecisions(), s.documentDecisions()...)
	ctx, cancel := context.WithTimeout(ctx, accountTimeout.Duration())
	defer cancel()
	leases, err := s.leaseDecisions(ctx)
	lines = append(lines, leases...)
	slices.SortStableFunc(lines, func(a, b account.Decision) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.What, b.What), cmp.Compare(a.Subject, b.Subject))
	})
	return lines, err
}

func (s *Server) keyDecisions() (lines []account.Decision) {
	for _, k := range s.Replica.Snapshot().Keys {
		if k.IssuedAt > 0 {
			why := fmt.Sprintf("%s asked for a key for workspace %s", k.IssuedBy, k.Workspace)
			lines = append(lines, account.Decision{At: k.IssuedAt, What: "key_issued", Subject: k.ID, Why: why})
		}
		if k.WithdrawnAt > 0 {
			lines = append(lines, account.Decision{At: k.WithdrawnAt, What: "key_withdrawn", Subject: k.ID, Why: withdrawalReason(k.WithdrawnBy)})
		}
	}
	return lines
}

// withdrawalReason returns the Why text of a key's withdrawal by author. The author is
// empty if another VM wrote the withdrawal for the VM that received the command.
func withdrawalReason(author string) string {
	if author == "" {
		return "withdrawn through a VM that ended before it was written; that VM's log says who asked"
	}
	return author + " withdrew the key"
}

func (s *Server) documentDecisions() (lines []account.Decision) {
	snapshot := s.Replica.Snapshot()
	names := []string{document.FleetName}
	for i := range snapshot.Services {
		names = append(names, snapshot.Services[i].Name)
	}
	for _, name := range names {
		object, found := s.Replica.Object(document.ObjectPrefix + name)
		var record document.Record
		if !found || json.Unmarshal(object.Value, &record) != nil {
			continue
		}
		why := fmt.Sprintf("%s: revision %d", record.Author, record.Revision)
		lines = append(lines, account.Decision{At: record.AcceptedAt, What: "document_accepted", Subject: name, Why: why})
	}
	return lines
}

func (s *Server) leaseDecisions(ctx context.Context) (lines []account.Decision, err error) {
	listing, err := s.Store.List(ctx, lease.ObjectPrefix)
	if err != nil {
		return nil, err
	}
	for _, object := range listing.Objects {
		var record lease.Record
		if err := json.Unmarshal(object.Value, &record); err != nil {
			return lines, err
		}
		for _, takeover := range record.Takeovers {
			lines = append(lines, account.Decision{
				At: takeover.At, VM: takeover.Holder.Name, Term: takeover.Term, What: "lease_taken",
				Subject: object.Key[len(lease.ObjectPrefix):], Why: "no other VM held the lease",
			})
		}
	}
	return lines, nil
}
