package emulator

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"frostpier/internal/program"
	"frostpier/internal/settings"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// Faults that can be injected into a version of the program, by the names used in rollout reports.
const (
	CrashAtStart     = "crash-at-start"
	HangAtStart      = "hang-at-start"
	CrashAfterStart  = "crash-after-5s"
	StallLoop        = "slow"
	RejectClass      = "refuses-a-class"
	CorruptResponses = "spoils-one-in-50"
	LeakMemory       = "leaks"
)

// Faults returns the names of all faults.
func Faults() []string {
	return []string{CrashAtStart, HangAtStart, CrashAfterStart, StallLoop, RejectClass, CorruptResponses, LeakMemory}
}

// Environment variables of processes that a test starts.
const (
	faultVar = "FLEETTEST_FAULT"
	ownerVar = "FLEETTEST_OWNER" // PID of the process that started the fleet; the fleet's processes exit soon after it exits
)

// Parameters of the faults.
const (
	stallDuration = 300 * time.Millisecond
	stallInterval = 350 * time.Millisecond
	leakInterval  = 100 * time.Millisecond
	pageBytes     = 4096
	leakBytes     = 600 << 10
	crashDelay    = 5 * time.Second
)

// Exit codes of a process that exits because of a fault, or because its owner has exited.
const (
	exitCrashed     = 3
	exitOwnerExited = 4
)

// FaultEnv returns the environment that injects a fault into a process; see FaultHooks.
func FaultEnv(fault string) []string { return []string{faultVar + "=" + fault} }

// OwnerEnv returns the environment of processes that exit soon after this one does; see FaultHooks.
func OwnerEnv() []string { return []string{fmt.Sprintf("%s=%d", ownerVar, os.Getpid())} }

// FaultHooks returns the program's hooks for the fault that the environment names. A fault that needs no hook starts
// immediately; one that crashes or hangs the process at its start does not return. An unknown fault is an error. If the
// environment names an owner process, FaultHooks also makes this process exit soon after it.
func FaultHooks() (program.Hooks, error) {
	if owner, err := strconv.Atoi(os.Getenv(ownerVar)); err == nil {
		go exitWithOwner(owner)
	}
	switch fault := os.Getenv(faultVar); fault {
	case "":
	case CrashAtStart:
		os.Exit(exitCrashed)
	case HangAtStart:
		select {}
	case CrashAfterStart:
		time.AfterFunc(crashDelay, func() { os.Exit(exitCrashed) })
	case StallLoop:
		return program.Hooks{LoopStarted: func(l *eventloop.Loop) { go stallLoop(l) }}, nil
	case RejectClass:
		return program.Hooks{ModifyHost: rejectClass}, nil
	case CorruptResponses:
		return program.Hooks{}, startCorruptingProxy()
	case LeakMemory:
		go leakMemory()
	default:
		return program.Hooks{}, fmt.Errorf("%s: unknown fault %q", faultVar, fault)
	}
	return program.Hooks{}, nil
}

// stallLoop blocks the program's event loop most of the time.
func stallLoop(l *eventloop.Loop) {
	for range time.Tick(stallInterval) {
		l.Do(func() { time.Sleep(stallDuration) })
	}
}

// rejectClass allows no machine type for the first class of queries with more than 2 threads, so that the program rejects
// queries of that class.
func rejectClass(h *settings.Host) {
	i := slices.IndexFunc(h.Policy.Classes, func(c policy.Class) bool { return c.Threads > 2 })
	h.Policy.Classes[max(0, i)].RestrictMachineTypes = true
}

// leakMemory allocates memory repeatedly and never frees it.
func leakMemory() {
	var leaked [][]byte
	for range time.Tick(leakInterval) {
		block := make([]byte, leakBytes)
		for i := 0; i < len(block); i += pageBytes { // only pages that have been written become resident
			block[i] = 1
		}
		leaked = append(leaked, block)
		_ = leaked
	}
}

// exitWithOwner exits within about a second after the process that started the fleet has exited.
func exitWithOwner(owner int) {
	for range time.Tick(time.Second) {
		if syscall.Kill(owner, 0) == syscall.ESRCH {
			os.Exit(exitOwnerExited)
		}
	}
}
