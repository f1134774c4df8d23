package baseline_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/baseline"
)

func TestTokenBucketAdmitsBurstAndRate(t *testing.T) {
	g := NewWithT(t)
	bucket := &baseline.TokenBucket{Rate: 10, Burst: 3}
	admitted := func(now clock.Millis) (count int) {
		for bucket.Take(now) {
			count++
		}
		return count
	}
	g.Expect(admitted(0)).To(Equal(0))
	g.Expect(admitted(200)).To(Equal(2))
	g.Expect(admitted(10_000)).To(Equal(3))
}
