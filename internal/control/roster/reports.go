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
	// reportAgeFactor times lostAfter is the age up to which a report is used and
	// passed on. It is more than lostAfter, because a report reaches a VM through one
	// or two relays.
	reportAgeFactor = 2
	// packedRunningMaxAge is the maximum age of the cached sum that a relay sends of
	// the requests its region has in flight.
	packedRunningMaxAge = 250 * clock.Millis(1)
)

// RegionReport is a relay's report on the VMs of its own region. Relays of other
// regions pass it on unchanged.
type RegionReport struct {
	Region, Author string
	Version        ReportVersion
	// Age is the time since the author wrote the report.
	Age clock.Millis
	// VMs is sorted by name. It is left out if the peer already has this version.
	VMs []VMStatus
}

// ReportVersion identifies a report among those of the same author.
type ReportVersion struct {
	Run    vm.Incarnation
	Number int64
}

// VMStatus is the status of one VM in a report.
type VMStatus struct {
	ID vm.ID
	// Heard is set if the relay's last exchange with the VM is recent enough that the
	// VM does not count as lost. The other fields repeat those of the VM's State.
	Heard, Ready, Stopping, Contact, CutOff bool
}

// receivedReport is a report and the time at which its author wrote it, by this VM's
// clock.
type receivedReport struct {
	report    RegionReport
	writtenAt clock.Millis
}

// fleetView is an immutable summary of the known VMs and relays.
type fleetView struct {
	at clock.Millis
	// vms holds every other VM whose state was received less than forgetAfter ago,
	// here or by a relay.
	vms map[string]VMStatus
	// relays lists the names of the relays of each region. It is nil in a full mesh.
	relays map[string][]string
}

// currentView returns the summary, rebuilt if the cached one is older than
// cacheMaxAge. The caller must hold mu.
func (r *Roster) currentView(self *State) *fleetView {
	now := r.Clock.Now()
	if r.cachedView != nil && now-r.cachedView.at < cacheMaxAge {
		return r.cachedView
	}
	built := &fleetView{at: now, vms: map[string]VMStatus{}}
	for name, peer := range r.peerStates {
		if now-peer.receivedAt < forgetAfter {
			built.vms[name] = statusOf(&peer.state, now-peer.receivedAt <= r.lostAfter())
		}
	}
	for _, received := range r.recentReports(forgetAfter) {
		isFresh := now-received.writtenAt <= reportAgeFactor*r.lostAfter()
		for _, status := range received.report.VMs {
			status.Heard = status.Heard && isFresh
			known, found := built.vms[status.ID.Name]
			if status.ID.Name != r.Self.Name && (!found || status.supersedes(&known)) {
				built.vms[status.ID.Name] = status
			}
		}
	}
	if r.usesRelays() {
		built.relays = r.chooseRelays(built.vms, self)
	}
	r.cachedView = built
	return built
}

func statusOf(state *State, isReachable bool) VMStatus {
	return VMStatus{ID: state.ID, Heard: isReachable, Ready: state.Ready, Stopping: state.Stopping, Contact: state.Contact, CutOff: state.CutOff}
}

// supersedes reports whether a relay's status replaces the known status: it does if
// it is of a later incarnation of the VM, or if the VM is reachable by the relay's
// status and not by the known one. Otherwise the VM's own state, or the newer report,
// takes precedence.
func (s *VMStatus) supersedes(known *VMStatus) bool {
	if s.ID.Incarnation != known.ID.Incarnation {
		return s.ID.Incarnation > known.ID.Incarnation
	}
	return s.Heard && !known.Heard
}

// recentReports returns the reports that are not older than maxAge, newest first. The
// caller must hold mu.
func (r *Roster) recentReports(maxAge clock.Millis) []receivedReport {
	now := r.Clock.Now()
	reports := make([]receivedReport, 0, len(r.reports))
	for _, received := range r.reports {
		if now-received.writtenAt <= maxAge {
			reports = append(reports, received)
		}
	}
	slices.SortFunc(reports, func(a, b receivedReport) int {
		return cmp.Or(cmp.Compare(b.writtenAt, a.writtenAt), strings.Compare(a.report.Author, b.report.Author))
	})
	return reports
}

