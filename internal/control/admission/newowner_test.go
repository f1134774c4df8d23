package admission_test

import (
	"context"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Guards against a limit that is exceeded because an owner that is cut off, and has heard no
// other VM since it began to own the bucket, grants their shares to itself.
func TestLimitHoldsWhileANewOwnerIsCutOff(t *testing.T) {
	const rate = 60
	for name, begin := range map[string]func(f *cutFleet){
		"before its first report": func(f *cutFleet) { f.cut(0) },
		"while it starts again":   func(f *cutFleet) { f.cut(0); f.startAgain(0, rate/1.6) },
		"after it started again":  func(f *cutFleet) { f.startAgain(0, 0); f.cut(0) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newCutFleet(5, rate)
			begin(f)
			f.run(noticeTime, 5*rate)
			delete(f.mesh.Isolated, vmName(0))
			f.cut(0)
			f.run(noticeTime+clock.Second, 5*rate)
			f.expectWithinBound(t)
		})
	}
}

// What callers ask below their limit is lost for nothing if a new owner that gets all requests
// itself, and exchanges messages with its peers, keeps to its share.
func TestRequestsBelowTheLimitAreAdmittedAtANewOwnerInContact(t *testing.T) {
	const rate, duration = 60, 8 * clock.Second
	f := newCutFleet(5, rate)
	owner, due, admitted := f.vms[0], 0.0, 0
	for now := clock.Millis(0); now < duration; now += tick {
		if now%(clock.Second/2) == 0 {
			owner.RecordContact()
		}
		for due += rate / 1.6 * float64(tick) / float64(clock.Second); due >= 1; due-- {
			if _, ok := owner.Admit(context.Background(), f.workspace); ok {
				admitted++
			}
		}
		if now%(clock.Second/4) == 0 {
			owner.ReportNow(context.Background())
		}
		f.manual.Advance(tick)
	}
	if asked := rate / 1.6 * float64(duration) / float64(clock.Second); float64(admitted) < 0.95*asked {
		t.Errorf("%d of %.0f requests were admitted", admitted, asked)
	}
}
