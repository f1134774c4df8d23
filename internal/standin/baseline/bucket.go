package baseline

import "baobabladder.example/baobabladder/internal/base/clock"

// TokenBucket is a token bucket. It starts empty.
type TokenBucket struct {
	// Rate is in tokens a second, Burst the most tokens held.
	Rate  float64
	Burst float64

	level float64
	at    clock.Millis
}

// Take removes one token if it is there.
func (b *TokenBucket) Take(now clock.Millis) bool {
	if now > b.at {
		b.level += b.Rate * float64(now-b.at) / float64(clock.Second)
		b.at = now
	}
	b.level = min(b.level, b.Burst)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
