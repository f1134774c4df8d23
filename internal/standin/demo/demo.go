// Package demo runs a firm in one process over loopback sockets: the stand-ins of the
// store and of all endpoints, all entry VMs, a caller in each region, and the simulated
// network between the regions. It runs a scenario of traffic, failures and operations step
// by step and prints the result of each step.
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

// step is a step of the scenario. Steps run in order and may depend on the state that
// earlier steps left.
type step struct {
	name string
	// run runs the step and returns a summary of what happened. The error states which
	// expectation failed.
	run func(ctx context.Context, firm *firm) (happened string, err error)
}

// steps is the scenario.
var steps = []step{
	{"entry VMs named to callers", checkAdvertisedEntryVMs},
	{"catalogue look-ups", sendLookUps},
	{"orders, each sent twice", sendOrders},
	{"artwork uploads", sendUploads},
	{"version move", moveVersion},
	{"store outage", lookUpDuringStoreOutage},
	{"death of an entry VM", killEntryVM},
	{"withdrawal of a key", withdrawKey},
	{"planned stop of an entry VM", stopEntryVM},
	{"no key at any endpoint", checkNoKeySeen},
	{"the store's budget", checkStoreBudget},
}

// Result is the result of a step. Held is true if its expectations were met, and Happened
// is the summary to print.
type Result struct {
	Step     string
	Held     bool
	Happened string
}

// Demo is a run of the scenario.
type Demo struct {
	// Firm is a firm's name in package examples.
	Firm string
	// Log receives the entry VMs' logs.
	Log logrus.FieldLogger
	// StepFilter, if set, selects the steps whose name contains it.
	StepFilter string
}

// Run runs the selected steps, prints the results to out and returns them. The error
// concerns the set-up or the printing; a failed step is reported in its Result only.
func (d *Demo) Run(ctx context.Context, out io.Writer) (results []Result, err error) {
	defer fault.Annotate(&err, "running the demo of firm %s", d.Firm)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	firm, err := startFirm(ctx, d.Firm, d.Log)
	if err != nil {
		return nil, err
	}
	defer func() {
		// Components that a step started stop only when ctx ends.
		cancel()
		firm.stop()
	}()
	for _, step := range steps {
		if strings.Contains(step.name, d.StepFilter) {
			results = append(results, runStep(ctx, firm, step))
		}
	}
	return results, printResults(out, firm, results)
}

func runStep(ctx context.Context, firm *firm, step step) Result {
	happened, err := step.run(ctx, firm)
	if err != nil {
		happened = strings.TrimPrefix(happened+"; "+err.Error(), "; ")
	}
	return Result{step.name, err == nil, happened}
}

// printResults prints the results, the failure counts of the callers and the traffic
// between regions as tables.
func printResults(out io.Writer, firm *firm, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "%s: %d entry VMs, %d endpoints of %d services\n\n", firm.Name, len(firm.EntryVMs), len(firm.Endpoints), len(firm.Services))
	fmt.Fprintln(table, "STEP\tHELD\tWHAT HAPPENED")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\n", result.Step, yesNo(result.Held), result.Happened)
	}
	fmt.Fprintln(table, "\nREFUSAL OR RETRY SEEN BY CALLERS\tTIMES")
	for _, line := range firm.failures.lines() {
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
