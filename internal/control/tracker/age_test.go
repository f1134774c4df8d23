package tracker

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
)

func TestAgeIsThatOfTheLastProofThatTheCopyIsComplete(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	feed := &Feed{Kind: "config", Clock: manual.Clock()}
	_, known := feed.Age()
	g.Expect(known).To(BeFalse())
	ageOf := func() clock.Millis {
		age, known := feed.Age()
		g.Expect(known).To(BeTrue())
		return age
	}
	manual.Advance(10 * clock.Second)
	feed.recordSuccess(7 * clock.Second)
	feed.applyListing([]Object{{Name: "main", Revision: 5}}, 6)
	g.Expect(ageOf()).To(Equal(3 * clock.Second))
	feed.Confirm(6, clock.Second)
	g.Expect(ageOf()).To(Equal(3*clock.Second), "a peer that knows a newer change proves nothing")
	feed.Confirm(5, clock.Second)
	g.Expect(ageOf()).To(Equal(clock.Second + messageDelay))
	feed.Confirm(5, 2*clock.Second)
	g.Expect(ageOf()).To(Equal(clock.Second+messageDelay), "an older proof changes nothing")
	_, known = OldestAge([]*Feed{feed, {Kind: "servers"}})
	g.Expect(known).To(BeFalse())
}
