package measure

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

// Result holds the figures of one run. Shares are between 0 and 1.
type Result struct {
	Firm     string `json:"firm"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Seconds  int    `json:"seconds"`
	Stretch  int    `json:"stretch"`
	// Latency covers all requests but uploads, Catalogue those to the catalogue
	// service, Orders the orders.
	Latency   Latency `json:"latency"`
	Catalogue Latency `json:"catalogue"`
	Orders    Latency `json:"orders"`
	// MinFreeSlotShare is the lowest share of free slots that a service had in a
	// region, averaged over a second, and MinFreeSlotGroup names service and region.
	// MinFreeLinkShare is the lowest share of free bandwidth that a link had in a
	// second since the start, and MinFreeLink names the link.
	MinFreeSlotShare float64 `json:"free_slots"`
	MinFreeSlotGroup string  `json:"free_slots_where"`
	MinFreeLinkShare float64 `json:"free_link"`
	MinFreeLink      string  `json:"free_link_where"`
	// OutageWorstShare is the served share of OutageWorstWorkspace, the worst-served
	// workspace among the requests sent during a region's outage. OutageShareBound is
	// the highest share of that service's load that the slots of the other regions
	// could serve. Both are -1 if the scenario has no outage of a region.
	OutageWorstShare     float64         `json:"lost_share"`
	OutageShareBound     float64         `json:"lost_bound"`
	OutageWorstWorkspace WorkspaceResult `json:"lost_worst"`
	// DrainMs is the time from the start of a data centre's drain until one of its
	// endpoints last ran a request, in milliseconds; -1 if nothing was drained.
	DrainMs clock.Millis `json:"drain_ms"`
	// WorstServedShare is the served share of WorstWorkspace, the workspace with the
	// lowest. RefusedWithinRate sums, over all workspaces, the refusals in excess of
	// the requests beyond the rate. PublicServedShare is the share of the public
	// look-ups (those without a key) that were answered in time.
	WorstServedShare  float64         `json:"worst_share"`
	WorstWorkspace    WorkspaceResult `json:"worst"`
	RefusedWithinRate int             `json:"refused_inside"`
	PublicServedShare float64         `json:"open_share"`
	// Sent counts the scored requests that completed, InTime those of them that were
	// answered within their deadline.
	Sent int `json:"sent"`
	// InTimeShares holds, for each second after the warm-up, the share of the
	// requests sent in it that were answered within their deadline.
	InTimeShares []float64 `json:"second_shares"`
	InTime       int       `json:"in_time"`
	UploadsSent  int       `json:"uploads_sent"`
	// UploadsStored counts uploads that an endpoint received completely.
	UploadsStored int `json:"uploads_kept"`
	OrdersSent    int `json:"orders_sent"`
	// OrdersDuplicated counts orders that ran more than once.
	OrdersDuplicated int `json:"orders_doubled"`
	// NewVersionRuns and NewVersionFailed count requests that ran or failed on the
	// new version. NewVersionShareAfterDeadline is the new version's share of the
	// catalogue requests that ran after the move's deadline; -1 if there were none
	// or the scenario has no version move.
	NewVersionRuns               int64   `json:"new_runs"`
	NewVersionFailed             int64   `json:"new_failed"`
	NewVersionShareAfterDeadline float64 `json:"new_share_after"`
	// PeakRetryShare is the highest share of retries among the requests that reached
	// endpoints in one second.
	PeakRetryShare float64 `json:"retry_share"`
	// Reasons counts the requests that were not answered, by outcome and reason.
	Reasons    map[string]int    `json:"reasons"`
	Workspaces []WorkspaceResult `json:"fates"`
	// Unfinished counts requests still in flight completionTimeout after the last one
	// was sent. Sent does not include them.
	Unfinished int64 `json:"unfinished"`
	// Cores is the CPU time of the whole process per second, in cores. TimerLagP99
	// is the 99th percentile of how late a timer fired, in microseconds. Both show
	// whether the machine itself was the bottleneck.
	Cores       float64 `json:"cores"`
	TimerLagP99 int64   `json:"timer_lag_p99_us"`
	// PeakStoreWrites is the highest number of writes to the store in one second,
	// and StoreOverBudget counts the calls over the store's budget, both since the start.
	PeakStoreWrites int   `json:"store_worst_writes"`
	StoreOverBudget int64 `json:"store_refused"`
	// Notes describes what failed in the steps of the scenario.
	Notes []string `json:"notes,omitempty"`
}

// score computes the figures of the requests sent after the warm-up. from and to
// bound the scored time.
func (r *run) score(from, to clock.Millis) *Result {
	r.samples.mu.Lock()
	defer r.samples.mu.Unlock()
	var completed []Sample
	for _, sample := range r.samples.completed {
		if sample.SendAtMicros >= int64(warmUpDuration)*1000 {
			completed = append(completed, sample)
		}
	}
	result := &Result{
		Firm: r.Firm, Scenario: r.Scenario, Policy: r.Policy, Seed: r.Seed, Seconds: int(r.ScoredDuration / clock.Second), Stretch: r.Stretch,
		Latency:        measureLatency(completed, func(s *Sample) bool { return s.Work != document.WorkUpload }),
		Catalogue:      measureLatency(completed, func(s *Sample) bool { return s.Service == catalogueNames[r.Firm] }),
		Orders:         measureLatency(completed, func(s *Sample) bool { return s.Work == document.WorkOrder }),
		PeakRetryShare: r.monitor.peakRetryShare(from, to), Reasons: countReasons(completed), Workspaces: workspaceResults(completed),
		Unfinished: r.samples.inFlight.Load(), TimerLagP99: r.monitor.timerLag.ValueAtQuantile(99), DrainMs: -1, Notes: r.notes,
	}
	result.MinFreeSlotShare, result.MinFreeSlotGroup = r.monitor.minFreeSlots(from, to)
	result.MinFreeLinkShare, result.MinFreeLink = r.minFreeLink()
	result.WorstWorkspace = worstWorkspace(result.Workspaces)
	result.WorstServedShare = result.WorstWorkspace.ServedShare()
	result.RefusedWithinRate = refusedWithinRate(result.Workspaces)
	if r.drainStartedAt >= 0 {
		result.DrainMs = r.monitor.lastBusyAt - r.drainStartedAt
	}
	r.scoreOutage(result, completed)
	r.scoreMove(result)
	r.countEndpointRecords(result, completed)
	result.InTimeShares = inTimeShares(completed)
	calls := r.firm.Store.CallCounts()
	result.PeakStoreWrites, result.StoreOverBudget = calls.MaxWritesPerSecond, calls.OverBudget
	return result
}

// scoreOutage computes the figures of the requests sent during a region's outage.
func (r *run) scoreOutage(result *Result, completed []Sample) {
	result.OutageWorstShare, result.OutageShareBound = -1, -1
	if r.outageEnd == 0 {
		return
	}
	from, to := int64(r.outageStart-r.start)*1000, int64(r.outageEnd-r.start)*1000
	var sent []Sample
	for _, sample := range completed {
		if sample.SendAtMicros >= from && sample.SendAtMicros < to {
			sent = append(sent, sample)
		}
	}
	result.OutageWorstWorkspace = worstWorkspace(workspaceResults(sent))
	result.OutageWorstShare = result.OutageWorstWorkspace.ServedShare()
	for _, service := range r.firm.CurrentServices() {
		if service.Name == result.OutageWorstWorkspace.Service {
			result.OutageShareBound = outageShareBound(service, r.outageRegion(), sent, r.serviceTimes()[service.Name], r.outageEnd-r.outageStart)
		}
	}
}

// outageShareBound returns an upper bound of the served share of a service during an
// outage of the given length: the number of requests that the slots outside the
// failed region can run, divided by the number sent within the workspaces' rates.
func outageShareBound(service *document.Service, failed string, sent []Sample, serviceTime, length clock.Millis) float64 {
	slots, within := 0, 0
	for _, endpoint := range service.Endpoints {
		if endpoint.Region != failed {
			slots += endpoint.Slots
		}
	}
	for i := range sent {
		if sent[i].Service == service.Name && sent[i].WithinRate {
			within++
		}
	}
	if within == 0 {
		return 1
	}
	return min(1, float64(slots)*float64(length)/float64(serviceTime)/float64(within))
}

// minFreeLink returns the lowest share of free bandwidth that any link had in any
// second since the start, and the link.
func (r *run) minFreeLink() (lowest float64, name string) {
	lowest = 1
	for _, traffic := range r.firm.Network.Traffic() {
		link := r.firm.Fleet.Link(traffic.From, traffic.To)
		if link == nil {
			continue
		}
		if free := 1 - float64(traffic.MaxBytesPerSecond)*8/1e6/float64(link.Mbit); free < lowest {
			lowest, name = free, traffic.From+" to "+traffic.To
		}
	}
	return lowest, name
}

// countEndpointRecords counts the requests by outcome, and compares uploads and
// orders with what the endpoints recorded.
func (r *run) countEndpointRecords(result *Result, completed []Sample) {
	stored, orders := map[string]bool{}, map[string]int{}
	for _, endpoint := range r.firm.Endpoints {
		counts := endpoint.Counts()
		for _, upload := range counts.Uploads {
			stored[upload.Path] = stored[upload.Path] || upload.Bytes == uploadBytes
		}
		for order, runs := range counts.OrderRuns {
			orders[order] += runs
		}
	}
	public := WorkspaceResult{}
	for i := range completed {
		sample := &completed[i]
		result.Sent++
		if sample.InTime() {
			result.InTime++
		}
		switch {
		case sample.Work == document.WorkUpload:
			result.UploadsSent++
			if stored[sample.Path] {
				result.UploadsStored++
			}
		case sample.Work == document.WorkOrder:
			result.OrdersSent++
			if orders[sample.OrderID] > 1 {
				result.OrdersDuplicated++
			}
		case sample.Workspace == "":
			public.add(sample)
		}
	}
	result.PublicServedShare = public.ServedShare()
}
