package tracker

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// checkWait is how long the store may wait for changes in a check, in which it is to
	// reply at once.
	checkWait = 1 * clock.Millis(1)
	// minCheckPause and maxCheckPause bound the pause before the Checker looks again
	// whether a check is due.
	minCheckPause = 100 * clock.Millis(1)
	maxCheckPause = 1 * clock.Second
)

// Checker finds changes that no watch returns. A store that was down or slow when it
// received a watch may answer it late or never, and all VMs of a fleet may be waiting for
// such answers. A Checker calls the store whenever the copies have not been known to be
// complete for an interval, whatever the watches do. One VM's checks suffice for a fleet:
// its peers get from it what it finds, and learn that nothing else has changed.
type Checker struct {
	// Store is the store itself, not a relay.
	Store Source
	// Feeds are the feeds to check. A check reads the first one's changes, and the
	// others' if the store's revision shows that anything else may have changed.
	Feeds []*Feed
	// Interval returns how old the copies must be before this VM checks them. ok is
	// false if it must leave checks to other VMs.
	Interval func() (interval clock.Millis, ok bool)
	// OnMissed is called after a check has found a change that a watch did not return
	// within catchUpDelay; optional.
	OnMissed func()
	Clock    clock.Clock

	mu sync.Mutex
	// sentAt is when the last check began; valid if hasSent. Guarded by mu.
	sentAt  clock.Millis
	hasSent bool
}

// Run checks the copies until ctx ends. It does not wait for the reply of a check before
// it starts the next one.
func (c *Checker) Run(ctx context.Context) {
	for clock.Sleep(ctx, c.pause()) == nil {
		if c.begin() {
			go c.check(ctx)
		}
	}
}

// pause returns the time until a check may be due.
func (c *Checker) pause() clock.Millis {
	interval, ok := c.Interval()
	age, known := OldestAge(c.Feeds)
	if !ok || !known {
		return maxCheckPause
	}
	return min(max(interval-age, minCheckPause), maxCheckPause)
}

// begin reports whether a check is due, and records that it begins.
func (c *Checker) begin() bool {
	interval, ok := c.Interval()
	age, known := OldestAge(c.Feeds)
	if !ok || !known || age < interval {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if c.hasSent && now-c.sentAt < interval {
		return false
	}
	c.sentAt, c.hasSent = now, true
	return true
}

// check reads what the store has changed since the revision of each copy.
func (c *Checker) check(ctx context.Context) {
	sent := c.Clock.Now()
	newest, err := c.checkFeed(ctx, c.Feeds[0])
	if err != nil {
		return
	}
	for _, feed := range c.Feeds[1:] {
		if feed.confirmUpTo(newest, sent) {
			continue
		}
		if _, err := c.checkFeed(ctx, feed); err != nil {
			return
		}
	}
}

// checkFeed reads a kind's changes and returns the store's revision.
func (c *Checker) checkFeed(ctx context.Context, feed *Feed) (revision int64, err error) {
	sent, after, newest := c.Clock.Now(), feed.Revision(), feed.NewestChange()
	objects, revision, err := c.Store.Watch(ctx, feed.Kind, after, checkWait)
	switch {
	case err == nil:
		feed.mergeReply(after, objects, revision)
	case errorx.IsOfType(err, ErrHistoryGone):
		if objects, revision, err = c.Store.List(ctx, feed.Kind); err != nil {
			return 0, err
		}
		feed.applyListing(objects, revision)
	default:
		return 0, err
	}
	feed.confirmUpTo(revision, sent)
	if feed.NewestChange() > newest {
		go c.awaitWatch(ctx, feed, feed.runningWatch())
	}
	return revision, nil
}

// awaitWatch gives a watch catchUpDelay to return a change that a check has found, and
// abandons it then.
func (c *Checker) awaitWatch(ctx context.Context, feed *Feed, watch *runningWatch) {
	if clock.Sleep(ctx, catchUpDelay) != nil || !feed.abandonWatch(watch) {
		return
	}
	if c.OnMissed != nil {
		c.OnMissed()
	}
}

// confirmUpTo reports whether the copy is complete up to a revision that the store had in
// reply to a call that was sent at the given time, and records then that it was complete at
// that time.
func (f *Feed) confirmUpTo(revision int64, sent clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision < revision {
		return false
	}
	f.setCompleteAt(sent)
	return true
}
