package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"time"
)

// leaveDuration is how long a gateway that leaves goes on answering, so that the others learn of it from itself.
const leaveDuration = time.Second

// ErrUnknownMember is the error of a command that names a member which the process does not run.
var ErrUnknownMember = errors.New("no member of this process")

// gatewayHost runs the hollow gateways of a process.
type gatewayHost struct {
	shared  *hostConfig
	members map[int]Member // by number
	running map[int]*gateway
}

// ServeGateways runs hollow gateways as the lines of in say: a GatewaySetup, then GatewayCommands. It writes a GatewayReply
// to out for each. At the end of in it stops all gateways and returns nil; a line that cannot be decoded is an error.
func ServeGateways(in io.Reader, out io.Writer) error {
	commands, replies := json.NewDecoder(in), json.NewEncoder(out)
	var setup GatewaySetup
	if err := commands.Decode(&setup); err != nil {
		return fmt.Errorf("hollow gateways: setup: %w", err)
	}
	h := newGatewayHost(setup)
	defer h.stopAll()
	if err := replies.Encode(GatewayReply{}); err != nil {
		return fmt.Errorf("hollow gateways: %w", err)
	}
	for {
		var command GatewayCommand
		if err := commands.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("hollow gateways: command: %w", err)
		}
		if err := replies.Encode(h.execute(command)); err != nil {
			return fmt.Errorf("hollow gateways: %w", err)
		}
	}
}

func newGatewayHost(setup GatewaySetup) *gatewayHost {
	h := &gatewayHost{members: map[int]Member{}, running: map[int]*gateway{}, shared: &hostConfig{setup: setup,
		regions: &regions{byMember: setup.Regions}, members: map[netip.AddrPort]int{}, log: slog.New(slog.DiscardHandler)}}
	for number, peer := range setup.Peers {
		h.shared.members[peer] = number
	}
	for _, member := range setup.Members {
		h.members[member.Number] = member
	}
	return h
}

// execute executes a command. All of its errors are joined in the reply.
func (h *gatewayHost) execute(command GatewayCommand) (reply GatewayReply) {
	switch command.Partition {
	case PartitionRegions:
		h.shared.regions.cut.Store(true)
	case HealRegions:
		h.shared.regions.cut.Store(false)
	}
	var errs []error
	for _, number := range command.Kill {
		errs = append(errs, h.stop(number))
	}
	errs = append(errs, h.leave(command.Leave))
	for _, number := range command.Start {
		errs = append(errs, h.start(number))
	}
	if err := errors.Join(errs...); err != nil {
		reply.Error = err.Error()
	}
	if command.ReportStates {
		reply.States = h.states(command.CountKnown)
	}
	return reply
}

// start starts a member, unless it runs.
func (h *gatewayHost) start(number int) error {
	member, known := h.members[number]
	if !known {
		return fmt.Errorf("start %d: %w", number, ErrUnknownMember)
	}
	if h.running[number] != nil {
		return nil
	}
	started, err := startGateway(h.shared, member)
	if err != nil {
		return err
	}
	h.running[number] = started
	return nil
}

// stop stops a member at once, if it runs.
func (h *gatewayHost) stop(number int) error {
	if _, known := h.members[number]; !known {
		return fmt.Errorf("stop %d: %w", number, ErrUnknownMember)
	}
	if running := h.running[number]; running != nil {
		running.stop()
		delete(h.running, number)
	}
	return nil
}

// leave has members announce that they leave, and stops them a little later.
func (h *gatewayHost) leave(numbers []int) error {
	if len(numbers) == 0 {
		return nil
	}
	for _, number := range numbers {
		if running := h.running[number]; running != nil {
			running.leave()
		}
	}
	time.Sleep(leaveDuration)
	var errs []error
	for _, number := range numbers {
		errs = append(errs, h.stop(number))
	}
	return errors.Join(errs...)
}

// states is the state of all members; countKnown as in gateway.state.
func (h *gatewayHost) states(countKnown bool) (out []GatewayState) {
	for _, member := range h.shared.setup.Members {
		running := h.running[member.Number]
		if running == nil {
			out = append(out, GatewayState{Number: member.Number})
			continue
		}
		out = append(out, running.state(countKnown))
	}
	return out
}

func (h *gatewayHost) stopAll() {
	for _, running := range h.running {
		running.stop()
	}
	clear(h.running)
}
