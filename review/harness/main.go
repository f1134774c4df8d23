// Command harness runs the cases of the review that cannot be written as a day of the
// bench. It starts gateways as separate processes on loopback addresses, with stand-ins of
// the platform's store, of endpoints and of callers in its own process.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the function of each case, by name. It reports whether the rule was broken.
var cases = map[string]func(r *run) (isBroken bool, err error){
	"tenant": runTenant,
	"drain":  runDrain,
}

func main() { os.Exit(runCase(os.Args[1:])) }

// runCase runs the case that the arguments name: its name, the folder of its record, and 0
// for a run without the disruption or 1 for one with it.
func runCase(args []string) (code int) {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER 0|1")
		return exitNotRun
	}
	r, err := newRun(args[1], args[2] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		r.close()
		os.Exit(exitNotRun)
	}()
	isBroken, err := cases[args[0]](r)
	switch {
	case err != nil:
		r.record("the case could not run: %v", err)
		return exitNotRun
	case isBroken:
		r.record("RESULT: the rule was broken")
		return exitBroken
	}
	r.record("RESULT: the rule held")
	return exitHeld
}
