package balance

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// limitAnnounceTime is how long after its reading a limit is announced to peers.
	// maxAnnouncedLimits bounds the limits in one announcement.
	limitAnnounceTime  = 3 * clock.Second
	maxAnnouncedLimits = 64
)

// LimitStatement is what a response says of the endpoint's limit.
type LimitStatement int

// Statements of responses about limits.
const (
	// LimitUnstated: there was no response, or it does not show whether there is a
	// limit.
	LimitUnstated LimitStatement = iota
	// LimitNone: the endpoint names no limit, or no longer.
	LimitNone
	// LimitNamed: the endpoint names a limit.
	LimitNamed
)

// Limit is the rate of requests that an endpoint takes from all VMs together. An
// endpoint that needs relief names it in its responses, and leaves it out once it no
// longer holds.
type Limit struct {
	Statement LimitStatement
	// Rate is in requests per second, and 0 unless Statement is LimitNamed.
	Rate float64
}

// ParseLimit returns the limit that a response names: a decimal number of requests per
// second, or an empty text for none. Any other text shows nothing.
func ParseLimit(text string) Limit {
	if text == "" {
		return Limit{Statement: LimitNone}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !isRate(rate) {
		return Limit{}
	}
	return Limit{LimitNamed, rate}
}

func isRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 0) }

// LimitReading is what a VM knows of an endpoint's limit, for its peers.
type LimitReading struct {
	Limit Limit
	// Age is the time since a VM received the response that states the limit.
	Age clock.Millis
	// Started is the start time of the endpoint that sent the response; a later start
	// under the same ID has no limit yet.
	Started clock.Millis
}

// LimitReadings returns the limits that were read lately, by endpoint ID, for the peers.
// If there are too many, those that changed last are returned.
func (b *Balancer) LimitReadings() map[string]LimitReading {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var recent []*endpointState
	for _, state := range b.states {
		if state.said.limit.isRecent(limitAnnounceTime, now) {
			recent = append(recent, state)
		}
	}
	slices.SortFunc(recent, func(x, y *endpointState) int {
		return cmp.Or(cmp.Compare(y.said.limit.changedAt, x.said.limit.changedAt), strings.Compare(x.endpoint.ID, y.endpoint.ID))
	})
	readings := map[string]LimitReading{}
	for _, state := range recent[:min(len(recent), maxAnnouncedLimits)] {
		readings[state.endpoint.ID] = LimitReading{state.said.limit.stated, now - state.said.limit.readAt, state.endpoint.Started}
	}
	return readings
}

// MergeLimitReadings adds the limits that a peer knows. Of several readings of one
// endpoint the newest counts. Endpoints not in the directory and readings that make no sense
// are ignored.
func (b *Balancer) MergeLimitReadings(readings map[string]LimitReading) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for id, reading := range readings {
		if reading.Age < 0 || !isRate(reading.Limit.Rate) {
			continue
		}
		if state := b.states[id]; state != nil && state.endpoint.Started == reading.Started {
			state.said.limit.set(reading.Limit, now-reading.Age, now)
		}
	}
}

// LimitUse describes what this VM does with a limit that an endpoint has named.
type LimitUse struct {
	// Rate is the limit in requests per second, for all VMs together. Share is this VM's
	// part of it.
	Rate, Share float64
	// FirstSends counts the requests that this VM sent to the endpoint since it learned
	// of the limit, Retries those that it had sent elsewhere before.
	FirstSends, Retries int
}

// LimitUses returns the limits that hold, by endpoint ID.
func (b *Balancer) LimitUses() map[string]LimitUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	uses := map[string]LimitUse{}
	for id, state := range b.states {
		rate, ok := state.said.limit.binding(now)
		if !ok {
			continue
		}
		b.refreshLimit(state, now)
		uses[id] = LimitUse{rate, state.said.limit.share.rate, state.said.limit.firstSends, state.said.limit.retries}
	}
	return uses
}
