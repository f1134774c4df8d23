package blocklist

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// digest returns a digest of its own for each number.
func digest(number int) (d Digest) {
	binary.BigEndian.PutUint64(d[:], uint64(number))
	return d
}

func newList() (*List, *clock.Manual) {
	manual := &clock.Manual{}
	manual.Advance(clock.Minute)
	return &List{Clock: manual.Clock()}, manual
}

// end records that an endpoint ended some time after it got the request.
func end(l *List, manual *clock.Manual, d Digest) (isBlocked bool) {
	sentAt := l.Clock.Now()
	manual.Advance(80)
	return l.RecordEnd(d, sentAt)
}

func TestBlocksGrowWithTheEndsInSequence(t *testing.T) {
	g := NewWithT(t)
	l, manual := newList()
	g.Expect(end(l, manual, digest(1))).To(BeFalse())
	g.Expect(l.Find(digest(1))).To(Equal(Block{}))
	g.Expect(end(l, manual, digest(1))).To(BeTrue())
	g.Expect(l.Find(digest(1))).To(Equal(Block{2, blockTime}))
	g.Expect(l.Find(digest(2))).To(Equal(Block{}))
	manual.Advance(blockTime)
	g.Expect(l.Find(digest(1))).To(Equal(Block{}), "one more try")
	g.Expect(end(l, manual, digest(1))).To(BeTrue())
	g.Expect(l.Find(digest(1)).Remaining).To(Equal(blockGrowth * blockTime))
	g.Expect(l.Find(digest(1)).IsCertain()).To(BeTrue())
}

func TestEndpointsThatEndTogetherCountOnce(t *testing.T) {
	g := NewWithT(t)
	l, manual := newList()
	sentAt := l.Clock.Now()
	manual.Advance(100)
	for range 10 {
		g.Expect(l.RecordEnd(digest(1), sentAt)).To(BeFalse())
		manual.Advance(1)
	}
	g.Expect(l.Entries()).To(Equal([]Entry{{digest(1), 1, 10}}))
}

func TestAnswerClearsARequest(t *testing.T) {
	g := NewWithT(t)
	l, manual := newList()
	end(l, manual, digest(1))
	l.RecordAnswer(digest(1))
	g.Expect(end(l, manual, digest(1))).To(BeFalse(), "the sequence begins again")
	l.RecordAnswer(digest(1))
	manual.Advance(clock.Second)
	l.Merge([]Entry{{digest(1), minEnds, 0}})
	g.Expect(l.Find(digest(1))).To(Equal(Block{}), "the answer here is recent, and two ends may be chance")
	l.Merge([]Entry{{digest(1), certainEnds, 0}})
	g.Expect(l.Find(digest(1)).Ends).To(Equal(certainEnds))
}

func TestVMsLearnFromEachOtherWhateverTheOrder(t *testing.T) {
	g := NewWithT(t)
	l, manual := newList()
	other := &List{Clock: manual.Clock()}
	end(l, manual, digest(1))
	other.Merge(l.Entries())
	manual.Advance(messageDelay)
	g.Expect(end(other, manual, digest(1))).To(BeTrue(), "the second end, seen by another VM")
	for range 10 {
		l.Merge(other.Entries())
		other.Merge(l.Entries())
		manual.Advance(clock.Millis(50))
	}
	g.Expect(l.Find(digest(1)).Ends).To(Equal(2))
	g.Expect(other.Find(digest(1)).Remaining).To(Equal(blockTime-500), "an end does not appear later as it goes round")
	g.Expect(l.Find(digest(1)).Remaining).To(And(BeNumerically(">", 0), BeNumerically("<=", blockTime-500)))
	l.Merge([]Entry{{digest(2), -1, 0}, {digest(3), 2, -5}})
	g.Expect(l.Entries()).To(HaveLen(1), "invalid entries are ignored")
}

func TestListIsBoundedAndForgets(t *testing.T) {
	g := NewWithT(t)
	l, manual := newList()
	for i := range 3 * maxEntries {
		end(l, manual, digest(0))
		end(l, manual, digest(i+1))
	}
	g.Expect(len(l.ends)).To(Equal(maxEntries))
	g.Expect(l.Find(digest(0)).IsCertain()).To(BeTrue(), "those that others can't push out")
	entries := l.Entries()
	g.Expect(entries).To(HaveLen(maxSent))
	g.Expect(entries[0].Digest).To(Equal(digest(0)))
	manual.Advance(maxBlockTime + memory + 1)
	g.Expect(l.Entries()).To(BeEmpty())
	g.Expect(l.ends).To(BeEmpty())
}

// newFleet returns the lists of VMs with one clock, which all tell each other what they know
// when tell is called.
func newFleet(vms int) (lists []*List, manual *clock.Manual, tell func()) {
	_, manual = newList()
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprint("vm-", i))
		lists = append(lists, &List{Clock: manual.Clock(), VM: names[i]})
	}
	for _, l := range lists {
		l.SetVMs(names)
	}
	return lists, manual, func() {
		for _, from := range lists {
			entries := from.Entries()
			for _, to := range lists {
				to.Merge(entries)
			}
		}
	}
}

