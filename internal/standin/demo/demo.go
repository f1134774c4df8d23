// Package demo runs one firm in one process over loopback sockets: the store's
// stand-in, all endpoints, all entry VMs, callers in each region, and the network
// between the regions. It goes through the main job step by step and prints what
// happened.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/fault"
)

// step is one part of the main job. Steps run in order and may rely on what
// earlier ones left behind.
type step struct {
	name string
	// run does the step and says what happened. Its error says what did not hold.
	run func(ctx context.Context, firm *firm) (happened string, err error)
}

// steps is the main job.
var steps = []step{
	{"entry VMs named to callers", namedEntries},
	{"catalogue look-ups", lookUps},
	{"orders, each sent twice", orders},
	{"artwork uploads", uploads},
	{"version move", moveVersion},
	{"store outage", storeOutage},
	{"death of an entry VM", entryDeath},
	{"withdrawal of a key", withdrawKey},
	{"planned stop of an entry VM", plannedStop},
	{"no key at any endpoint", noKeySeen},
	{"the store's budget", storeBudget},
}

// Result is how one step went.
type Result struct {
	Step     string
	Held     bool
	Happened string
}

// Demo is one run.
type Demo struct {
	// Firm is a name of package examples.
	Firm string
	// Log receives the entry VMs' logs.
	Log logrus.FieldLogger
	// Step, if set, picks the steps whose name contains it.
	StepFilter string
}

// Run goes through the steps. The error is about the set-up; a step that did
// not hold is in its result.
func (d *Demo) Run(ctx context.Context, out io.Writer) (results []Result, err error) {
	defer fault.Annotate(&err, "running the demo of firm %s", d.Firm)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	firm, err := startFirm(ctx, d.Firm, d.Log)
	if err != nil {
		return nil, err
	}
	defer func() {
		// Parts that a step started live as long as ctx.
		cancel()
		firm.stop()
	}()
	for _, step := range steps {
		if strings.Contains(step.name, d.StepFilter) {
			results = append(results, runStep(ctx, firm, step))
		}
	}
	return results, print(out, firm, results)
}

func runStep(ctx context.Context, firm *firm, step step) Result {
	happened, err := step.run(ctx, firm)
	if err != nil {
		happened = strings.TrimPrefix(happened+"; "+err.Error(), "; ")
	}
	return Result{step.name, err == nil, happened}
}

// print writes the account as tables.
func print(out io.Writer, firm *firm, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "%s: %d entry VMs, %d endpoints of %d services\n\n", firm.Name, len(firm.EntryVMs), len(firm.Endpoints), len(firm.Services))
	fmt.Fprintln(table, "STEP\tHELD\tWHAT HAPPENED")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\n", result.Step, yesNo(result.Held), result.Happened)
	}
	fmt.Fprintln(table, "\nREFUSAL OR RETRY SEEN BY CALLERS\tTIMES")
	for _, line := range firm.tally.lines() {
		fmt.Fprintln(table, line)
	}
	fmt.Fprintln(table, "\nFROM REGION\tTO REGION\tKILOBYTES\tWORST SECOND, MBIT/S")
	for _, traffic := range firm.Network.Traffic() {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\n", traffic.From, traffic.To, traffic.Bytes/1000, float64(traffic.MaxBytesPerSecond)*8/1e6)
	}
	return table.Flush()
}

func yesNo(held bool) string {
	if held {
		return "yes"
	}
	return "NO"
}
