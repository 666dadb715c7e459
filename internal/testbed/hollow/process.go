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

// ErrReply is returned if the reply of a hollow process contains an error.
var ErrReply = errors.New("hollow process reported an error")

// exitTimeout is the time for a process to exit after its input is closed, before it is killed.
const exitTimeout = 10 * time.Second

// Process is a child process that runs hollow gateways or engines. It executes one command at a time.
type Process struct {
	cmd     *exec.Cmd
	in      *os.File
	out     *os.File
	mu      sync.Mutex // held from sending a command until its reply is read
	replies *json.Decoder
	ended   chan struct{} // closed when the process has exited
}

// StartProcess starts a process, which Close stops. Its standard error is written to log.
func StartProcess(command, environment []string, log io.Writer) (*Process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stderr = log
	// If this process is killed, the kernel kills the child too. An interrupt from the terminal reaches only this process,
	// which then stops the child.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	// os.Pipe instead of the pipes of exec.Cmd: its files support deadlines, and Wait does not close the one from which
	// replies are read.
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

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// exchange sends a message and reads the reply. The context's deadline and cancellation apply to both.
func (p *Process) exchange(ctx context.Context, request, reply any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("hollow process: %w", err)
	}
	// A read that times out may leave a partial reply, after which every further exchange with the process fails.
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

// setDeadline sets the deadline of writes to the process and reads from it. The zero time removes the deadline.
func (p *Process) setDeadline(at time.Time) {
	_ = p.in.SetWriteDeadline(at)
	_ = p.out.SetReadDeadline(at)
}

// SetUpGateways sends the setup of hollow gateways. It does not start any of them.
func (p *Process) SetUpGateways(ctx context.Context, setup GatewaySetup) error {
	var reply GatewayReply
	if err := p.exchange(ctx, setup, &reply); err != nil {
		return err
	}
	return replyError(reply.Error)
}

// SendGatewayCommand sends a command to a process of hollow gateways and returns the states in the reply.
func (p *Process) SendGatewayCommand(ctx context.Context, command GatewayCommand) ([]GatewayState, error) {
	var reply GatewayReply
	if err := p.exchange(ctx, command, &reply); err != nil {
		return nil, err
	}
	return reply.States, replyError(reply.Error)
}

// SetUpEngines sends the setup of hollow engines, which starts them, and returns their addresses.
func (p *Process) SetUpEngines(ctx context.Context, setup EngineSetup) ([]string, error) {
	var reply EngineReply
	if err := p.exchange(ctx, setup, &reply); err != nil {
		return nil, err
	}
	return reply.Addresses, replyError(reply.Error)
}

// SendEngineCommand sends a command to a process of hollow engines and returns the reply.
func (p *Process) SendEngineCommand(ctx context.Context, command EngineCommand) (EngineReply, error) {
	var reply EngineReply
	if err := p.exchange(ctx, command, &reply); err != nil {
		return reply, err
	}
	return reply, replyError(reply.Error)
}

// replyError returns the error of a reply; nil if the text is empty.
func replyError(text string) error {
	if text == "" {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrReply, text)
}

// Close closes the input of the process, which makes it exit, and kills it if it has not exited after exitTimeout.
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
