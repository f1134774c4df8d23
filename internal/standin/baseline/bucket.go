package baseline

import "baobabladder.example/baobabladder/internal/base/clock"

// TokenBucket is a token bucket. It starts empty.
type TokenBucket struct {
	// Rate is in tokens a second. Burst is the capacity in tokens.
	Rate  float64
	Burst float64

	tokens    float64
	updatedAt clock.Millis
}

// Take removes one token if there is one, and reports whether there was.
func (b *TokenBucket) Take(now clock.Millis) bool {
	if now > b.updatedAt {
		b.tokens += b.Rate * float64(now-b.updatedAt) / float64(clock.Second)
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, b.Burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
