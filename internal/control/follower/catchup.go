package follower

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// CatchUp fetches what the copy of the peer at address has and this VM's copy lacks.
// isComplete reports whether the copy then has everything that reply summarises. It
// serves as heartbeat.CatchUp.
func (f *Follower) CatchUp(ctx context.Context, address string, reply *heartbeat.AskReply) (isComplete bool, err error) {
	defer fault.Annotate(&err, "catching up with %s", reply.Profile.ID.Name)
	if f.hasContentOf(address, reply.Summary) {
		return true, nil
	}
	if f.Replica.Summary().Revision == 0 {
		f.initialFetch.Lock()
		defer f.initialFetch.Unlock()
		if f.hasContentOf(address, reply.Summary) {
			return true, nil
		}
	}
	if err := f.fetchFrom(ctx, address); err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caughtUpWith == nil {
		f.caughtUpWith = map[string]replica.Summary{}
	}
	f.caughtUpWith[address] = reply.Summary
	return true, nil
}

// hasContentOf reports whether the copy is known to have all content that a peer's
// summary covers.
func (f *Follower) hasContentOf(address string, peerSummary replica.Summary) bool {
	ownSummary := f.Replica.Summary()
	if peerSummary.Digest == ownSummary.Digest && peerSummary.Revision <= ownSummary.Revision {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUpWith[address] == peerSummary && peerSummary != replica.Summary{}
}

// fetchFrom merges everything that the peer at address has after this copy's
// revision, page by page. It fails if the pages do not advance.
func (f *Follower) fetchFrom(ctx context.Context, address string) (err error) {
	// The timeout of a heartbeat allows for one small reply only; pages may take
	// longer.
	ctx = context.WithoutCancel(ctx)
	for after := f.Replica.Summary().Revision; ; {
		page, err := f.fetchPage(ctx, address, after)
		if err != nil {
			return err
		}
		if _, err := f.Replica.MergePage(page, after); err != nil {
			f.Log.WithError(err).Error("decoding an object of a peer failed; its older value stays in force")
		}
		if page.Next == 0 {
			return nil
		}
		if page.Next <= after {
			return errMalformed.New("the peer names revision %d as the last one of its page after revision %d", page.Next, after)
		}
		after = page.Next
	}
}

func (f *Follower) fetchPage(ctx context.Context, address string, after int64) (page replica.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout.Duration())
	defer cancel()
	err = f.Peers.Call(ctx, address, ReceiverName+".Fetch", FetchRequest{After: after}, &page)
	return page, err
}
