package roster

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/pack"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// wordLimits is how many times as old as a state a word may be: it comes over one
	// or two relays.
	wordLimits = 2
	// runningAge is how old a relay's sum of what its region runs may be.
	runningAge = 250 * clock.Millis(1)
)

// RegionReport is what a relay says of the VMs of its region.
type RegionReport struct {
	Region, Author string
	Version        ReportVersion
	// Age is how long ago the author said so.
	Age clock.Millis
	// VMs is sorted by name. It is left out if the peer knows this version.
	VMs []VMStatus
}

// ReportVersion tells words of an author apart.
type ReportVersion struct {
	Run    vm.Incarnation
	Number int64
}

// VMStatus is a VM in a relay's word.
type VMStatus struct {
	ID vm.ID
	// Heard says that the relay heard the VM lately.
	Heard, Ready, Stopping, Contact bool
}

// told is a word and when its author said so, by this VM's clock.
type told struct {
	word RegionReport
	at   clock.Millis
}

// view is a summary of what is known. It does not change.
type view struct {
	at clock.Millis
	// vms holds the VMs that were ever heard, and not yet forgotten, without this one.
	vms map[string]VMStatus
	// relays names the relays by region.
	relays map[string][]string
}

// view returns the summary of what was heard. Callers hold mu.
func (r *Roster) view(self *State) *view {
	now := r.Clock.Now()
	if r.seen != nil && now-r.seen.at < viewAge {
		return r.seen
	}
	seen := &view{at: now, vms: map[string]VMStatus{}}
	for name, h := range r.heard {
		if now-h.at < forgottenAfter {
			seen.vms[name] = briefOf(&h.state, now-h.at <= r.lostAfter())
		}
	}
	for _, told := range r.newestWords(forgottenAfter) {
		isFresh := now-told.at <= wordLimits*r.lostAfter()
		for _, brief := range told.word.VMs {
			brief.Heard = brief.Heard && isFresh
			known, found := seen.vms[brief.ID.Name]
			if brief.ID.Name != r.Self.Name && (!found || brief.knowsMore(&known)) {
				seen.vms[brief.ID.Name] = brief
			}
		}
	}
	if r.isLarge() {
		seen.relays = r.chooseRelays(seen.vms, self)
	}
	r.seen = seen
	return seen
}

func briefOf(state *State, isHeard bool) VMStatus {
	return VMStatus{ID: state.ID, Heard: isHeard, Ready: state.Ready, Stopping: state.Stopping, Contact: state.Contact}
}

// knowsMore says whether a word goes before what the VM itself told, or a newer
// word did: if it is of a later run, or its author hears the VM alone.
func (b *VMStatus) knowsMore(known *VMStatus) bool {
	if b.ID.Incarnation != known.ID.Incarnation {
		return b.ID.Incarnation > known.ID.Incarnation
	}
	return b.Heard && !known.Heard
}

// newestWords returns the words that are not older than a limit, the newest first.
// Callers hold mu.
func (r *Roster) newestWords(limit clock.Millis) []told {
	now := r.Clock.Now()
	words := make([]told, 0, len(r.words))
	for _, told := range r.words {
		if now-told.at <= limit {
			words = append(words, told)
		}
	}
	slices.SortFunc(words, func(a, b told) int {
		return cmp.Or(cmp.Compare(b.at, a.at), strings.Compare(a.word.Author, b.word.Author))
	})
	return words
}

// versions names the words that this VM knows and that a relay may send again.
// Callers hold mu.
func (r *Roster) versions() map[string]ReportVersion {
	versions := map[string]ReportVersion{}
	for _, told := range r.newestWords(wordLimits * r.lostAfter()) {
		versions[told.word.Author] = told.word.Version
	}
	return versions
}

