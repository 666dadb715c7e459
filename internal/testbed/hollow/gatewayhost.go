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

// leaveDuration is how long a leaving gateway keeps running after its announcement, so that the other members receive the
// announcement from the gateway itself.
const leaveDuration = time.Second

// ErrUnknownMember is the error of a command for a member that is not assigned to the process.
var ErrUnknownMember = errors.New("member is not assigned to this process")

// gatewayHost runs the hollow gateways of a process.
type gatewayHost struct {
	shared  *sharedConfig
	members map[int]Member   // by number
	running map[int]*gateway // by number
}

// ServeGateways runs hollow gateways. It reads JSON messages from in, a GatewaySetup followed by GatewayCommands, and writes
// a GatewayReply to out for each. At the end of in it stops all gateways and returns nil; a message that cannot be decoded
// is an error.
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
	h := &gatewayHost{members: map[int]Member{}, running: map[int]*gateway{}, shared: &sharedConfig{setup: setup,
		regions: &regions{byMember: setup.Regions}, members: map[netip.AddrPort]int{}, log: slog.New(slog.DiscardHandler)}}
	for number, peer := range setup.Peers {
		h.shared.members[peer] = number
	}
	for _, member := range setup.Members {
		h.members[member.Number] = member
	}
	return h
}

// execute executes a command. The reply contains all errors.
func (h *gatewayHost) execute(command GatewayCommand) (reply GatewayReply) {
	switch command.Partition {
	case PartitionRegions:
		h.shared.regions.partitioned.Store(true)
	case HealRegions:
		h.shared.regions.partitioned.Store(false)
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

// start starts a member, unless it is running.
func (h *gatewayHost) start(number int) error {
	member, known := h.members[number]
	if !known {
		return fmt.Errorf("start member %d: %w", number, ErrUnknownMember)
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

// stop stops a member immediately, if it is running.
func (h *gatewayHost) stop(number int) error {
	if _, known := h.members[number]; !known {
		return fmt.Errorf("stop member %d: %w", number, ErrUnknownMember)
	}
	if running := h.running[number]; running != nil {
		running.stop()
		delete(h.running, number)
	}
	return nil
}

// leave makes members announce that they leave, and stops them after leaveDuration.
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

// states returns the states of all members. For countKnown see gateway.state.
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
