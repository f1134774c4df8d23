package caller

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a caller who sends single bytes behind a request and so takes many times
// the memory of what it sends.
func TestManySmallReadsAreKeptInFewSegments(t *testing.T) {
	g := NewWithT(t)
	c := newConn(nil, &Server{})
	var sent, kept []byte
	for i := range 10 * maxSegments {
		sent = append(sent, byte(i))
		c.keep([]byte{byte(i)})
	}
	for _, each := range c.received {
		kept = append(kept, each.bytes...)
	}
	g.Expect(len(c.received)).To(BeNumerically("<=", maxSegments))
	g.Expect(kept).To(Equal(sent))
}
