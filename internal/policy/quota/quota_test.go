package quota_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// The bound on admissions in any window, as required by the users: what rate and burst
// allow, times overage, plus slack.
const (
	window  = 5 * clock.Second
	overage = 1.1
	slack   = 20
)

// alone is what an owner reaches that is the only VM.
var alone = quota.Reach{Fraction: 1, Share: 1}

func maxAdmissions(workspace *routing.Workspace) float64 {
	return (workspace.Rate*float64(window)/float64(clock.Second)+workspace.Burst)*overage + slack
}

// maxInWindow returns the largest number of admissions in any window.
func maxInWindow(admitted []clock.Millis) (most int) {
	first := 0
	for at := range admitted {
		for admitted[at]-admitted[first] >= window {
			first++
		}
		most = max(most, at-first+1)
	}
	return most
}

func TestSharesOfAllVMsTogetherRespectLimit(t *testing.T) {
	for _, vms := range []int{1, 8, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			g := NewWithT(t)
			manual := &clock.Manual{}
			workspace := &routing.Workspace{Name: "w", Rate: 40, Burst: 40}
			var limiters []*quota.Limiter
			for range vms {
				limiters = append(limiters, &quota.Limiter{Clock: manual.Clock()})
			}
			var admitted []clock.Millis
			for now := clock.Millis(0); now < 20*clock.Second; now += 10 {
				for i, limiter := range limiters {
					limiter.SetPeers(vms - 1)
					// The demand moves from VM to VM and is five times the rate.
					if (int(now/clock.Second)+i)%vms < max(vms/4, 1) {
						for range max(8/vms, 1) {
							limiter.Observe(workspace)
							if _, ok := limiter.Admit(workspace); ok {
								admitted = append(admitted, now)
							}
						}
					}
				}
				manual.Advance(10)
			}
			g.Expect(float64(maxInWindow(admitted))).To(BeNumerically("<=", maxAdmissions(workspace)))
		})
	}
}

func TestRefusalReportsWhenTokenIsAvailable(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	limiter := &quota.Limiter{Clock: manual.Clock()}
	workspace := &routing.Workspace{Name: "w", Rate: 10, Burst: 2}
	for range 2 {
		_, ok := limiter.Admit(workspace)
		g.Expect(ok).To(BeTrue())
	}
	wait, ok := limiter.Admit(workspace)
	g.Expect(ok).To(BeFalse())
	manual.Advance(wait)
	_, ok = limiter.Admit(workspace)
	g.Expect(ok).To(BeTrue())
}

func TestWorkspaceWithoutRateIsUnlimited(t *testing.T) {
	g := NewWithT(t)
	limiter := &quota.Limiter{}
	for range 1000 {
		_, ok := limiter.Admit(&routing.Workspace{Name: "w"})
		g.Expect(ok).To(BeTrue())
	}
	_, ok := limiter.Admit(nil)
	g.Expect(ok).To(BeTrue())
}

// A workspace that suddenly sends several times its rate must stay within the bound,
// although VMs learn only from the reply to their next report that they need tokens.
func TestOwnerLimitsSuddenLoad(t *testing.T) {
	for _, rate := range []float64{5, 20, 100} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			g := NewWithT(t)
			manual := &clock.Manual{}
			owner := &quota.Owner{Clock: manual.Clock()}
			workspace := &routing.Workspace{Name: "w", Rate: rate, Burst: rate}
			reach := quota.Reach{Fraction: 1, Share: 0.05}
			const (
				vms      = 20
				interval = 250
				step     = 5
			)
			type vm struct {
				used, refused float64
				grant         quota.Grant
			}
			var (
				all      [vms]vm
				admitted []clock.Millis
				due      float64
				arrivals int
			)
			for now := clock.Millis(0); now < 20*clock.Second; now += step {
				demand := rate / 1.6
				if now > 8*clock.Second {
					demand *= 7.5
				}
				for due += demand * step / 1000; due >= 1; due-- {
					arrivals++
					v := &all[arrivals*7%vms]
					if v.grant.Strict && v.grant.Tokens < 1 {
						v.grant = owner.Report(workspace, fmt.Sprint(arrivals*7%vms), quota.Usage{Used: v.used, Want: 1 + v.refused}, reach)
						v.used, v.refused = 0, 0
					}
					switch {
					case !v.grant.Strict:
						v.used++
						admitted = append(admitted, now)
					case v.grant.Tokens >= 1:
						v.grant.Tokens--
						admitted = append(admitted, now)
					default:
						v.refused++
					}
				}
				for i := range all {
					if v := &all[i]; (now+clock.Millis(i)*step)%interval == 0 {
						unused := v.grant.Tokens
						v.grant = owner.Report(workspace, fmt.Sprint(i), quota.Usage{Used: v.used - unused, Want: v.refused}, reach)
						v.used, v.refused = 0, 0
					}
				}
				manual.Advance(step)
			}
			g.Expect(float64(maxInWindow(admitted))).To(BeNumerically("<=", maxAdmissions(workspace)))
			g.Expect(len(admitted)).To(BeNumerically(">", int(rate*10)), "a workspace over its limit must still get its rate")
		})
	}
}

