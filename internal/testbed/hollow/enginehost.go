package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
)

// engineHost runs the hollow engines of a process.
type engineHost struct {
	engines []*engine
	served  atomic.Int64
}

// ServeEngines runs hollow engines. It reads JSON messages from in, an EngineSetup followed by EngineCommands, and writes an
// EngineReply to out for each. At the end of in it closes all engines and returns nil; a message that cannot be decoded is
// an error.
func ServeEngines(in io.Reader, out io.Writer) error {
	commands, replies := json.NewDecoder(in), json.NewEncoder(out)
	var setup EngineSetup
	if err := commands.Decode(&setup); err != nil {
		return fmt.Errorf("hollow engines: setup: %w", err)
	}
	h := &engineHost{}
	defer h.closeAll()
	if err := replies.Encode(h.open(setup)); err != nil {
		return fmt.Errorf("hollow engines: %w", err)
	}
	for {
		var command EngineCommand
		if err := commands.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("hollow engines: command: %w", err)
		}
		if err := replies.Encode(h.execute(command)); err != nil {
			return fmt.Errorf("hollow engines: %w", err)
		}
	}
}

// open starts the engines and replies with their addresses.
func (h *engineHost) open(setup EngineSetup) (reply EngineReply) {
	for range setup.Engines {
		e, err := newEngine(netip.AddrPortFrom(setup.Listen, 0).String(), setup.Delay, &h.served)
		if err != nil {
			reply.Error = err.Error()
			return reply
		}
		h.engines = append(h.engines, e)
		reply.Addresses = append(reply.Addresses, e.addr)
	}
	return reply
}

// execute executes a command. Unknown engines are ignored.
func (h *engineHost) execute(command EngineCommand) (reply EngineReply) {
	var errs []error
	for _, index := range command.Close {
		if h.hasEngine(index) {
			h.engines[index].close()
		}
	}
	for _, index := range command.Open {
		if h.hasEngine(index) {
			errs = append(errs, h.engines[index].open())
		}
	}
	if err := errors.Join(errs...); err != nil {
		reply.Error = err.Error()
	}
	for _, e := range h.engines {
		reply.Connections += e.openConns()
	}
	reply.Served = h.served.Load()
	return reply
}

func (h *engineHost) hasEngine(index int) bool { return index >= 0 && index < len(h.engines) }

func (h *engineHost) closeAll() {
	for _, e := range h.engines {
		e.close()
	}
}
