package clock_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Guards against a lease clock that stands still while the machine is suspended, or that runs
// otherwise than the monotonic clock while it is not.
func TestBoottimeIncludesSuspensions(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	manual.Advance(5)
	manual.Suspend(70)
	g.Expect([]clock.Millis{manual.Clock().Now(), manual.Clock().Boottime()}).To(Equal([]clock.Millis{5, 75}))
	system := clock.Clock{}
	now, boottime := system.Now(), system.Boottime()
	g.Expect(clock.Sleep(t.Context(), 50)).To(Succeed())
	g.Expect(system.Boottime() - boottime).To(BeNumerically("~", system.Now()-now, 20))
}
