package fault_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
)

func TestAnnotateKeepsNilAndCause(t *testing.T) {
	g := NewWithT(t)
	work := func(cause error) (err error) {
		defer fault.Annotate(&err, "doing %s", "work")
		return cause
	}
	g.Expect(work(nil)).To(Succeed())
	cause := reason.NotRun(reason.RateExceeded, 0, "over the rate")
	err := work(cause)
	g.Expect(err).To(MatchError(ContainSubstring("doing work")))
	refusal, ok := fault.As[*reason.Refusal](err)
	g.Expect(ok).To(BeTrue())
	g.Expect(refusal).To(BeIdenticalTo(cause))
}
