package controller

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"frostpier/internal/control/rollout"
)

const (
	controlFileName   = "control" // file that holds the address on which the running controller accepts commands
	controlTimeout    = 5 * time.Second
	dialTimeout       = time.Second
	maxCommandLength  = 64 // bytes
	controlListenAddr = "127.0.0.1:0"
)

// ErrNotRunning means that no controller is running.
var ErrNotRunning = errors.New("no controller is running")

// Commands that operators send on the control connection.
const (
	commandStatus  = "status"
	commandHistory = "history"
	commandPause   = "pause"
	commandResume  = "resume"
	commandAbort   = "abort"
)

// controlRequest is an operator's command, passed from its connection to Run.
type controlRequest struct {
	command string
	reply   chan Status
}

// Status is the state of a change, as shown to operators. Its JSON keys must not change: operators' scripts read them.
type Status struct {
	Name          string          `json:"name"`
	Running       bool            `json:"running"` // whether a controller is executing the change
	State         rollout.State   `json:"state"`
	Verdict       rollout.Verdict `json:"opinion"` // on the stage that is being watched
	GatewayCounts map[string]int  `json:"on"`      // number of gateways by the version that they were last started on
	History       []HistoryEntry  `json:"history,omitempty"`
	Error         string          `json:"error,omitempty"`
}

// listenControl opens the listener for commands, and writes its address to a file in dir.
func listenControl(dir string) (net.Listener, error) {
	ln, err := net.Listen("tcp", controlListenAddr)
	if err != nil {
		return nil, fmt.Errorf("control connection: %w", err)
	}
	if err := replaceFile(filepath.Join(dir, controlFileName), []byte(ln.Addr().String()), 0o600); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("control connection: %w", err)
	}
	return ln, nil
}

// replaceFile writes a file atomically: readers see either the old content or the new one.
func replaceFile(path string, content []byte, mode os.FileMode) error {
	if err := os.WriteFile(path+".new", content, mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// serveControl accepts commands, one per connection, until the listener is closed.
func (k *Controller) serveControl() {
	for {
		conn, err := k.control.Accept()
		if err != nil {
			return
		}
		go k.serveCommand(conn)
	}
}

// serveCommand reads a command from a connection, passes it to Run, and writes the reply.
func (k *Controller) serveCommand(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(controlTimeout)) != nil {
		return
	}
	command, err := bufio.NewReaderSize(conn, maxCommandLength).ReadSlice('\n')
	if err != nil {
		return
	}
	r := controlRequest{strings.TrimSpace(string(command)), make(chan Status, 1)}
	select {
	case k.requests <- r:
	case <-k.quit:
		return
	}
	_ = json.NewEncoder(conn).Encode(<-r.reply) // on a broken connection SendCommand returns an error
}

// handleCommand executes an operator's command and returns the resulting status. Only Run calls it.
func (k *Controller) handleCommand(command string) Status {
	var err error
	var history []HistoryEntry
	switch command {
	case commandStatus:
	case commandHistory:
		var c Change
		if c, err = k.journal.Change(k.checked.Plan.Name); err == nil {
			history = c.History
		}
	case commandPause:
		err = k.machine.Pause(now())
	case commandResume:
		err = k.machine.Resume(now())
	case commandAbort:
		err = k.machine.Abort(now())
	default:
		err = fmt.Errorf("unknown command %q", command)
	}
	s := statusOf(k.checked.Plan.Name, k.machine.State())
	s.Running, s.Verdict, s.History = true, k.machine.Verdict(), history
	if err != nil {
		s.Error = err.Error()
	}
	return s
}

func statusOf(name string, s rollout.State) Status {
	counts := map[string]int{}
	for _, g := range s.Gateways {
		counts[g.StartedVersion]++
	}
	return Status{Name: name, State: s, GatewayCounts: counts}
}

// SendCommand sends a command to the running controller: status, history, pause, resume or abort. It fails with ErrNotRunning if
// there is none.
func SendCommand(dir, command string) (s Status, err error) {
	addr, err := os.ReadFile(filepath.Join(dir, controlFileName))
	if errors.Is(err, os.ErrNotExist) {
		return s, ErrNotRunning
	}
	if err != nil {
		return s, fmt.Errorf("control connection: %w", err)
	}
	conn, err := net.DialTimeout("tcp", string(addr), dialTimeout)
	if err != nil { // the file is stale: the controller was killed before it could remove it
		return s, ErrNotRunning
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(controlTimeout)); err != nil {
		return s, fmt.Errorf("control connection: %w", err)
	}
	if _, err := fmt.Fprintln(conn, command); err != nil {
		return s, fmt.Errorf("control connection: %w", err)
	}
	if err := json.NewDecoder(conn).Decode(&s); err != nil {
		return s, fmt.Errorf("control connection: %w", err)
	}
	if s.Error != "" {
		return s, errors.New(s.Error)
	}
	return s, nil
}

// LastStatus returns the status of the last change, from the running controller if there is one, else from the journal.
func LastStatus(dir string) (Status, error) {
	s, err := SendCommand(dir, commandStatus)
	if !errors.Is(err, ErrNotRunning) {
		return s, err
	}
	c, err := ReadChange(dir, "")
	if err != nil {
		return s, err
	}
	return statusOf(c.Name, c.State), nil
}

// History returns the history of the named change, or of the last one if name is empty. It asks the controller that is executing the
// change, and otherwise reads the journal.
func History(dir, name string) ([]HistoryEntry, error) {
	s, err := SendCommand(dir, commandHistory)
	if err == nil && (name == "" || name == s.Name) {
		return s.History, nil
	}
	if err != nil && !errors.Is(err, ErrNotRunning) {
		return nil, err
	}
	c, err := ReadChange(dir, name)
	return c.History, err
}

// ReadChange reads the named change from the journal, or the last one if name is empty. It fails with ErrChangeNotFound if there is
// none, and with ErrRunning while a controller has the journal open.
func ReadChange(dir, name string) (c Change, err error) {
	path := filepath.Join(dir, journalFileName)
	if _, err := os.Stat(path); err != nil {
		return c, ErrChangeNotFound
	}
	j, err := ReadJournal(path)
	if err != nil {
		return c, err
	}
	defer func() { _ = j.Close() }()
	if name == "" {
		return j.Last()
	}
	return j.Change(name)
}