// Guards against a fleet that sends a request again from all VMs at once when its block
// ends, before they know how the first one went.
func TestFewVMsTryARequestAgainBeforeTheOthersKnow(t *testing.T) {
	for _, vms := range []int{3, 9, 89, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			lists, manual, tell := newFleet(vms)
			end(lists[0], manual, digest(7))
			end(lists[0], manual, digest(7))
			tell()
			const knownAfter = 2 * clock.Second
			sends := 0
			for first := clock.Millis(-1); first < 0 || lists[0].Clock.Now()-first < knownAfter; manual.Advance(50) {
				// One arrival at a VM in turn, twenty a second.
				l := lists[int(lists[0].Clock.Now()/50)%vms]
				if l.Find(digest(7)).Ends > 0 {
					continue
				}
				sends++
				l.RecordEnd(digest(7), l.Clock.Now())
				if first < 0 {
					first = l.Clock.Now()
				}
			}
			tell()
			g.Expect(sends).To(BeNumerically("<=", 3))
			for _, l := range lists {
				g.Expect(l.Find(digest(7)).IsCertain()).To(BeTrue())
			}
		})
	}
}

// Guards against a VM that sends all that comes after a block, until the first one has ended.
func TestOneRequestAtATimeIsTriedAfterABlock(t *testing.T) {
	g := NewWithT(t)
	l, manual := newList()
	end(l, manual, digest(7))
	end(l, manual, digest(7))
	manual.Advance(blockTime)
	sentAt := l.Clock.Now()
	_, endTrial := l.Admit(digest(7))
	for range 30 {
		manual.Advance(50)
		l.Merge([]Entry{{digest(7), minEnds, l.Clock.Now()}})
		block, _ := l.Admit(digest(7))
		g.Expect(block.Ends).To(Equal(minEnds))
	}
	endTrial()
	g.Expect(l.Find(digest(7))).To(Equal(Block{}), "it shows nothing that the endpoint went on")
	block, endNext := l.Admit(digest(7))
	g.Expect(block).To(Equal(Block{}))
	endTrial()
	manual.Advance(maxTrialTime - 1)
	block, _ = l.Admit(digest(7))
	g.Expect(block.Remaining).To(Equal(clock.Millis(1)), "an earlier trial that ends late changes nothing")
	g.Expect(l.RecordEnd(digest(7), sentAt+2*clock.Second)).To(BeTrue())
	endNext()
	block, _ = l.Admit(digest(7))
	g.Expect(block.IsCertain()).To(BeTrue())
}

// Guards against VMs that send a request again at nearly the same time, or one VM many times,
// before the first of them has ended its endpoint.
func TestFewTrialsRunAtATime(t *testing.T) {
	const runTime, knownAfter, arrivalInterval = 1200, 100, 20
	for _, vms := range []int{3, 9, 95} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			for number := range 100 {
				lists, manual, tell := newFleet(vms)
				end(lists[0], manual, digest(number))
				end(lists[0], manual, digest(number))
				tell()
				sends, left := 0, clock.Millis(runTime+knownAfter)
				for i := 0; left > 0; i++ {
					if block, _ := lists[i%vms].Admit(digest(number)); block.Ends == 0 {
						sends++
					}
					if manual.Advance(arrivalInterval); sends > 0 {
						left -= arrivalInterval
					}
				}
				g.Expect(sends).To(BeNumerically("<=", 3), "request %d", number)
			}
		})
	}
}

func TestAnswerOnOneVMClearsARequestOnAll(t *testing.T) {
	g := NewWithT(t)
	lists, manual, tell := newFleet(5)
	end(lists[0], manual, digest(7))
	end(lists[0], manual, digest(7))
	tell()
	g.Expect(lists[4].Find(digest(7)).Ends).To(Equal(minEnds))
	manual.Advance(blockTime)
	lists[1].RecordAnswer(digest(7))
	manual.Advance(50)
	tell()
	for _, l := range lists {
		g.Expect(l.Find(digest(7))).To(Equal(Block{}))
	}
	tell()
	g.Expect(end(lists[2], manual, digest(7))).To(BeFalse(), "the sequence begins again")
	tell()
	g.Expect(lists[3].Entries()).To(ContainElement(HaveField("Ends", 1)), "an end after the answer counts")
}

// Guards against blocks of the greatest length that end on all VMs at once, and against a
// peer's message that keeps a VM busy.
func TestLongestBlocksEndApartWhateverAPeerSays(t *testing.T) {
	for _, ends := range []int{4, 9, math.MaxInt} {
		t.Run(fmt.Sprint(ends), func(t *testing.T) {
			g := NewWithT(t)
			lists, _, _ := newFleet(9)
			remaining := map[clock.Millis]bool{}
			merged := make(chan struct{})
			go func() {
				defer close(merged)
				for _, l := range lists {
					l.Merge([]Entry{{digest(7), ends, 0}})
					remaining[l.Find(digest(7)).Remaining] = true
				}
			}()
			g.Eventually(merged, "2s").Should(BeClosed())
			g.Expect(remaining).To(HaveLen(len(lists)))
			lists[0].RecordEnd(digest(7), lists[0].Clock.Now())
			g.Expect(lists[0].Find(digest(7)).IsCertain()).To(BeTrue(), "a further end")
		})
	}
}
