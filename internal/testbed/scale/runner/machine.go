package runner

import (
	"fmt"
	"os"
	"syscall"

	"frostpier/internal/testbed/scale"
)

// LocalMachine returns the memory of the machine that this process runs on, and the descriptor limit of this process.
func LocalMachine() (scale.Machine, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return scale.Machine{}, fmt.Errorf("memory of the machine: %w", err)
	}
	var kilobytes uint64
	if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kilobytes); err != nil {
		return scale.Machine{}, fmt.Errorf("memory of the machine: %w", err)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return scale.Machine{}, fmt.Errorf("descriptor limit: %w", err)
	}
	return scale.Machine{MemoryBytes: kilobytes << 10, Descriptors: limit.Cur}, nil
}

// LoadAverage returns the machine's load average over the last minute, or 0 if it cannot be read.
func LoadAverage() (load float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	_, _ = fmt.Sscanf(string(text), "%g", &load)
	return load
}
