// Package trial runs the project's programs on loopback addresses for the scripts of the
// second review: a store, entry VMs as processes of their own, endpoints and callers. It
// judges nothing.
package trial

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"baobabladder.example/baobabladder/platform/standin"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Trial is one run of a script.
type Trial struct {
	// Store is the stand-in of the platform's store, StoreAddress its address.
	Store        *standin.Store
	StoreAddress string
	// HasTrouble reports whether the run has the disruption.
	HasTrouble bool
	// MemoryMB is the memory of the VMs that are started from now on.
	MemoryMB int

	startedAt time.Time
	folder    string

	mu sync.Mutex
	// record is guarded by mu.
	record *os.File
	// vms and stops are used by the goroutine that began the trial only.
	vms   []*VM
	stops []func()
}

// Run runs a script and ends the process with its exit code. script returns whether the rule
// held. An error states that the case could not run.
func Run(recordPath string, script func(t *Trial) (held bool, err error)) {
	t := &Trial{HasTrouble: os.Getenv("TROUBLE") != "0", MemoryMB: MemoryMB, startedAt: time.Now()}
	code := t.run(recordPath, script)
	os.Exit(code)
}

func (t *Trial) run(recordPath string, script func(t *Trial) (held bool, err error)) (code int) {
	var err error
	if t.record, err = os.Create(recordPath); err != nil {
		fmt.Println(err)
		return ExitFailed
	}
	defer t.record.Close()
	if t.folder, err = os.MkdirTemp("", "review"); err != nil {
		return t.fail(err)
	}
	defer os.RemoveAll(t.folder)
	defer t.stop()
	t.Store = &standin.Store{}
	address, stopStore, err := standin.Serve(t.Store)
	if err != nil {
		return t.fail(err)
	}
	t.StoreAddress = address
	t.stops = append(t.stops, stopStore)
	t.Printf("disruption: %v", t.HasTrouble)
	held, err := script(t)
	switch {
	case err != nil:
		return t.fail(err)
	case held:
		t.Printf("result: the rule held")
		return ExitHeld
	default:
		t.Printf("result: the rule was broken")
		return ExitBroken
	}
}

func (t *Trial) fail(err error) (code int) {
	t.Printf("result: the case could not run: %v", err)
	return ExitFailed
}

// Printf writes a line to the record and to the standard output.
func (t *Trial) Printf(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(t.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !strings.HasSuffix(line, "\n") {
		line += "\n"
	}
	_, _ = t.record.WriteString(line)
	fmt.Print(line)
}

// Path returns the path of a file in the trial's temporary folder.
func (t *Trial) Path(name string) string { return filepath.Join(t.folder, name) }

// stop ends all processes and stand-ins.
func (t *Trial) stop() {
	for _, vm := range t.vms {
		vm.Kill()
	}
	for _, stop := range t.stops {
		stop()
	}
}
