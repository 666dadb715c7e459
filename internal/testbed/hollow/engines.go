package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
)

// engines are the hollow engines of a process.
type engines struct {
	list   []*engine
	served atomic.Int64
}

// ServeEngines is a process of hollow engines: it takes its setup and then commands from in, until that ends, and then
// ends all its engines.
func ServeEngines(in io.Reader, out io.Writer) error {
	commands, replies := json.NewDecoder(in), json.NewEncoder(out)
	var setup EngineSetup
	if err := commands.Decode(&setup); err != nil {
		return fmt.Errorf("hollow engines: setup: %w", err)
	}
	e := &engines{}
	defer e.closeAll()
	if err := replies.Encode(e.open(setup)); err != nil {
		return fmt.Errorf("hollow engines: %w", err)
	}
	for {
		var command EngineCommand
		if err := commands.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("hollow engines: command: %w", err)
		}
		if err := replies.Encode(e.carryOut(command)); err != nil {
			return fmt.Errorf("hollow engines: %w", err)
		}
	}
}

// open starts all engines and tells their addresses.
func (e *engines) open(setup EngineSetup) (reply EngineReply) {
	for range setup.Engines {
		one, err := newEngine(netip.AddrPortFrom(setup.Listen, 0).String(), setup.Delay, &e.served)
		if err != nil {
			reply.Error = err.Error()
			return reply
		}
		e.list = append(e.list, one)
		reply.Addresses = append(reply.Addresses, one.addr)
	}
	return reply
}

func (e *engines) carryOut(command EngineCommand) (reply EngineReply) {
	var errs []error
	for _, place := range command.Close {
		if e.holds(place) {
			e.list[place].close()
		}
	}
	for _, place := range command.Open {
		if e.holds(place) {
			errs = append(errs, e.list[place].open())
		}
	}
	if err := errors.Join(errs...); err != nil {
		reply.Error = err.Error()
	}
	for _, one := range e.list {
		reply.Connections += one.connections()
	}
	reply.Served = e.served.Load()
	return reply
}

func (e *engines) holds(place int) bool { return place >= 0 && place < len(e.list) }

func (e *engines) closeAll() {
	for _, one := range e.list {
		one.close()
	}
}
