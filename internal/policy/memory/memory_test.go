package memory

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a connection that displaces another one that holds less, against closing more
// connections than needed, and against an order other than heads first, longest first.
func TestDisplacement(t *testing.T) {
	type held struct {
		bytes int64
		phase Phase
	}
	for _, test := range []struct {
		name          string
		others        []held
		bytes         int64
		isGranted     bool
		wantDisplaced []int
	}{
		{"room is left", []held{{50, InHead}}, 50, true, nil},
		{"longest first", []held{{40, InHead}, {40, InHead}}, 30, true, []int{0}},
		{"heads before bodies", []held{{40, InBody}, {40, InHead}}, 30, true, []int{1}},
		{"bodies then", []held{{40, InBody}, {40, Running}}, 30, true, []int{0}},
		{"several", []held{{40, InHead}, {40, InHead}}, 39, true, []int{0}},
		{"as few as needed, of those that hold as much", []held{{10, InHead}, {45, InHead}, {45, InHead}}, 45, true, []int{1}},
		{"less is not displaced", []held{{49, InHead}, {49, InBody}}, 50, false, nil},
		{"nor requests that run", []held{{100, Running}}, 1, false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			b := NewBudget(100 * share)
			var displaced []int
			for i, other := range test.others {
				g.Expect(b.NewClaim(0, func() { displaced = append(displaced, i) }).Set(other.bytes, other.phase)).To(BeTrue())
			}
			claim := b.NewClaim(0, nil)
			g.Expect(claim.Set(test.bytes, InHead)).To(Equal(test.isGranted))
			g.Expect(displaced).To(Equal(test.wantDisplaced))
		})
	}
}

// Guards against a sum that differs from what the claims hold, or exceeds the limit.
func TestSumIsThatOfClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(1000 * share)
		claims, held := map[int]*Claim{}, map[int]int64{}
		for range 60 {
			i := rapid.IntRange(0, 9).Draw(t, "claim")
			bytes, phase := rapid.Int64Range(0, 400).Draw(t, "bytes"), Phase(rapid.IntRange(0, 2).Draw(t, "phase"))
			switch {
			case claims[i] == nil:
				if claims[i] = b.NewClaim(bytes, func() { delete(claims, i); delete(held, i) }); claims[i] != nil {
					held[i] = bytes
				}
			case rapid.IntRange(0, 5).Draw(t, "release") == 0:
				claims[i].Release()
				delete(claims, i)
				delete(held, i)
			case claims[i].Set(bytes, phase):
				held[i] = bytes
			}
			sum := int64(0)
			for _, each := range held {
				sum += each
			}
			if b.Used() != sum || sum > b.limit {
				t.Fatalf("%d used of %d, the claims hold %d", b.Used(), b.limit, sum)
			}
		}
	})
}
