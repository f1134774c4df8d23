package caller

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against callers that take all descriptors, so that the VM can neither accept and
// refuse a connection nor reach an endpoint.
func TestCallersLeaveDescriptorsForEndpoints(t *testing.T) {
	g := NewWithT(t)
	for descriptors, want := range map[uint64]int{0: 1, 1024: 412, 4100: 1950, 1 << 20: 4096, math.MaxUint64: 4096} {
		g.Expect(connectionsWithin(descriptors)).To(Equal(want), "%d descriptors", descriptors)
	}
	s := &Server{}
	s.init()
	g.Expect(s.defaultConnections).To(Equal(defaultConnections()))
}
