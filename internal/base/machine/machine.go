// Package machine tells what a process may use of its machine.
package machine

import (
	"math"
	"runtime/debug"
	"syscall"
)

// heapNumerator and heapDenominator are the part of the process's memory that the Go runtime
// may use before it collects garbage more often. The rest is for the program's text, which is
// 15 to 20 MB of RSS, and for what is allocated while a collection runs.
const (
	heapNumerator   = 5
	heapDenominator = 8
)

// Memory returns the number of bytes that the process may use: the machine's memory or limit,
// whichever is lower. A limit of 0 is none.
func Memory(limit int64) int64 {
	total := int64(math.MaxInt64)
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err == nil && info.Totalram > 0 {
		total = int64(info.Totalram) * int64(info.Unit)
	}
	if limit > 0 {
		total = min(total, limit)
	}
	return total
}

// LimitHeap makes the runtime collect garbage more often as the heap approaches its part of the
// given memory of the process. A lower limit in the environment stays in force.
func LimitHeap(memory int64) {
	limit := memory / heapDenominator * heapNumerator
	if limit < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(limit)
	}
}

// Descriptors returns how many descriptors the process may open, or fallback if that is not
// known.
func Descriptors(fallback uint64) uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallback
	}
	return limit.Cur
}
