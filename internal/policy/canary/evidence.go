package canary

import (
	"fmt"
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/likelihood"
)

const (
	// minBad is the least number of bad requests that show a fault. A single one may be
	// chance.
	minBad = 2
	// faultRatio is the likelihood ratio above which a version is rolled back before its
	// deadline; see likelihood.Ratio.
	faultRatio = 4500
	// doubtMaxP is the probability, for a version as good as the old one, below which bad
	// requests roll the version back at its deadline. It is large because to complete the
	// move to a bad version does more harm, as it then runs all requests, than to roll
	// back a good one.
	doubtMaxP = 0.05
	// recentDoubtMaxP is the same for the last seconds of the trial, which are one of
	// several windows.
	recentDoubtMaxP = 0.02
	// minWindowAnswers bounds the number of windows for which the ratio is corrected: the
	// recent window counts as one with at least that many answers.
	minWindowAnswers = 10
	// ownAnswers is the number of the old version's requests on a VM from which the VM's
	// own rate counts more than the rate of all VMs.
	ownAnswers = 10
)

// fault is a way in which a version can be bad. A version has it if that many of its
// requests are bad is unlikely for a version as good as the old one.
type fault struct {
	name string
	// bad and all return the number of requests that show the fault and of those that
	// could have shown it.
	bad, all func(counts *Counts) int
	// tolerated is the rate that is accepted of any version. Before the deadline, the rate
	// must also exceed the expected one by margin.
	tolerated, margin float64
}

// faults holds the faults, each compared by itself: what is frequent of one kind, for
// whatever reason, must not hide what is rare of another.
var faults = []fault{
	{"failed", func(c *Counts) int { return c.Failed }, func(c *Counts) int { return c.Answers }, 0.01, 0},
	// A crash of one endpoint ends several requests at once.
	{"ended", func(c *Counts) int { return c.Ended }, func(c *Counts) int { return c.Answers }, 0.05, 0.1},
	{"slow", func(c *Counts) int { return c.Slow }, func(c *Counts) int { return c.Answers - c.Tight }, 0.02, 0},
	// The objects may not be cached yet by the new version's endpoints.
	{"slow or late", func(c *Counts) int { return c.Slow + c.Late }, func(c *Counts) int { return c.Answers - c.Tight }, 0.05, 0.25},
	{"late with tight time", func(c *Counts) int { return c.TightLate }, func(c *Counts) int { return c.Tight }, 0.15, 0.25},
}

// Evidence is what one VM, or all VMs of a region or of the fleet together, have observed
// about the versions of a service.
type Evidence struct {
	// To is the version on trial.
	To string
	// Age is how long ago the VM, or one of the peers that reported to it, first knew
	// of the move.
	Age clock.Millis
	// ObservedFrom is the age of the move from which on the evidence counts requests: 0 for
	// a VM that knew of the move from the beginning, more for one that started later.
	ObservedFrom clock.Millis
	// Whole counts the requests since ObservedFrom, Recent those of the last seconds. A
	// fault that begins late shows in Recent, a rare one in Whole.
	Whole, Recent VersionCounts
	// Bad reports whether the VM has found the new version bad.
	Bad bool
}

// MergeEvidence combines the evidence of several VMs, by service. If it is about
// different versions of a service, only the evidence on the version that comes first in
// parts is kept.
func MergeEvidence(parts []map[string]Evidence) map[string]Evidence {
	sums := map[string]Evidence{}
	for _, part := range parts {
		for service, e := range part {
			sum, found := sums[service]
			if found && sum.To != e.To {
				continue
			}
			if found {
				e.ObservedFrom = min(sum.ObservedFrom, e.ObservedFrom)
			}
			e.Age, e.Bad = max(sum.Age, e.Age), sum.Bad || e.Bad
			e.add(&sum)
			sums[service] = e
		}
	}
	return sums
}

// add adds the requests that another VM observed.
func (e *Evidence) add(other *Evidence) {
	e.Whole.Add(&other.Whole)
	e.Recent.Add(&other.Recent)
}

// comparison compares how often a fault shows in the new version's requests with how
// often it would if the version were as good as the old one.
type comparison struct {
	fault *fault
	// bad of all requests of the new version show the fault.
	bad, all int64
	// expected is the rate of such requests for a version as good as the old one.
	expected float64
	// windows is how many windows of this length the trial has had. maxP is the
	// probability below which there is a doubt.
	windows, maxP float64
}

// isFault reports whether the requests prove the fault.
func (c *comparison) isFault() bool {
	if c.bad < minBad || float64(c.bad) <= (c.expected+c.fault.margin)*float64(c.all) {
		return false
	}
	return likelihood.Ratio(c.bad, c.all, c.expected) >= math.Log(faultRatio*c.windows)
}

// isDoubt reports whether chance does not explain the requests.
func (c *comparison) isDoubt() bool {
	return c.bad >= minBad && likelihood.IsUnlikely(c.bad, c.all, c.expected, c.maxP)
}

func (c *comparison) String() string {
	return fmt.Sprintf("%d of %d %s, %.1f expected", c.bad, c.all, c.fault.name, c.expected*float64(c.all))
}

// compare returns the comparisons of the VMs' evidence, for each fault over the whole
// trial and over the last seconds.
func compare(vms []Evidence) (comparisons []comparison) {
	whole, recent := make([]VersionCounts, 0, len(vms)), make([]VersionCounts, 0, len(vms))
	for i := range vms {
		whole = append(whole, vms[i].Whole)
		recent = append(recent, vms[i].Recent)
	}
	for i := range faults {
		ofWhole, ofRecent := faults[i].compare(whole), faults[i].compare(recent)
		ofRecent.expected = max(ofRecent.expected, ofWhole.expected)
		ofRecent.maxP = recentDoubtMaxP
		ofRecent.windows = max(float64(ofWhole.all)/float64(max(ofRecent.all, minWindowAnswers)), 1)
		comparisons = append(comparisons, ofWhole, ofRecent)
	}
	return comparisons
}

// compare compares the counts of the VMs. Each VM's requests on the new version are
// expected to be as bad as its requests on the old one: a VM that has lost its links sees
// both badly, and must not hide what others see.
func (f *fault) compare(vms []VersionCounts) comparison {
	c := comparison{fault: f, windows: 1, maxP: doubtMaxP}
	var old VersionCounts
	for i := range vms {
		old.Add(&vms[i])
	}
	rateOfAll := float64(f.bad(&old.Old)) / float64(max(f.all(&old.Old), 1))
	var expected float64
	for i := range vms {
		ofNew, ofOld := &vms[i].New, &vms[i].Old
		c.bad += int64(f.bad(ofNew))
		c.all += int64(f.all(ofNew))
		rate := (float64(f.bad(ofOld)) + ownAnswers*rateOfAll) / float64(f.all(ofOld)+ownAnswers)
		expected += rate * float64(f.all(ofNew))
	}
	c.expected = max(f.tolerated, expected/float64(max(c.all, 1)))
	return c
}

// firstThat returns the description of the first comparison for which holds returns true,
// or "".
func firstThat(comparisons []comparison, holds func(c *comparison) bool) string {
	for i := range comparisons {
		if holds(&comparisons[i]) {
			return comparisons[i].String()
		}
	}
	return ""
}
