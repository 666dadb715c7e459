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

// ErrReply is what a process of hollow parts reports as gone wrong.
var ErrReply = errors.New("a process of hollow parts reports")

// endPatience bounds the wait for a process whose input was closed, before it is killed.
const endPatience = 10 * time.Second

// Process is the parent's side of a process of hollow parts.
type Process struct {
	command *exec.Cmd
	in      *os.File
	out     *os.File
	mu      sync.Mutex // one command at a time
	replies *json.Decoder
	ended   chan struct{}
}

// StartProcess starts a process; what it writes to standard error goes to log.
func StartProcess(command, environment []string, log io.Writer) (*Process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stderr = log
	// Should the tool itself be killed, no process stays behind. An interrupt of the terminal reaches the tool alone, which
	// ends the process.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	// Pipes of our own: reads and writes take deadlines, and Wait does not close what a reply is read from.
	childIn, in, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("hollow process: %w", err)
	}
	defer childIn.Close()
	out, childOut, err := os.Pipe()
	if err != nil {
		in.Close()
		return nil, fmt.Errorf("hollow process: %w", err)
	}
	defer childOut.Close()
	cmd.Stdin, cmd.Stdout = childIn, childOut
	if err := cmd.Start(); err != nil {
		in.Close()
		out.Close()
		return nil, fmt.Errorf("hollow process: %w", err)
	}
	p := &Process{command: cmd, in: in, out: out, replies: json.NewDecoder(out), ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// PID is the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }

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
	// Expired reads would leave half a reply behind: a process that was late once is of no more use, and its next reply is an
	// error too.
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

func (p *Process) setDeadline(at time.Time) {
	p.in.SetWriteDeadline(at)
	p.out.SetReadDeadline(at)
}

// SetUpGateways makes it a process of hollow gateways, none of which runs yet.
func (p *Process) SetUpGateways(ctx context.Context, setup GatewaySetup) error {
	var reply GatewayReply
	if err := p.exchange(ctx, setup, &reply); err != nil {
		return err
	}
	return replyError(reply.Error)
}

// Gateways carries a command out.
func (p *Process) Gateways(ctx context.Context, command GatewayCommand) ([]GatewayState, error) {
	var reply GatewayReply
	if err := p.exchange(ctx, command, &reply); err != nil {
		return nil, err
	}
	return reply.States, replyError(reply.Error)
}

// SetUpEngines makes it a process of hollow engines and returns their addresses.
func (p *Process) SetUpEngines(ctx context.Context, setup EngineSetup) ([]string, error) {
	var reply EngineReply
	if err := p.exchange(ctx, setup, &reply); err != nil {
		return nil, err
	}
	return reply.Addresses, replyError(reply.Error)
}

// Engines carries a command out.
func (p *Process) Engines(ctx context.Context, command EngineCommand) (EngineReply, error) {
	var reply EngineReply
	if err := p.exchange(ctx, command, &reply); err != nil {
		return reply, err
	}
	return reply, replyError(reply.Error)
}

func replyError(text string) error {
	if text == "" {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrReply, text)
}

// Close ends the process: it is asked to by the end of its input, and killed if that takes too long.
func (p *Process) Close() error {
	p.in.Close()
	defer p.out.Close()
	select {
	case <-p.ended:
		return nil
	case <-time.After(endPatience):
	}
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("hollow process: %w", err)
	}
	<-p.ended
	return nil
}
