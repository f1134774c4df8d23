// Package fuzz runs the project's stateful property-based tests, written with rapid, with
// fixed seeds, so that their results are reproducible. It also fills messages with values: odd
// ones, or ones that two builds can compare. Only tests use it.
package fuzz

import (
	"flag"
	"strconv"
	"testing"
)

// Config holds the default values of rapid's flags for the tests of a package. A zero field
// keeps rapid's own default.
type Config struct {
	Seed   int
	Checks int
	Steps  int
}

// Main runs a package's tests with config and returns the exit code. Call it from
// TestMain. Flags of rapid on the command line take precedence over config. Unless the
// flag rapid.nofailfile is given, no fail files are written.
func Main(m *testing.M, config Config) int {
	flag.Parse()
	setFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	defaults := map[string]int{"rapid.seed": config.Seed, "rapid.checks": config.Checks, "rapid.steps": config.Steps}
	for name, value := range defaults {
		if !setFlags[name] && value != 0 {
			_ = flag.Set(name, strconv.Itoa(value))
		}
	}
	if !setFlags["rapid.nofailfile"] {
		_ = flag.Set("rapid.nofailfile", "true")
	}
	return m.Run()
}
