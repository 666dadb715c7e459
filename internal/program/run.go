// Package program sets up a gateway from its configuration and runs it until its graceful shutdown. cmd/frostpier calls
// it; tests run the same code with injected faults.
//
// The package handles the lifecycle of the process: files and environment variables, runtime limits, listeners, reloads
// and the shutdown. It makes no decisions about requests. One goroutine calls Run. All code that shares state with the
// event loop runs on the loop's goroutine, through Loop.Do or Loop.After.
package program

import (
	"context"
	"log/slog"
	"os"
	"time"

	"frostpier/internal/settings"
	"frostpier/internal/transport/eventloop"
)

// Hooks change a gateway for tests, which can thus run a faulty version of the program without building one. The program
// itself sets no hooks.
type Hooks struct {
	ModifyHost  func(*settings.Host)  // changes the settings before the decision module is created; nil = none
	LoopStarted func(*eventloop.Loop) // is called after the event loop was started; nil = none
}

// Run runs a gateway until ctx is cancelled, and then shuts it down gracefully. Each signal on hup reloads the
// configuration and the operator's file. Run returns an error if the gateway cannot start.
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
	go p.loop.Watch(watchWindow, p.logBusyLoop)
	if hooks.LoopStarted != nil {
		hooks.LoopStarted(p.loop)
	}
	engines := p.start(s)
	if stopped, err := p.openListeners(ctx, s.conf.Listen); err != nil || stopped {
		return err
	}
	log.Info("serving", "name", s.conf.Name, "listen", s.conf.Listen, "discovery", s.conf.DiscoveryAddr,
		"events", len(p.initialEvents), "engines", engines)
	go p.reloadUntil(ctx, hup, s.conf) // a reload waits for the loop, and must not delay a shutdown
	<-ctx.Done()
	began := p.loop.Now()
	overdue := time.NewTimer(p.shutdownDeadline + closeGrace + peerCloseGrace + hangGrace)
	go p.loop.DoWithPriority(func() { p.gracefulShutdown(began) })
	if waitForShutdown(loopCtx, overdue.C, log) {
		log.Info("stopped", "counts", p.dispatcher.Core.Counts(), "invariants", p.invariants.Violations())
	}
	return nil
}
