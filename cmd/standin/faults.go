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

// faultsCommands set the faults of a running stand-in. Each call replaces all
// faults; without flags it heals the stand-in.
func faultsCommands(app *kingpin.Application) []command {
	parent := app.Command("faults", "Replace the faults of a running stand-in; without flags, heal it.")
	return []command{storeFaultsCommand(parent), endpointFaultsCommand(parent)}
}

func storeFaultsCommand(parent *kingpin.CmdClause) command {
	clause := parent.Command("store", "Replace the faults of a store.")
	address := clause.Flag("address", "The store's IP:port.").Default("127.0.0.1:7000").String()
	faults := &store.Faults{}
	clause.Flag("down", "Answer every call with 503.").BoolVar(&faults.Down)
	clause.Flag("watch-stall", "Give watches no answer.").BoolVar(&faults.WatchStall)
	clause.Flag("watch-reorder", "Answer watches out of order and twice.").BoolVar(&faults.WatchReorder)
	clause.Flag("cut-off", "Cut the connections of this caller; may be repeated.").StringsVar(&faults.CutOff)
	delay := clause.Flag("delay", "Hold up every call.").Duration()
	watchDelay := clause.Flag("watch-delay", "Show changes to watches later.").Duration()
	lost := clause.Flag("lose-answers", "KEY_PREFIX=COUNT answers to lose after the change; may be repeated.").StringMap()
	return command{clause, func(ctx context.Context) (err error) {
		faults.Delay = clock.FromDuration(*delay)
		faults.WatchDelay = clock.FromDuration(*watchDelay)
		if faults.LoseAnswers, err = lostAnswers(*lost); err != nil {
			return err
		}
		return (&control.Client{Address: *address}).SetStoreFaults(ctx, *faults)
	}}
}

// lostAnswers reads counts by key prefix, sorted by prefix.
func lostAnswers(counts map[string]string) (lost []store.LostAnswer, err error) {
	for prefix, text := range counts {
		count, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		lost = append(lost, store.LostAnswer{KeyPrefix: prefix, Count: count})
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].KeyPrefix < lost[j].KeyPrefix })
	return lost, nil
}

func endpointFaultsCommand(parent *kingpin.CmdClause) command {
	clause := parent.Command("endpoint", "Replace the faults of an endpoint.")
	address := clause.Flag("address", "The endpoint's IP:port.").Default("127.0.0.1:7100").String()
	faults := &endpoint.Faults{}
	clause.Flag("leaving", "Report that the endpoint leaves.").BoolVar(&faults.Leaving)
	clause.Flag("fail", "Answer 500.").BoolVar(&faults.Version.Fail)
	clause.Flag("slow-percent", "Lengthen the service time.").IntVar(&faults.Version.SlowPercent)
	clause.Flag("min-running", "Fail or slow down only when this many requests run.").IntVar(&faults.Version.MinRunning)
	clause.Flag("route", "Fail or slow down only on paths that start so.").StringVar(&faults.Version.Route)
	after := clause.Flag("after", "Fail or slow down only after this time.").Duration()
	answer := clause.Flag("answer", "Spoil answers.").Enum("late", "crossed", "cut", "double")
	clause.Flag("answer-every", "Spoil one answer in so many; 0 spoils all.").IntVar(&faults.Answer.Every)
	answerDelay := clause.Flag("answer-delay", "How late a late answer is.").Default("1s").Duration()
	reportLag := clause.Flag("report-lag", "Report the load as it was so long ago.").Duration()
	clause.Flag("report-frozen", "Report the load of now for ever.").BoolVar(&faults.Report.Frozen)
	reportRunning := clause.Flag("report-running", "Report this many running requests; below 0 for the truth.").Default("-1").Int()
	return command{clause, func(ctx context.Context) error {
		faults.Version.After = clock.FromDuration(*after)
		setAnswer(faults, *answer, *answerDelay)
		faults.Report.Lag = clock.FromDuration(*reportLag)
		if *reportRunning >= 0 {
			faults.Report.Running = reportRunning
		}
		return (&control.Client{Address: *address}).SetEndpointFaults(ctx, *faults)
	}}
}

func setAnswer(faults *endpoint.Faults, kind string, delay time.Duration) {
	faults.Answer.Kind = endpoint.AnswerKind(kind)
	if faults.Answer.Kind == endpoint.LateAnswer {
		faults.Answer.Delay = clock.FromDuration(delay)
	}
}
