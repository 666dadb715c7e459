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

// StateChange is a member's change of state in the view of a gateway, as the gateway logged it.
type StateChange struct {
	At     time.Time
	Viewer int
	Member int
	State  string // alive, dead or left; a suspect counts as alive
}

// gateway is one process of the program.
type gateway struct {
	number  int
	process *exec.Cmd
	mu      sync.Mutex
	view    []string // the state of each member, as this process has logged it
	version int64    // resource version of the engine list
	engines int      // in the engine list
	ready   bool
	up      bool
	paused  bool
	ended   chan struct{} // closed when the process has ended
	exitErr error         // of the process that has ended: nil for exit code 0
	alarms  []string      // log lines of failures: see isAlarm
}

// startTimeout bounds the wait for a process to serve: it may start beside hundreds of others.
const startTimeout = 60 * time.Second

var errNotReady = errors.New("the gateway does not serve")

// start starts the process and follows its log on a goroutine that ends with it. changed is called for each change in the
// gateway's view; it must not call the gateway.
func (g *gateway) start(command, env []string, logPath string, members int, changed func(StateChange)) error {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), env...)
	// Should this process be killed, no gateway stays behind.
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
	go g.follow(cmd, stderr, log, ended, changed)
	return nil
}

// reset sets the state of a process that has just started, and returns the channel to close at its end.
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

// follow copies the process's log and evaluates it until the process has ended.
func (g *gateway) follow(cmd *exec.Cmd, stderr io.Reader, log io.WriteCloser, ended chan struct{}, changed func(StateChange)) {
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

// maxLogLine bounds a line of the log, in bytes.
const maxLogLine = 1 << 20

// handleLine evaluates a line of the log.
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
		g.recordMember(text, changed)
	}
}

// isAlarm reports whether a line of the log says that the program itself has failed.
func isAlarm(text string) bool {
	return strings.Contains(text, "panic") || strings.Contains(text, "invariant broken") || strings.Contains(text, "DATA RACE")
}

// recordMember records a member's new state; the lock is held.
func (g *gateway) recordMember(text string, changed func(StateChange)) {
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

// recordEngineList records the engine list that a line reports; the lock is held.
func (g *gateway) recordEngineList(text, versionKey string) {
	r, _ := ParseRecord(text)
	version, err := strconv.ParseInt(r.Fields[versionKey], 10, 64)
	if err != nil || version < g.version {
		return // the line about the start may follow that about the first event of the watch
	}
	if engines, err := strconv.Atoi(r.Fields["engines"]); err == nil {
		g.version, g.engines = version, engines
	}
}

// signal sends the process a signal; one that does not run is an error.
func (g *gateway) signal(s syscall.Signal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.up {
		return fmt.Errorf("gateway %d: it does not run", g.number)
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

// waitExit waits for the end of the process; it is an error if that takes longer than the timeout.
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
		return fmt.Errorf("gateway %d: it has not ended after %v", g.number, timeout)
	}
}

// exitError returns the error of the process that has ended, or nil if it exited with code 0.
func (g *gateway) exitError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exitErr
}

// state reports whether the process runs, serves, and is paused.
func (g *gateway) state() (up, ready, paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up, g.ready, g.paused
}
