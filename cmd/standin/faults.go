package main

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/control"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/store"
)

// faultsCommands returns the commands that set the faults of a running stand-in. Each
// call replaces all faults; without flags it removes them.
func faultsCommands(app *kingpin.Application) []command {
	parent := app.Command("faults", "Replace the faults of a running stand-in; without flags, remove them.")
	return []command{storeFaultsCommand(parent), endpointFaultsCommand(parent)}
}

func storeFaultsCommand(parent *kingpin.CmdClause) command {
	clause := parent.Command("store", "Replace the faults of a stand-in store.")
	address := clause.Flag("address", "The store's IP:port.").Default("127.0.0.1:7000").String()
	faults := &store.Faults{}
	clause.Flag("down", "Answer every call with 503.").BoolVar(&faults.Unavailable)
	clause.Flag("watch-stall", "Never respond to watches.").BoolVar(&faults.WatchStall)
	clause.Flag("watch-reorder", "Respond to watches with the newest change first, and every second time with an earlier response.").BoolVar(&faults.WatchReorder)
	clause.Flag("cut-off", "Close the connections of this caller; may be repeated.").StringsVar(&faults.BlockedCallers)
	delay := clause.Flag("delay", "Delay every call by this time.").Duration()
	watchDelay := clause.Flag("watch-delay", "Delay changes to watches by this time.").Duration()
	lostReplies := clause.Flag("lose-answers", "KEY_PREFIX=COUNT: apply COUNT writes under this key prefix but drop their replies; may be repeated.").StringMap()
	return command{clause, func(ctx context.Context) (err error) {
		faults.Delay = clock.FromDuration(*delay)
		faults.WatchDelay = clock.FromDuration(*watchDelay)
		if faults.LostReplies, err = parseLostReplies(*lostReplies); err != nil {
			return err
		}
		return (&control.Client{Address: *address}).SetStoreFaults(ctx, *faults)
	}}
}

// parseLostReplies parses the counts of lost replies by key prefix. The result is
// sorted by prefix.
func parseLostReplies(counts map[string]string) (lost []store.LostReply, err error) {
	for prefix, text := range counts {
		count, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		lost = append(lost, store.LostReply{KeyPrefix: prefix, Count: count})
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].KeyPrefix < lost[j].KeyPrefix })
	return lost, nil
}

func endpointFaultsCommand(parent *kingpin.CmdClause) command {
	clause := parent.Command("endpoint", "Replace the faults of a stand-in endpoint.")
	address := clause.Flag("address", "The endpoint's IP:port.").Default("127.0.0.1:7100").String()
	faults := &endpoint.Faults{}
	clause.Flag("leaving", "Report that the endpoint is leaving.").BoolVar(&faults.Leaving)
	clause.Flag("fail", "Respond with status 500.").BoolVar(&faults.Version.Fail)
	clause.Flag("slow-percent", "Increase the service time by this percentage.").IntVar(&faults.Version.SlowPercent)
	clause.Flag("min-running", "Fail or slow down only while at least this many requests run.").IntVar(&faults.Version.MinRunning)
	clause.Flag("route", "Fail or slow down only on paths with this prefix.").StringVar(&faults.Version.PathPrefix)
	after := clause.Flag("after", "Fail or slow down only after this time.").Duration()
	answer := clause.Flag("answer", "Kind of faulty responses.").Enum("late", "crossed", "cut", "double")
	clause.Flag("answer-every", "Make every Nth response faulty; 0 is every response.").IntVar(&faults.Response.Every)
	answerDelay := clause.Flag("answer-delay", "Delay of late responses.").Default("1s").Duration()
	reportLag := clause.Flag("report-lag", "Report the load as it was this long ago.").Duration()
	clause.Flag("report-frozen", "Keep reporting the current load.").BoolVar(&faults.Report.Frozen)
	reportRunning := clause.Flag("report-running", "Report this many running requests; the real number if negative.").Default("-1").Int()
	return command{clause, func(ctx context.Context) error {
		faults.Version.After = clock.FromDuration(*after)
		setResponseFault(faults, *answer, *answerDelay)
		faults.Report.Lag = clock.FromDuration(*reportLag)
		if *reportRunning >= 0 {
			faults.Report.Running = reportRunning
		}
		return (&control.Client{Address: *address}).SetEndpointFaults(ctx, *faults)
	}}
}

func setResponseFault(faults *endpoint.Faults, kind string, delay time.Duration) {
	faults.Response.Kind = endpoint.ResponseFaultKind(kind)
	if faults.Response.Kind == endpoint.LateResponse {
		faults.Response.Delay = clock.FromDuration(delay)
	}
}
