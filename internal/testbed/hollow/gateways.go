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

// leaveFor is how long a gateway that leaves goes on answering, so that the others hear of it from itself.
const leaveFor = time.Second

// ErrUnknownMember is a command that names a member which the process does not hold.
var ErrUnknownMember = errors.New("no member of this process")

// gateways are the hollow gateways of a process.
type gateways struct {
	shared  *shared
	listen  map[int]Member // by number
	running map[int]*gateway
}

// ServeGateways is a process of hollow gateways: it takes its setup and then commands from in, until that ends, and then
// ends all its gateways.
func ServeGateways(in io.Reader, out io.Writer) error {
	commands, replies := json.NewDecoder(in), json.NewEncoder(out)
	var setup GatewaySetup
	if err := commands.Decode(&setup); err != nil {
		return fmt.Errorf("hollow gateways: setup: %w", err)
	}
	g := newGateways(setup)
	defer g.stopAll()
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
		if err := replies.Encode(g.carryOut(command)); err != nil {
			return fmt.Errorf("hollow gateways: %w", err)
		}
	}
}

func newGateways(setup GatewaySetup) *gateways {
	g := &gateways{listen: map[int]Member{}, running: map[int]*gateway{}, shared: &shared{setup: setup,
		regions: &regions{of: setup.Regions}, members: map[netip.AddrPort]int{}, log: slog.New(slog.DiscardHandler)}}
	for number, peer := range setup.Peers {
		g.shared.members[peer] = number
	}
	for _, member := range setup.Members {
		g.listen[member.Number] = member
	}
	return g
}

func (g *gateways) carryOut(command GatewayCommand) (reply GatewayReply) {
	switch command.Cut {
	case CutRegions:
		g.shared.regions.cut.Store(true)
	case HealRegions:
		g.shared.regions.cut.Store(false)
	}
	var errs []error
	for _, number := range command.Kill {
		errs = append(errs, g.stop(number))
	}
	errs = append(errs, g.leave(command.Leave))
	for _, number := range command.Start {
		errs = append(errs, g.start(number))
	}
	if err := errors.Join(errs...); err != nil {
		reply.Error = err.Error()
	}
	if command.Report {
		reply.States = g.states(command.Known)
	}
	return reply
}

func (g *gateways) start(number int) error {
	member, known := g.listen[number]
	if !known {
		return fmt.Errorf("start %d: %w", number, ErrUnknownMember)
	}
	if g.running[number] != nil {
		return nil
	}
	started, err := startGateway(g.shared, member)
	if err != nil {
		return err
	}
	g.running[number] = started
	return nil
}

func (g *gateways) stop(number int) error {
	if _, known := g.listen[number]; !known {
		return fmt.Errorf("stop %d: %w", number, ErrUnknownMember)
	}
	if running := g.running[number]; running != nil {
		running.stop()
		delete(g.running, number)
	}
	return nil
}

// leave has members tell the others that they go, and ends them a little later.
func (g *gateways) leave(numbers []int) error {
	if len(numbers) == 0 {
		return nil
	}
	for _, number := range numbers {
		if running := g.running[number]; running != nil {
			running.leave()
		}
	}
	time.Sleep(leaveFor)
	var errs []error
	for _, number := range numbers {
		errs = append(errs, g.stop(number))
	}
	return errors.Join(errs...)
}

func (g *gateways) states(known bool) (out []GatewayState) {
	for _, member := range g.shared.setup.Members {
		running := g.running[member.Number]
		if running == nil {
			out = append(out, GatewayState{Number: member.Number})
			continue
		}
		out = append(out, running.state(known))
	}
	return out
}

func (g *gateways) stopAll() {
	for _, running := range g.running {
		running.stop()
	}
	clear(g.running)
}
