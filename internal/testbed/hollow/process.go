package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// ErrReply is an error that a process of hollow gateways or engines has replied.
var ErrReply = errors.New("a process of hollow parts reports")

// exitTimeout is how long a process whose input was closed may run on before it is killed.
const exitTimeout = 10 * time.Second

// Process is the parent's side of a process of hollow gateways or engines. One command runs at a time.
type Process struct {
	cmd     *exec.Cmd
	in      *os.File
	out     *os.File
	mu      sync.Mutex // one command at a time
	replies *json.Decoder
	ended   chan struct{}
}

// StartProcess starts a process, which Close ends. What it writes to standard error goes to log.
func StartProcess(command, environment []string, log io.Writer) (*Process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stderr = log
	// Should this process be killed, the child ends too. An interrupt of the terminal reaches this process alone, which then
	// ends the child.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	// Own pipes in place of exec's: they take deadlines, and Wait does not close the one that a reply is read from.
	childIn, in, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("hollow process: %w", err)
	}
	defer func() { _ = childIn.Close() }()
	out, childOut, err := os.Pipe()
	if err != nil {
		_ = in.Close()
		return nil, fmt.Errorf("hollow process: %w", err)
	}
	defer func() { _ = childOut.Close() }()
	cmd.Stdin, cmd.Stdout = childIn, childOut
	if err := cmd.Start(); err != nil {
		_ = in.Close()
		_ = out.Close()
		return nil, fmt.Errorf("hollow process: %w", err)
	}
	p := &Process{cmd: cmd, in: in, out: out, replies: json.NewDecoder(out), ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// exchange sends a line and reads its reply; the context's deadline bounds both.
func (p *Process) exchange(ctx context.Context, request, reply any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("hollow process: %w", err)
	}
	// A read that times out leaves half a reply behind, so that every later exchange with the process fails as well.
	deadline, _ := ctx.Deadline()
	p.setDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { p.setDeadline(time.Now()) })
	defer stop()
	if err := json.NewEncoder(p.in).Encode(request); err != nil {
		return fmt.Errorf("hollow process: %w", err)
	}
	if err := p.replies.Decode(reply); err != nil {
		return fmt.Errorf("hollow process: reply: %w", err)
	}
	return nil
}

// setDeadline bounds reads and writes of both pipes; the zero time bounds neither.
func (p *Process) setDeadline(at time.Time) {
	_ = p.in.SetWriteDeadline(at)
	_ = p.out.SetReadDeadline(at)
}

// SetUpGateways sends the setup of hollow gateways. None of them runs yet.
func (p *Process) SetUpGateways(ctx context.Context, setup GatewaySetup) error {
	var reply GatewayReply
	if err := p.exchange(ctx, setup, &reply); err != nil {
		return err
	}
	return replyError(reply.Error)
}

// SendGatewayCommand sends a command to a process of hollow gateways and returns the states that the reply holds.
func (p *Process) SendGatewayCommand(ctx context.Context, command GatewayCommand) ([]GatewayState, error) {
	var reply GatewayReply
	if err := p.exchange(ctx, command, &reply); err != nil {
		return nil, err
	}
	return reply.States, replyError(reply.Error)
}

// SetUpEngines sends the setup of hollow engines and returns the addresses of the engines, which run from then on.
func (p *Process) SetUpEngines(ctx context.Context, setup EngineSetup) ([]string, error) {
	var reply EngineReply
	if err := p.exchange(ctx, setup, &reply); err != nil {
		return nil, err
	}
	return reply.Addresses, replyError(reply.Error)
}

// SendEngineCommand sends a command to a process of hollow engines.
func (p *Process) SendEngineCommand(ctx context.Context, command EngineCommand) (EngineReply, error) {
	var reply EngineReply
	if err := p.exchange(ctx, command, &reply); err != nil {
		return reply, err
	}
	return reply, replyError(reply.Error)
}

// replyError is the error of a reply; nil for an empty text.
func replyError(text string) error {
	if text == "" {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrReply, text)
}

// Close closes the process's input, on which it ends, and kills it if that takes too long.
func (p *Process) Close() error {
	_ = p.in.Close()
	defer func() { _ = p.out.Close() }()
	select {
	case <-p.ended:
		return nil
	case <-time.After(exitTimeout):
	}
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("hollow process: %w", err)
	}
	<-p.ended
	return nil
}
