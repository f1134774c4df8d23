package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/standin/demo"
)

func demoCommand(app *kingpin.Application) command {
	clause := app.Command("demo", "Run the demo of one firm in one process and print the result of each step. The exit code is 0 only if all steps succeed.")
	firm := clause.Flag("firm", "The firm to run.").Default(examples.MunroLennox).Enum(examples.Firms()...)
	step := clause.Flag("step", "Run only the steps whose name contains this text.").String()
	verbose := clause.Flag("verbose", "Write the entry VMs' logs to standard error.").Bool()
	return command{clause, func(ctx context.Context) error {
		log := logrus.New()
		if !*verbose {
			log.SetOutput(io.Discard)
		}
		results, err := (&demo.Demo{Firm: *firm, StepFilter: *step, Log: log}).Run(ctx, os.Stdout)
		if err != nil {
			return err
		}
		for _, result := range results {
			if !result.Held {
				return errorx.AssertionFailed.New("step %q of the demo failed", result.Step)
			}
		}
		return nil
	}}
}
