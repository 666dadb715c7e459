// Package measure takes the measurements behind docs/CAPACITY.md: each for one size of the fleet, seeded, in one
// process, on a virtual clock wherever the measured code has one.
package measure

import (
	"runtime"
	"syscall"
	"time"
)

// virtualEpoch is the time at which virtual clocks start, since the Unix epoch.
const virtualEpoch = 1_800_000_000 * time.Second

// engineNumber is the number of an engine: different in the half that load reports carry.
func engineNumber(i int) uint64 { return uint64(i+1)<<32 | uint64(i+1) }

// processorTime is what this process has used of processors by now, user and system time together. Measurements
// therefore run one after the other, and what other programs do to the machine changes them little.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory is the memory that is in use after a collection: heap and goroutine stacks, in bytes.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