// knownVersions returns the version of each report that this VM has and that a relay
// may still send, by author. The caller must hold mu.
func (r *Roster) knownVersions() map[string]ReportVersion {
	versions := map[string]ReportVersion{}
	for _, received := range r.recentReports(reportAgeFactor * r.lostAfter()) {
		versions[received.report.Author] = received.report.Version
	}
	return versions
}

// currentReport returns this VM's own report on its region. Every VM of the region
// requests it, so it is cached for cacheMaxAge. The caller must hold mu.
func (r *Roster) currentReport(self *State) RegionReport {
	now := r.Clock.Now()
	if r.ownReport.VMs != nil && now-r.ownReportAt < cacheMaxAge {
		return r.ownReport
	}
	vms := []VMStatus{statusOf(self, true)}
	for _, peer := range r.peerStates {
		if peer.state.VM.Region == r.Self.Region && now-peer.receivedAt < forgetAfter {
			vms = append(vms, statusOf(&peer.state, now-peer.receivedAt <= r.lostAfter()))
		}
	}
	slices.SortFunc(vms, func(a, b VMStatus) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	r.ownReportAt = now
	if !slices.Equal(vms, r.ownReport.VMs) {
		number := r.ownReport.Version.Number + 1
		r.ownReport = RegionReport{Region: r.Self.Region, Author: r.Self.Name, Version: ReportVersion{self.ID.Incarnation, number}, VMs: vms}
	}
	return r.ownReport
}

// addRelayFields fills the fields of state that only a relay sends to a peer, and
// clears those that the peer does not need. The caller must hold mu.
func (r *Roster) addRelayFields(state *State, peer string) {
	known, region := r.peerStates[peer].state, r.registered[peer].Region
	relays := r.currentView(state).relays
	state.Words = r.reportsFor(state, region, known.Versions)
	state.Regions = r.evidenceExcept(region)
	if region != r.Self.Region {
		r.addRegionEvidence(state, peer)
		state.Away = nil
		return
	}
	if slices.Contains(relays[region], peer) {
		// Relays of the same region exchange states with its VMs directly.
		return
	}
	// The peer is not a relay and passes no reports on.
	state.Versions = nil
	if known.WantsRunning {
		state.RegionRunning = r.packRegionRunning(state.Running)
	} else {
		state.Away = nil
	}
	r.addRegionEvidence(state, peer)
}

// addRegionEvidence replaces this VM's own evidence by the sum over its region. The
// caller must hold mu.
func (r *Roster) addRegionEvidence(state *State, peer string) {
	state.Regions[r.Self.Region] = r.sumOwnRegionEvidence(state.Trials, peer)
	state.Trials, state.Running = nil, nil
}

// reportsFor returns this VM's report and the reports of other regions' relays that
// it passes on to a VM in region. Reports of the peer's own region are left out, as
// the peer exchanges states with its relays directly. Only reports of VMs that this
// VM considers relays are passed on: while VMs start together, many of them consider
// themselves relays at first. The caller must hold mu.
func (r *Roster) reportsFor(self *State, region string, known map[string]ReportVersion) []RegionReport {
	now := r.Clock.Now()
	relays := r.currentView(self).relays
	reports := []RegionReport{r.currentReport(self)}
	for _, received := range r.recentReports(reportAgeFactor * r.lostAfter()) {
		report := received.report
		if report.Region == region || report.Region == r.Self.Region || !slices.Contains(relays[report.Region], report.Author) {
			continue
		}
		report.Age = now - received.writtenAt
		reports = append(reports, report)
	}
	for i := range reports {
		if known[reports[i].Author] == reports[i].Version {
			reports[i].VMs = nil
		}
	}
	return reports
}

// applyRelayFields stores the reports, evidence and request counts that a relay sent.
func (r *Roster) applyRelayFields(state *State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.reports == nil {
		r.reports, r.evidence = map[string]receivedReport{}, map[string]map[string]canary.Evidence{}
	}
	for _, report := range state.Words {
		r.applyReport(report, now)
	}
	maps.DeleteFunc(r.reports, func(_ string, received receivedReport) bool { return now-received.writtenAt > forgetAfter })
	for region, evidence := range state.Regions {
		if region != r.Self.Region {
			r.evidence[region] = evidence
		}
	}
	if len(state.RegionRunning) > 0 {
		r.applyRegionRunning(state.RegionRunning, now)
	}
}

// applyRegionRunning stores the number of requests in flight in the region, less the
// part that this VM reported itself. The caller must hold mu.
func (r *Roster) applyRegionRunning(packed []byte, now clock.Millis) {
	running := map[string]int{}
	if err := pack.Decode(packed, &running); err != nil {
		if r.Log != nil {
			r.Log.WithError(err).Warn("unpacking the region's requests in flight failed; keeping the last counts")
		}
		return
	}
	for id, sent := range r.sentRunning {
		if running[id] -= sent; running[id] <= 0 {
			delete(running, id)
		}
	}
	r.regionRunning, r.regionRunningAt = running, now
}

// applyReport stores a report unless the known report of its author is newer. The
// caller must hold mu.
func (r *Roster) applyReport(report RegionReport, now clock.Millis) {
	last, found := r.reports[report.Author]
	at := now - report.Age
	if report.Author == r.Self.Name || found && last.writtenAt > at {
		return
	}
	isKnown := found && last.report.Version == report.Version
	if !isKnown && len(report.VMs) == 0 {
		// The author left the VMs out because an earlier incarnation of this VM had
		// them. It sends them once it has received the versions that this incarnation
		// has.
		return
	}
	if isKnown {
		report.VMs = last.report.VMs
	} else {
		r.cachedView = nil
	}
	r.reports[report.Author] = receivedReport{report, at}
}

// evidenceExcept returns the evidence received for other regions, without this VM's
// region and the excluded one. The caller must hold mu.
func (r *Roster) evidenceExcept(excluded string) map[string]map[string]canary.Evidence {
	regions := map[string]map[string]canary.Evidence{}
	for region, evidence := range r.evidence {
		if region != excluded {
			regions[region] = evidence
		}
	}
	return regions
}

// sumOwnRegionEvidence returns the sum of this VM's own evidence, given by self, and
// that of the other VMs of its region except one peer. The caller must hold mu.
func (r *Roster) sumOwnRegionEvidence(self map[string]canary.Evidence, peer string) map[string]canary.Evidence {
	sums := []map[string]canary.Evidence{self}
	for _, other := range r.regionPeers(peer) {
		sums = append(sums, other.state.Trials)
	}
	return canary.MergeEvidence(sums)
}

// packRegionRunning returns the packed number of requests that the region's VMs have
// in flight on each endpoint, or nil if packing failed. self holds those of this VM.
// The caller must hold mu.
func (r *Roster) packRegionRunning(self map[string]int) []byte {
	now := r.Clock.Now()
	if r.packedRunning != nil && now-r.packedRunningAt < packedRunningMaxAge {
		return r.packedRunning
	}
	running := map[string]int{}
	for id, count := range self {
		running[id] += count
	}
	for _, peer := range r.regionPeers("") {
		for id, count := range peer.state.Running {
			running[id] += count
		}
	}
	packed, err := pack.Encode(running)
	if err != nil {
		if r.Log != nil {
			r.Log.WithError(err).Warn("packing the region's requests in flight failed; sending none")
		}
		return nil
	}
	r.packedRunning, r.packedRunningAt = packed, now
	return packed
}

// regionPeers returns the recent states received from VMs of this VM's region, except
// one. The caller must hold mu.
func (r *Roster) regionPeers(except string) (peers []peerState) {
	now := r.Clock.Now()
	for name, peer := range r.peerStates {
		if name != except && peer.state.VM.Region == r.Self.Region && now-peer.receivedAt <= r.lostAfter() {
			peers = append(peers, peer)
		}
	}
	return peers
}
