package testfleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// StateChange is a change of a member's state that a gateway has logged.
type StateChange struct {
	At     time.Time // when the log line was read
	Viewer int       // gateway that logged the change
	Member int
	State  string // alive, dead or left; a suspect counts as alive
}

// gateway is a gateway of the fleet and its current process.
type gateway struct {
	number  int
	process *exec.Cmd
	mu      sync.Mutex
	view    []string // state of each member as logged by the process
	version int64    // resource version of the engine list
	engines int      // number of engines in the engine list
	ready   bool     // the process has logged that it is serving
	up      bool     // the process is running
	paused  bool
	ended   chan struct{} // closed when the process has exited
	exitErr error         // error of the last exit; nil for exit code 0
	alarms  []string      // log lines for which isAlarm is true
}

// startTimeout bounds the wait until a process is serving. Hundreds of processes may be starting at the same time.
const startTimeout = 60 * time.Second

var errNotReady = errors.New("not serving yet")

// start starts the process and reads its log on a goroutine that ends when the process has exited. changed is called for
// each state change of a member with g.mu held, so it must not call methods of the gateway.
func (g *gateway) start(command, env []string, logPath string, members int, changed func(StateChange)) error {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), env...)
	// The kernel kills the gateway if this process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		_ = log.Close()
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	ended := g.reset(cmd, members)
	go g.readLog(cmd, stderr, log, ended, changed)
	return nil
}

// reset initializes the state for a process that has just started and returns the channel to close when it has exited.
func (g *gateway) reset(cmd *exec.Cmd, members int) (ended chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = cmd
	g.up, g.ready, g.paused = true, false, false
	g.version, g.engines = 0, 0
	g.view = make([]string, members)
	for i := range g.view {
		g.view[i] = "alive"
	}
	g.ended = make(chan struct{})
	return g.ended
}

// readLog copies the process's log to the log file and evaluates each line until the process has exited.
func (g *gateway) readLog(cmd *exec.Cmd, stderr io.Reader, log io.WriteCloser, ended chan struct{}, changed func(StateChange)) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		_, _ = fmt.Fprintln(log, lines.Text())
		g.handleLine(lines.Text(), changed)
	}
	exitErr := cmd.Wait()
	_ = log.Close()
	g.mu.Lock()
	g.up, g.ready = false, false
	g.exitErr = exitErr
	g.mu.Unlock()
	close(ended)
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// handleLine updates the gateway's state from a log line.
func (g *gateway) handleLine(text string, changed func(StateChange)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case strings.Contains(text, "msg=serving"):
		g.ready = true
		g.recordEngineList(text, "events")
	case strings.Contains(text, `msg="engine list changed"`):
		g.recordEngineList(text, "version")
	case isAlarm(text):
		g.alarms = append(g.alarms, text)
	case strings.Contains(text, `msg="member changed"`):
		g.recordStateChange(text, changed)
	}
}

// isAlarm reports whether a log line reports a failure of the program itself.
func isAlarm(text string) bool {
	return strings.Contains(text, "panic") || strings.Contains(text, "invariant broken") || strings.Contains(text, "DATA RACE")
}

// recordStateChange records the state change of a member that a log line reports. The caller holds g.mu.
func (g *gateway) recordStateChange(text string, changed func(StateChange)) {
	r, _ := ParseRecord(text)
	member, err := strconv.Atoi(r.Fields["member"])
	if err != nil || member < 0 || member >= len(g.view) {
		return
	}
	state := r.Fields["is"]
	if state == "suspect" {
		state = "alive"
	}
	g.view[member] = state
	changed(StateChange{At: time.Now(), Viewer: g.number, Member: member, State: state})
}

// recordEngineList records the version and size of the engine list that a log line reports. The caller holds g.mu.
func (g *gateway) recordEngineList(text, versionKey string) {
	r, _ := ParseRecord(text)
	version, err := strconv.ParseInt(r.Fields[versionKey], 10, 64)
	if err != nil || version < g.version {
		return // "serving" may be logged after the first event of the watch, with the older version
	}
	if engines, err := strconv.Atoi(r.Fields["engines"]); err == nil {
		g.version, g.engines = version, engines
	}
}

// signal sends a signal to the process. It returns an error if the process is not running.
func (g *gateway) signal(s syscall.Signal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.up {
		return fmt.Errorf("gateway %d: not running", g.number)
	}
	switch s {
	case syscall.SIGSTOP:
		g.paused = true
	case syscall.SIGCONT:
		g.paused = false
	}
	if err := g.process.Process.Signal(s); err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	return nil
}

// waitExit waits until the process has exited. It returns an error after the timeout.
func (g *gateway) waitExit(timeout time.Duration) error {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("gateway %d: still running after %v", g.number, timeout)
	}
}

// exitError returns the error of the last exit, or nil for exit code 0.
func (g *gateway) exitError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exitErr
}

// state reports whether the process is running, whether it is serving, and whether it is paused.
func (g *gateway) state() (up, ready, paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up, g.ready, g.paused
}
