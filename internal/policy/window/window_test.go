package window_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/window"
)

type total struct{ n int }

func (t *total) Add(other *total) { t.n += other.n }
func (t *total) Clear()           { t.n = 0 }

func TestSumCoversTheLastSpans(t *testing.T) {
	g := NewWithT(t)
	sliding := window.Sliding[total, *total]{Span: clock.Second, Count: 4}
	sumAt := func(now clock.Millis) int {
		sum := sliding.Sum(now)
		return sum.n
	}
	for second := range clock.Millis(10) {
		sliding.Advance(second*clock.Second).n++
	}
	g.Expect(sumAt(9 * clock.Second)).To(Equal(4))
	g.Expect(sumAt(9999)).To(Equal(4))
	g.Expect(sumAt(11 * clock.Second)).To(Equal(2))
	g.Expect(sumAt(clock.Hour)).To(BeZero())
}