// ownWord returns this VM's word as a relay, which each VM of the region asks for.
// Callers hold mu.
func (r *Roster) ownWord(self *State) RegionReport {
	now := r.Clock.Now()
	if r.own.VMs != nil && now-r.ownAt < viewAge {
		return r.own
	}
	vms := []VMStatus{briefOf(self, true)}
	for _, h := range r.heard {
		if h.state.VM.Region == r.Self.Region && now-h.at < forgottenAfter {
			vms = append(vms, briefOf(&h.state, now-h.at <= r.lostAfter()))
		}
	}
	slices.SortFunc(vms, func(a, b VMStatus) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	r.ownAt = now
	if !slices.Equal(vms, r.own.VMs) {
		number := r.own.Version.Number + 1
		r.own = RegionReport{Region: r.Self.Region, Author: r.Self.Name, Version: ReportVersion{self.ID.Incarnation, number}, VMs: vms}
	}
	return r.own
}

// addWords adds to state what a relay tells a peer. Callers hold mu.
func (r *Roster) addWords(state *State, peer string) {
	known, region := r.heard[peer].state, r.listed[peer].Region
	relays := r.view(state).relays
	state.Words = r.wordsFor(state, region, known.Versions)
	state.Regions = r.regionEvidence(region)
	if region != r.Self.Region {
		r.addSum(state, peer)
		state.Away = nil
		return
	}
	if slices.Contains(relays[region], peer) {
		// Relays of a region hear its VMs themselves.
		return
	}
	// The peer tells nothing of others.
	state.Versions = nil
	if known.WantsRunning {
		state.RegionRunning = r.packRunning(state.Running)
	} else {
		state.Away = nil
	}
	r.addSum(state, peer)
}

// addSum puts the evidence of this VM's region in the place of its own. Callers hold
// mu.
func (r *Roster) addSum(state *State, peer string) {
	state.Regions[r.Self.Region] = r.ownEvidence(state.Trials, peer)
	state.Trials, state.Running = nil, nil
}

// wordsFor returns this VM's word and those that it passes on to a region: those of
// relays elsewhere. The peer hears the relays of its region itself, and where VMs
// start together, many take themselves for relays at first. Callers hold mu.
func (r *Roster) wordsFor(self *State, region string, known map[string]ReportVersion) []RegionReport {
	now := r.Clock.Now()
	relays := r.view(self).relays
	words := []RegionReport{r.ownWord(self)}
	for _, told := range r.newestWords(wordLimits * r.lostAfter()) {
		word := told.word
		if word.Region == region || word.Region == r.Self.Region || !slices.Contains(relays[word.Region], word.Author) {
			continue
		}
		word.Age = now - told.at
		words = append(words, word)
	}
	for i := range words {
		if known[words[i].Author] == words[i].Version {
			words[i].VMs = nil
		}
	}
	return words
}

// takeWords takes over what a relay told.
func (r *Roster) takeWords(state *State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.words == nil {
		r.words, r.evidence = map[string]told{}, map[string]map[string]canary.Evidence{}
	}
	for _, word := range state.Words {
		r.takeWord(word, now)
	}
	maps.DeleteFunc(r.words, func(_ string, told told) bool { return now-told.at > forgottenAfter })
	for region, evidence := range state.Regions {
		if region != r.Self.Region {
			r.evidence[region] = evidence
		}
	}
	if len(state.RegionRunning) > 0 {
		r.takeRunning(state.RegionRunning, now)
	}
}

// takeRunning takes over what the region's VMs run, without this one's part. Callers
// hold mu.
func (r *Roster) takeRunning(packed []byte, now clock.Millis) {
	running := map[string]int{}
	if err := pack.Decode(packed, &running); err != nil {
		if r.Log != nil {
			r.Log.WithError(err).Warn("reading what the region runs failed")
		}
		return
	}
	for id, own := range r.toldRunning {
		if running[id] -= own; running[id] <= 0 {
			delete(running, id)
		}
	}
	r.regionRunning, r.regionRunningAt = running, now
}

func (r *Roster) takeWord(word RegionReport, now clock.Millis) {
	last, found := r.words[word.Author]
	at := now - word.Age
	if word.Author == r.Self.Name || found && last.at > at {
		return
	}
	isKnown := found && last.word.Version == word.Version
	if !isKnown && len(word.VMs) == 0 {
		// It was left out for an earlier run of this VM, and comes when the author
		// has heard what this one knows.
		return
	}
	if isKnown {
		word.VMs = last.word.VMs
	} else {
		r.seen = nil
	}
	r.words[word.Author] = told{word, at}
}

// regionEvidence returns what was told of the evidence of other regions than this
// VM's and a peer's. Callers hold mu.
func (r *Roster) regionEvidence(peers string) map[string]map[string]canary.Evidence {
	regions := map[string]map[string]canary.Evidence{}
	for region, evidence := range r.evidence {
		if region != peers {
			regions[region] = evidence
		}
	}
	return regions
}

// ownEvidence returns the evidence of this VM's region but for a peer's. Callers
// hold mu.
func (r *Roster) ownEvidence(own map[string]canary.Evidence, peer string) map[string]canary.Evidence {
	sums := []map[string]canary.Evidence{own}
	for _, h := range r.near(peer) {
		sums = append(sums, h.state.Trials)
	}
	return canary.MergeEvidence(sums)
}

// packRunning returns how many requests the VMs of the region run on each endpoint.
// Callers hold mu.
func (r *Roster) packRunning(own map[string]int) []byte {
	now := r.Clock.Now()
	if r.packedRunning != nil && now-r.packedRunningAt < runningAge {
		return r.packedRunning
	}
	running := map[string]int{}
	for id, count := range own {
		running[id] += count
	}
	for _, h := range r.near("") {
		for id, count := range h.state.Running {
			running[id] += count
		}
	}
	packed, err := pack.Encode(running)
	if err != nil {
		if r.Log != nil {
			r.Log.WithError(err).Warn("telling what the region runs failed")
		}
		return nil
	}
	r.packedRunning, r.packedRunningAt = packed, now
	return packed
}

// near returns the states of this VM's region that were told lately, but for one
// VM's. Callers hold mu.
func (r *Roster) near(except string) (near []hearing) {
	now := r.Clock.Now()
	for name, h := range r.heard {
		if name != except && h.state.VM.Region == r.Self.Region && now-h.at <= r.lostAfter() {
			near = append(near, h)
		}
	}
	return near
}
