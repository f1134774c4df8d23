package admission_test

import (
	"context"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/control/admission"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// relayCount is how many VMs of a large fleet may own buckets.
const relayCount = 9

// startAllAgain starts all VMs again after half a second. Each learns at times of its own
// which of the others may own buckets: those themselves within 1 s, the rest within 3 s. The
// callers' requests go on.
func (f *cutFleet) startAllAgain(demand float64) {
	count := len(f.vms)
	for i := range count {
		f.stop(i)
	}
	f.run(downTime/2, demand)
	startedAt := f.manual.Clock().Now()
	for i := range count {
		f.start(i, count)
		self, slowest := vmName(i), 3*clock.Second
		if i < relayCount {
			slowest = clock.Second
		}
		f.vms[i].OwnerOf = func(string) (owner vm.VM, known bool) {
			var highest uint64
			for j := range relayCount {
				other := vmName(j)
				learnsAfter := clock.Millis(hashing.Strings(self, other) % uint64(slowest))
				if other != self && f.manual.Clock().Now()-startedAt < learnsAfter {
					continue
				}
				if score := hashing.Strings("w", other); score > highest {
					owner, highest, known = vm.VM{Name: other, PeerAddress: other}, score, true
				}
			}
			return owner, known
		}
	}
}

// Guards against a limit that is exceeded after all VMs have started again: several of them
// granted the whole rate, each to the VMs that took it for the owner.
func TestLimitHoldsAfterAllVMsStartAgain(t *testing.T) {
	for _, rate := range []float64{20, 60, 507} {
		for _, hot := range []float64{1.5, 3} {
			f := newCutFleet(86, rate)
			f.run(3*clock.Second, hot*rate)
			f.startAllAgain(hot * rate)
			f.run(5*clock.Second, hot*rate)
			if excess := f.excess(); excess > 0 {
				t.Errorf("rate %v, %v times the rate asked: %.0f requests too many", rate, hot, excess)
			}
		}
	}
}

// What callers ask below their limit is lost for nothing if it is refused after a restart.
func TestRequestsBelowTheLimitAreAdmittedAfterAllVMsStartAgain(t *testing.T) {
	for _, rate := range []float64{60, 120, 507} {
		f := newCutFleet(86, rate)
		f.run(8*clock.Second, rate/1.6)
		f.startAllAgain(rate / 1.6)
		before := len(f.admitted)
		f.run(8*clock.Second, rate/1.6)
		if admitted := float64(len(f.admitted) - before); admitted < 0.95*8*rate/1.6 {
			t.Errorf("rate %v: %.0f of %.0f requests were admitted", rate, admitted, 8*rate/1.6)
		}
	}
}

// startAgain starts a VM again after downTime.
func (f *cutFleet) startAgain(i int, demand float64) {
	f.stop(i)
	f.run(downTime, demand)
	f.start(i, len(f.vms))
}

// Guards against a limit that is exceeded because an owner that was cut off, and replaced
// meanwhile, grants on its return what its bucket gained.
func TestLimitHoldsWhenAnOwnerReturns(t *testing.T) {
	const rate = 60
	t.Run("cut off as the demand is high", func(t *testing.T) {
		f := newCutFleet(5, rate)
		f.cut(0)
		f.run(39*tick, 5*rate)
		f.startAgain(1, 5*rate)
		f.startAgain(1, 5*rate)
		delete(f.mesh.Isolated, vmName(0))
		f.startAgain(1, 5*rate)
		f.startAgain(0, 5*rate)
		f.expectWithinBound(t)
	})
	t.Run("cut off with most VMs as the demand rises", func(t *testing.T) {
		f := newCutFleet(5, rate)
		f.run(clock.Second, 3*rate)
		f.startAgain(0, 3*rate)
		f.cut(0)
		f.startAgain(1, 5*rate)
		f.cut(1)
		f.cut(2)
		f.startAgain(1, 5*rate)
		f.run(15*tick, 5*rate)
		delete(f.mesh.Isolated, vmName(0))
		f.startAgain(3, 5*rate)
		f.expectWithinBound(t)
	})
}

func (f *cutFleet) expectWithinBound(t *testing.T) {
	t.Helper()
	if excess := f.excess(); excess > 0 {
		t.Errorf("%.0f requests too many", excess)
	}
}

// Guards against requests below the limit that are refused because the VM which sent a report
// on to the owner is strict about the workspace itself.
func TestOwnersGrantGoesBeforeAListOfStrictWorkspaces(t *testing.T) {
	f := newFleet(2, 20)
	f.mesh.Handlers["vm-0"] = func(_ string, _, reply any) error {
		*reply.(*admission.Reply) = admission.Reply{Grants: map[string]quota.Grant{"w": {}}, Strict: []string{"w"}}
		return nil
	}
	if _, ok := f.vms[1].Admit(context.Background(), f.workspace); !ok {
		t.Error("the request was refused")
	}
}