func TestNewOwnerDoesNotGrantFullBurst(t *testing.T) {
	g := NewWithT(t)
	workspace := &routing.Workspace{Name: "w", Rate: 10, Burst: 100}
	grant := (&quota.Owner{}).Report(workspace, "vm", quota.Usage{Want: 1000}, alone)
	g.Expect(grant.Strict).To(BeTrue())
	g.Expect(grant.Tokens).To(BeNumerically("<", 50))
}

// After 86 VMs had lost power, a workspace had six owners within five seconds, and each
// of them granted a part of the burst.
func TestSuccessiveOwnersGrantNoBurst(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	workspace := &routing.Workspace{Name: "w", Rate: 10, Burst: 100}
	granted := 0.0
	for range 6 {
		owner := &quota.Owner{Clock: manual.Clock(), IsOwnershipUnstable: func() bool { return true }}
		for range 4 {
			granted += owner.Report(workspace, "vm", quota.Usage{Want: 1000}, alone).Tokens
			manual.Advance(250)
		}
	}
	g.Expect(granted).To(BeNumerically("<=", 6*workspace.Rate))
	g.Expect(granted).To(BeNumerically(">", 0))
}

// Requests within the rate were refused in the first seconds of a new system, because
// the buckets of its owners were not full.
func TestFillBurstGrantsFullBurstAtFirstStart(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	owner := &quota.Owner{Clock: manual.Clock()}
	workspace := &routing.Workspace{Name: "w", Rate: 10, Burst: 20}
	owner.FillBurst(workspace)
	g.Expect(owner.Report(workspace, "vm", quota.Usage{Used: 1}, alone).Strict).To(BeFalse(), "far below the limit VMs must not need tokens")
	granted := owner.Report(workspace, "vm", quota.Usage{Used: 14, Want: 100}, alone).Tokens
	g.Expect(granted).To(BeNumerically("==", 5), "the owner must grant only what is left of the burst")

	owner.FillBurst(workspace)
	g.Expect(owner.Report(workspace, "vm", quota.Usage{Want: 100}, alone).Tokens).To(BeZero(), "FillBurst must not refill a bucket in use")
}

func TestOwnerThatReachesHalfOfVMsGrantsHalf(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	owner := &quota.Owner{Clock: manual.Clock()}
	workspace := &routing.Workspace{Name: "w", Rate: 100, Burst: 100}
	granted := 0.0
	for range 100 {
		granted += owner.Report(workspace, "vm", quota.Usage{Want: 50}, quota.Reach{Fraction: 0.5, Share: 0.1}).Tokens
		manual.Advance(100)
	}
	g.Expect(granted).To(BeNumerically("<=", 0.5*(100*10+100)))
}

// Guards against VMs that have just started and admit the whole rate each, as they do not know
// yet that there are others.
func TestVMThatDoesNotKnowItsPeersHasNoShare(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	limiter := &quota.Limiter{Clock: manual.Clock(), NeedsPeers: true}
	workspace := &routing.Workspace{Name: "w", Rate: 500, Burst: 500}
	admit := func() (admitted int) {
		for range 100 {
			if wait, ok := limiter.Admit(workspace); ok {
				admitted++
			} else {
				g.Expect(wait).To(BeNumerically("<=", clock.Second))
			}
			manual.Advance(10)
		}
		return admitted
	}
	g.Expect(admit()).To(BeNumerically("<=", 2))
	limiter.SetPeers(49)
	g.Expect(admit()).To(BeNumerically("~", 10, 2), "its share is a fiftieth")
}
