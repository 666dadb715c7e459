package measure

import (
	"runtime"
	"syscall"
	"time"
)

// virtualEpoch is the start of virtual clocks, as time since the Unix epoch.
const virtualEpoch = 1_800_000_000 * time.Second

// engineNumber returns the id of an engine. Load reports carry half of an id, so both halves are unique.
func engineNumber(i int) uint64 { return uint64(i+1)<<32 | uint64(i+1) }

// processorTime returns the user and system time that this process has used. Measurements must therefore run one after
// the other; the load of other programs affects them little. It is 0 if the system does not report it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory returns the memory in use after a garbage collection, heap and goroutine stacks, in bytes. It collects
// twice, since objects with finalizers survive the first collection.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
