// Package fuzz gives the project's stateful fuzzing tests fixed seeds, so that
// their verdict is the same each time. It is used by tests only.
package fuzz

import (
	"flag"
	"strconv"
	"testing"
)

// Config is what a package's rapid tests run unless the command line says otherwise.
// A zero value leaves rapid's own default.
type Config struct {
	Seed   int
	Checks int
	Steps  int
}

// Main runs a package's tests under the plan and returns the exit code. Call it
// from TestMain. A flag of rapid that stands on the command line goes before the plan.
func Main(m *testing.M, plan Config) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	planned := map[string]int{"rapid.seed": plan.Seed, "rapid.checks": plan.Checks, "rapid.steps": plan.Steps}
	for name, value := range planned {
		if !given[name] && value != 0 {
			_ = flag.Set(name, strconv.Itoa(value))
		}
	}
	if !given["rapid.nofailfile"] {
		_ = flag.Set("rapid.nofailfile", "true")
	}
	return m.Run()
}
