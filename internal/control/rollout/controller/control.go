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
	controlName = "control" // the file that reports where a running controller listens
	controlWait = 5 * time.Second
)

// ErrNone says that no controller runs.
var ErrNone = errors.New("no controller runs")

// controlRequest is an operator's command on its way to the loop.
type controlRequest struct {
	command string
	reply   chan Status
}

// Status is where a change stands.
type Status struct {
	Name    string          `json:"name"`
	Running bool            `json:"running"` // a controller carries it
	State   rollout.State   `json:"state"`
	Opinion rollout.Verdict `json:"opinion"`
	On      map[string]int  `json:"on"` // gateways by the version that they were last started on
	History []Line          `json:"history,omitempty"`
	Error   string          `json:"error,omitempty"`
}

func listenControl(dir string) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	path := filepath.Join(dir, controlName)
	if err := os.WriteFile(path+".new", []byte(ln.Addr().String()), 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("control: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		ln.Close()
		return nil, fmt.Errorf("control: %w", err)
	}
	return ln, nil
}

// serveControl accepts commands, one a connection.
func (k *Controller) serveControl() {
	for {
		nc, err := k.control.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(controlWait))
			command, err := bufio.NewReaderSize(nc, 64).ReadSlice('\n')
			if err != nil {
				return
			}
			a := controlRequest{strings.TrimSpace(string(command)), make(chan Status, 1)}
			select {
			case k.requests <- a:
			case <-k.quit:
				return
			}
			json.NewEncoder(nc).Encode(<-a.reply)
		}()
	}
}

// handleCommand does what an operator says; it runs on the loop.
func (k *Controller) handleCommand(command string) Status {
	var err error
	var history []Line
	switch command {
	case "status":
	case "history":
		var c Change
		if c, err = k.journal.Change(k.checked.Plan.Name); err == nil {
			history = c.History
		}
	case "pause":
		err = k.machine.Pause(now())
	case "resume":
		err = k.machine.Resume(now())
	case "abort":
		err = k.machine.Abort(now())
	default:
		err = fmt.Errorf("unknown command %q", command)
	}
	s := statusOf(k.checked.Plan.Name, k.machine.State())
	s.Running, s.Opinion, s.History = true, k.machine.Verdict(), history
	if err != nil {
		s.Error = err.Error()
	}
	return s
}

func statusOf(name string, s rollout.State) Status {
	on := map[string]int{}
	for _, g := range s.Gateways {
		on[g.Started]++
	}
	return Status{Name: name, State: s, On: on}
}

// SendCommand sends a command to the running controller: status, pause, resume or abort.
func SendCommand(dir, command string) (s Status, err error) {
	addr, err := os.ReadFile(filepath.Join(dir, controlName))
	if errors.Is(err, os.ErrNotExist) {
		return s, ErrNone
	}
	if err != nil {
		return s, fmt.Errorf("control: %w", err)
	}
	nc, err := net.DialTimeout("tcp", string(addr), time.Second)
	if err != nil { // it was killed and left the file behind
		return s, ErrNone
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(controlWait))
	if _, err := fmt.Fprintln(nc, command); err != nil {
		return s, fmt.Errorf("control: %w", err)
	}
	if err := json.NewDecoder(nc).Decode(&s); err != nil {
		return s, fmt.Errorf("control: %w", err)
	}
	if s.Error != "" {
		return s, errors.New(s.Error)
	}
	return s, nil
}

// Last reads where the last change stands from the controller that runs, else from the journal.
func Last(dir string) (Status, error) {
	s, err := SendCommand(dir, "status")
	if !errors.Is(err, ErrNone) {
		return s, err
	}
	c, err := ReadChange(dir, "")
	if err != nil {
		return s, err
	}
	return statusOf(c.Name, c.State), nil
}

// History is what happened in a change, the last one for "": from the controller that carries it, else from the journal.
func History(dir, name string) ([]Line, error) {
	s, err := SendCommand(dir, "history")
	if err == nil && (name == "" || name == s.Name) {
		return s.History, nil
	}
	if err != nil && !errors.Is(err, ErrNone) {
		return nil, err
	}
	c, err := ReadChange(dir, name)
	return c.History, err
}

// ReadChange reads a change from the journal of a controller that does not run; "" is the last one.
func ReadChange(dir, name string) (c Change, err error) {
	path := filepath.Join(dir, journalName)
	if _, err := os.Stat(path); err != nil {
		return c, ErrNoChange
	}
	j, err := ReadJournal(path)
	if err != nil {
		return c, err
	}
	defer j.Close()
	if name == "" {
		return j.Last()
	}
	return j.Change(name)
}
