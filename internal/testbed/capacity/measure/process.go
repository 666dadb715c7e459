package measure

import (
	"runtime"
	"syscall"
	"time"
)

// virtualEpoch is the initial time of virtual clocks, as the duration since the Unix epoch.
const virtualEpoch = 1_800_000_000 * time.Second

// engineNumber returns the ID of an engine. Load reports contain only one half of the ID, so both halves are unique.
func engineNumber(i int) uint64 { return uint64(i+1)<<32 | uint64(i+1) }

// processorTime returns the user and system CPU time of this process, or 0 if it is unavailable. It covers all goroutines,
// so measurements must not run concurrently. The load of other programs has little effect on it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory returns the bytes of heap and goroutine stacks in use after a garbage collection. It runs the collector
// twice, because objects with finalizers survive the first collection.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
