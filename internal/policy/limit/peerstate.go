package limit

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// maxEstimateAge bounds the time for which a peer's tokens are extrapolated from
	// its last reply.
	maxEstimateAge = 1 * clock.Minute
	// fullnessStep is the resolution, in thousandths, at which the shares of peers are
	// compared by how full they are. Among equally full shares the nearest peer comes
	// first. fullnessSteps is the value of a full share.
	fullnessStep  = 250
	fullnessSteps = 1000 / fullnessStep
	// minBackoff is the backoff for a peer after its first reply without tokens.
	minBackoff = 2 * clock.Millis(1)
	// maxDoublings bounds how often the backoff doubles with consecutive replies
	// without tokens, and maxBackoff bounds the backoff, including the wait that the
	// peer reported.
	maxDoublings = 5
	maxBackoff   = 500 * clock.Millis(1)
	// timeoutBackoff is the backoff for a peer that did not reply in time.
	timeoutBackoff = 1 * clock.Second
)

// peerState is the state of a peer's share by the peer's latest replies.
type peerState struct {
	// retryAt is the time from which the peer may be asked again.
	retryAt clock.Millis
	// emptyReplies counts consecutive replies without tokens.
	emptyReplies int
	// nextTokenAt is the time at which the peer expects its next token, or 0 if
	// unknown.
	nextTokenAt clock.Millis
	// share and tokens are the peer's share and the tokens in it, at repliedAt.
	share     contract.Share
	tokens    int64
	repliedAt clock.Millis
}

// fullness returns an estimate of the part of the peer's token bucket that is filled
// now, in thousandths.
func (s *peerState) fullness(now clock.Millis) int64 {
	if s.share.Size == 0 {
		return 0
	}
	refilled := s.share.Rate * int64(min(now-s.repliedAt, maxEstimateAge)) / int64(clock.Second)
	return min(s.tokens+refilled, s.share.Size) * 1000 / s.share.Size
}

// record updates the state after a reply.
func (s *peerState) record(reply TakeReply, now clock.Millis) {
	s.emptyReplies++
	if reply.Taken > 0 {
		s.emptyReplies = 0
	}
	s.share, s.tokens, s.repliedAt = reply.Share, reply.Left, now
	s.nextTokenAt = 0
	if reply.Wait != contract.Never {
		s.nextTokenAt = now + reply.Wait
	}
	backoff := reply.Wait
	if s.emptyReplies > 0 {
		backoff = max(backoff, minBackoff<<min(s.emptyReplies-1, maxDoublings))
	}
	s.retryAt = now + min(backoff, maxBackoff)
}

// perSecondCounter counts events in the current second and in the previous one.
type perSecondCounter struct {
	since             clock.Millis
	current, previous int64
}

func (c *perSecondCounter) add(now clock.Millis, events int64) {
	if now-c.since >= clock.Second {
		c.since, c.previous, c.current = now, c.current, 0
	}
	c.current += events
}
