// Package program wires the parts of a gateway together and runs it, from its configuration to its graceful shutdown.
// cmd/frostpier is the program itself; tests run the same code with faults in it.
//
// The package owns the process's life: files and environment variables, runtime limits, listeners, reloads and the
// shutdown. It decides nothing about requests. One goroutine calls Run; everything that shares state with the event loop
// runs on the loop's goroutine, by Loop.Do or Loop.After.
package program

import (
	"context"
	"log/slog"
	"os"
	"time"

	"frostpier/internal/settings"
	"frostpier/internal/transport/eventloop"
)

// Hooks change a gateway for tests, so that they can run a faulty version without building one. The program itself has
// none.
type Hooks struct {
	ModifyHost  func(*settings.Host)  // changes the settings before the decision module is made; nil = none
	LoopStarted func(*eventloop.Loop) // is called once the event loop runs; nil = none
}

// Run serves until ctx is cancelled and every accepted request has its reply. Each signal on hup reloads the
// configuration and the operator's file. It returns an error if the gateway cannot serve.
func Run(ctx context.Context, hup <-chan os.Signal, log *slog.Logger, hooks Hooks) error {
	s, err := readSetup(hooks)
	if err != nil {
		return err
	}
	limitRuntime(s.conf)
	p, err := newProgram(s, log)
	if err != nil {
		return err
	}
	loopCtx, exit := context.WithCancel(context.Background())
	defer exit()
	p.exit = exit
	go p.loop.Run(loopCtx)
	if hooks.LoopStarted != nil {
		hooks.LoopStarted(p.loop)
	}
	listed := p.start(s)
	if stopped, err := p.openListeners(ctx, s.conf.Listen); err != nil || stopped {
		return err
	}
	log.Info("serving", "name", s.conf.Name, "listen", s.conf.Listen, "discovery", s.conf.Discovery,
		"events", len(p.initialEvents), "engines", listed)
	p.reloadUntil(ctx, hup, s.conf)
	overdue := time.NewTimer(p.maxDeadline + closeGrace + peerCloseGrace + hangGrace)
	go p.loop.Do(p.gracefulShutdown)
	if waitStopped(loopCtx, overdue.C, log) {
		log.Info("stopped", "counts", p.dispatcher.Core.Counts(), "invariants", p.invariants.Violations())
	}
	return nil
}
