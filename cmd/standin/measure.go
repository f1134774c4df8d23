package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/measure"
)

func measureCommand(app *kingpin.Application) command {
	clause := app.Command("measure", "Run a firm's load in a scenario and compare the entry VMs with two baseline policies.")
	firm := clause.Flag("firm", "The firm whose load is measured.").Default(examples.MunroLennox).Enum(examples.Firms()...)
	scenario := clause.Flag("scenario", "The scenario to run.").Default(measure.OrdinaryDay).Enum(append(measure.Scenarios(), measure.HalfLoad)...)
	policies := clause.Flag("policy", "A policy to measure; may be repeated; all by default.").Enums(measure.Policies()...)
	seed := clause.Flag("seed", "Random seed of the load.").Default("1").Uint64()
	seconds := clause.Flag("seconds", "How long the load is measured, in seconds.").Default("12").Int()
	stretch := clause.Flag("stretch", "Factor by which the catalogue's service time is multiplied and its rates are divided, for slow machines.").Default("1").Int()
	output := clause.Flag("output", "Output format: text or json.").Default("text").Enum("text", "json")
	plotFile := clause.Flag("plot", "Plot the percentiles of the latency above the floor (client round trip and service time) to this file, such as over.svg.").String()
	verbose := clause.Flag("verbose", "Write the entry VMs' logs to standard error.").Bool()
	return command{clause, func(ctx context.Context) error {
		log := logrus.New()
		if !*verbose {
			log.SetOutput(io.Discard)
		}
		if *scenario == measure.HalfLoad {
			return printOverhead(ctx, &measure.Benchmark{
				Firm: *firm, Seed: *seed, ScoredDuration: clock.Millis(*seconds) * clock.Second, Stretch: max(1, *stretch), Log: log,
			}, *output)
		}
		if len(*policies) == 0 {
			*policies = measure.Policies()
		}
		var rows []*measure.Result
		for _, policy := range *policies {
			row, err := (&measure.Benchmark{
				Firm: *firm, Scenario: *scenario, Policy: policy, Seed: *seed,
				ScoredDuration: clock.Millis(*seconds) * clock.Second, Stretch: max(1, *stretch), Log: log,
			}).Run(ctx)
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
		if *plotFile != "" {
			if err := measure.Plot(*plotFile, rows); err != nil {
				return err
			}
		}
		if *output == "json" {
			return json.NewEncoder(os.Stdout).Encode(rows)
		}
		return measure.Print(os.Stdout, rows)
	}}
}

func printOverhead(ctx context.Context, m *measure.Benchmark, output string) error {
	overhead, err := m.MeasureOverhead(ctx)
	if err != nil {
		return err
	}
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(overhead)
	}
	overhead.Print(os.Stdout)
	return nil
}
