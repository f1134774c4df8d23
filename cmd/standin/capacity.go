package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/fleet"
)

func capacityCommand(app *kingpin.Application) command {
	clause := app.Command("capacity", "Run fleets of several sizes in one process and print each VM's cost of the control plane in CPU, memory and traffic.")
	sizes := clause.Flag("vms", "Sizes of the fleets, separated by commas; SIZE/N is a fleet in N data centres.").Default("9/6,18/6,36/6,72/6").String()
	idle := clause.Flag("rest", "How long each idle fleet is measured.").Default("10s").Duration()
	changes := clause.Flag("changes", "Number of documents to change in each fleet.").Default("20").Int()
	documentBytes := clause.Flag("document-bytes", "Size of each document in bytes.").Default("4000").Int()
	returned := clause.Flag("returned", "Number of VMs that restart at once, at most half of the fleet.").Default("4").Int()
	output := clause.Flag("output", "Output format: text or json.").Default("text").Enum("text", "json")
	return command{clause, func(ctx context.Context) error {
		plans, err := parsePlans(*sizes)
		if err != nil {
			return err
		}
		var all []fleet.Measurements
		for _, plan := range plans {
			plan.IdleDuration = clock.FromDuration(*idle)
			plan.Changes, plan.DocumentBytes = *changes, *documentBytes
			plan.Restarted = min(*returned, plan.VMs/2)
			figures, err := fleet.Measure(ctx, plan)
			if err != nil {
				return err
			}
			all = append(all, figures)
		}
		if *output == "json" {
			return json.NewEncoder(os.Stdout).Encode(all)
		}
		return printFigures(all)
	}}
}

func parsePlans(text string) (plans []fleet.Plan, err error) {
	for _, size := range strings.Split(text, ",") {
		vms, dataCentres, _ := strings.Cut(size, "/")
		plan := fleet.Plan{DataCentres: 1}
		if plan.VMs, err = strconv.Atoi(vms); err != nil || plan.VMs < 1 {
			return nil, errorx.IllegalArgument.New("%q is not a size such as 18/6", size)
		}
		if dataCentres != "" {
			if plan.DataCentres, err = strconv.Atoi(dataCentres); err != nil || plan.DataCentres < 1 {
				return nil, errorx.IllegalArgument.New("%q is not a size such as 18/6", size)
			}
		}
		plans = append(plans, plan)
	}
	return plans, nil
}

func printFigures(all []fleet.Measurements) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "vms\tdata centres\trest cpu %\trest peer B/s\trest store B/s\theap MB\tstore reads/s\tstore writes/s\tchange median ms\tworst ms\tchange cpu ms\tchange B\tunconfirmed\treturned\treturn ms\tworst store calls/s\t")
	for _, f := range all {
		fmt.Fprintf(w, "%d\t%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%d\t%d\t%.0f\t%d\t\n",
			f.VMs, f.DataCentres, f.IdleCPUPercent, f.IdlePeerBytes, f.IdleStoreBytes, f.HeapMB, f.IdleStoreReads, f.IdleStoreWrites,
			f.ChangeMedianMs, f.ChangeMaxMs, f.ChangeCPUMs, f.ChangeBytes, f.Unconfirmed, f.Restarted, f.RestartMs, f.RestartPeakStoreCalls)
	}
	fmt.Fprintf(w, "measured %s\t\n", time.Now().UTC().Format(time.RFC3339))
	return w.Flush()
}
