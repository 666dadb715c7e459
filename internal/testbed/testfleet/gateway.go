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

// StateChange is a line of a gateway's log: in its view a member has changed its state.
type StateChange struct {
	At     time.Time
	Viewer int
	Member int
	Is     string // alive, dead or left; suspicion counts as alive
}

// gateway is one process of the program.
type gateway struct {
	number  int
	cmd     *exec.Cmd
	log     io.WriteCloser
	mu      sync.Mutex
	view    []string // of each member, in the present life
	version int64    // of the list of engines: the last event's number
	engines int      // that it lists
	ready   bool
	up      bool
	paused  bool
	ended   chan struct{} // closed when the process has ended
	exit    error
	alarms  []string // lines of the log that no run may have
}

// startPatience bounds the wait for a process that starts beside hundreds of others.
const startPatience = 60 * time.Second

var errNotReady = errors.New("the gateway does not serve")

// start starts the process; changed is called for each change in its view.
func (g *gateway) start(command, env []string, logPath string, members int, told func(StateChange)) error {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), env...)
	// Should the tool itself be killed, no process stays behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		log.Close()
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.log, g.up, g.ready, g.paused, g.ended = cmd, log, true, false, false, ended
	g.version, g.engines = 0, 0
	g.view = make([]string, members)
	for i := range g.view {
		g.view[i] = "alive"
	}
	g.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			fmt.Fprintln(log, lines.Text())
			g.line(lines.Text(), told)
		}
		err := cmd.Wait()
		log.Close()
		g.mu.Lock()
		g.up, g.ready, g.exit = false, false, err
		g.mu.Unlock()
		close(ended)
	}()
	return nil
}

// line reads a line of the log.
func (g *gateway) line(text string, told func(StateChange)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case strings.Contains(text, "msg=serving"):
		g.ready = true
		g.listed(text, "events")
	case strings.Contains(text, `msg="engine list changed"`):
		g.listed(text, "version")
	case strings.Contains(text, "panic") || strings.Contains(text, "invariant broken") || strings.Contains(text, "DATA RACE"):
		g.alarms = append(g.alarms, text)
	case strings.Contains(text, `msg="member changed"`):
		r, _ := ParseRecord(text)
		member, err := strconv.Atoi(r.Fields["member"])
		is := r.Fields["is"]
		if err != nil || member < 0 || member >= len(g.view) {
			return
		}
		if is == "suspect" {
			is = "alive"
		}
		g.view[member] = is
		told(StateChange{At: time.Now(), Viewer: g.number, Member: member, Is: is})
	}
}

// listed takes over what a line says of the list of engines; the lock is held.
func (g *gateway) listed(text, versionKey string) {
	r, _ := ParseRecord(text)
	version, err := strconv.ParseInt(r.Fields[versionKey], 10, 64)
	if err != nil || version < g.version {
		return // lines of the start may come behind the first of the stream
	}
	if engines, err := strconv.Atoi(r.Fields["engines"]); err == nil {
		g.version, g.engines = version, engines
	}
}

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
	if err := g.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	return nil
}

// wait waits for the end of the process.
func (g *gateway) wait(most time.Duration) error {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-time.After(most):
		return fmt.Errorf("gateway %d: it has not ended after %v", g.number, most)
	}
}

func (g *gateway) state() (up, ready, paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up, g.ready, g.paused
}
