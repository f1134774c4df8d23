package pack_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/pack"
)

func counts(n int) map[string]int {
	counts := map[string]int{}
	for i := range n {
		counts[fmt.Sprintf("catalogue-%04d", i)] = 1 + i%3
	}
	return counts
}

func TestDecodeReturnsEncodedValue(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{0, 1, 3000} {
		packed, err := pack.Encode(counts(n))
		g.Expect(err).NotTo(HaveOccurred())
		var unpacked map[string]int
		g.Expect(pack.Decode(packed, &unpacked)).To(Succeed())
		g.Expect(unpacked).To(HaveLen(n))
		g.Expect(unpacked).To(Or(BeEmpty(), Equal(counts(n))))
	}
}

func TestSimilarNamesCompressWell(t *testing.T) {
	g := NewWithT(t)
	packed, err := pack.Encode(counts(1000))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed)).To(BeNumerically("<", 8<<10))
}

func TestDecodeRejectsTruncatedAndOversizedData(t *testing.T) {
	g := NewWithT(t)
	packed, err := pack.Encode(counts(100))
	g.Expect(err).NotTo(HaveOccurred())
	var unpacked map[string]int
	g.Expect(pack.Decode(packed[:len(packed)/2], &unpacked)).NotTo(Succeed())
	g.Expect(pack.Decode([]byte("not packed"), &unpacked)).NotTo(Succeed())
	large, err := pack.Encode(make([]byte, 65<<20))
	g.Expect(err).NotTo(HaveOccurred())
	var bytes []byte
	g.Expect(pack.Decode(large, &bytes)).NotTo(Succeed())
}
