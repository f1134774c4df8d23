package quota

import (
	"math"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// strictBelow and freeAbove are the parts of a burst left at which an owner
	// begins to hand out tokens one by one, and at which it stops.
	strictBelow = 0.6
	freeAbove   = 0.9
	// freeDemand is the part of a rate above which the owner stays strict.
	freeDemand = 0.75
	// ownerSpan smooths the demand that an owner sees.
	ownerSpan = 1 * clock.Second
	// strictSpan is how long a workspace that nobody asks for is told to be strict.
	strictSpan = 2 * clock.Second
	// startPart is the part of a burst that a new owner begins with: the one before
	// may have given the rest.
	startPart = 0.3
)

// Usage is what a VM reports of one workspace.
type Usage struct {
	// Used is how many requests it admitted since its last report.
	Used float64
	// Want is how many tokens it asks for.
	Want float64
}

// Grant is an owner's reply for one workspace.
type Grant struct {
	// Strict says that the VM may admit only what it has tokens for.
	Strict bool
	// Tokens is how many requests the VM may admit.
	Tokens float64
	// Wait is when more may be asked for.
	Wait clock.Millis
}

// Owner holds the buckets of the workspaces that this VM answers for. It goes
// into debt by what VMs admitted before they heard that they must ask, and gives
// nothing until the debt is paid, so that only one reporting interval's excess
// adds to the limit. Its zero value is ready.
type Owner struct {
	Clock clock.Clock
	// IsPassing, when set, says that owners change often, each having given a part of
	// a burst: a new one begins with nothing then.
	IsOwnershipUnstable func() bool

	mu sync.Mutex
	// accounts holds one account for each workspace. Guarded by mu.
	accounts map[string]*account
}

type account struct {
	tokens float64
	// demand is the smoothed number of requests a second.
	demand   float64
	at       clock.Millis
	isStrict bool
}

// Report takes over a VM's usage and returns what it may admit. part is the part
// of the limit that VMs which this owner reaches may use.
func (o *Owner) Report(workspace *routing.Workspace, usage Usage, part float64) Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	rate, burst := workspace.Rate*part, max(workspace.Burst*part, 1)
	a := o.account(workspace.Name, burst)
	a.advance(o.Clock.Now(), rate, burst)
	a.tokens -= usage.Used
	a.demand += (usage.Used + usage.Want) * float64(clock.Second) / float64(ownerSpan)
	switch {
	case a.tokens < strictBelow*burst || a.demand > rate:
		a.isStrict = true
	case a.tokens > freeAbove*burst && a.demand < freeDemand*rate:
		a.isStrict = false
	}
	if !a.isStrict {
		return Grant{}
	}
	given := math.Floor(min(usage.Want, max(a.tokens, 0)))
	a.tokens -= given
	grant := Grant{Strict: true, Tokens: given}
	if given < 1 {
		grant.Wait = clock.Millis((1-a.tokens)/max(rate, 1e-3)*float64(clock.Second)) + 1
	}
	return grant
}

// FillBurst gives a workspace its whole burst, unless it was already asked for. It is for
// an owner at the first start of the system, when nobody can have used any of it.
func (o *Owner) FillBurst(workspace *routing.Workspace) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accounts[workspace.Name] == nil {
		a := o.account(workspace.Name, workspace.Burst)
		a.tokens, a.isStrict = workspace.Burst, false
	}
}

func (o *Owner) account(name string, burst float64) *account {
	if o.accounts == nil {
		o.accounts = map[string]*account{}
	}
	a := o.accounts[name]
	if a == nil {
		a = &account{tokens: startPart * burst, at: o.Clock.Now(), isStrict: true}
		if o.IsOwnershipUnstable != nil && o.IsOwnershipUnstable() {
			a.tokens = 0
		}
		o.accounts[name] = a
	}
	return a
}

// advance adds the tokens of the time that passed.
func (a *account) advance(now clock.Millis, rate, burst float64) {
	elapsed := float64(now - a.at)
	a.at = now
	a.tokens = min(a.tokens+elapsed/float64(clock.Second)*rate, burst)
	a.demand *= math.Exp(-elapsed / float64(ownerSpan))
}

// StrictWorkspaces lists the workspaces for which VMs must ask, sorted.
func (o *Owner) StrictWorkspaces() (names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	for name, a := range o.accounts {
		if a.isStrict && now-a.at < strictSpan {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
