// Package program wires frostpier's parts together: a gateway from its configuration to its planned stop. cmd/frostpier
// is the program; tests and cmd/fleettest run the same with faults in it.
package program

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"syscall"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/subset/driver"
	"frostpier/internal/invariant"
	"frostpier/internal/protocol/discovery"
	"frostpier/internal/settings"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginewatch"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/frontend"
)

// Times of a planned stop: new connections may come for 0.4 s and requests for 0.2 s more; the kill comes 0.7 s after
// the longest deadline, counted as 3 s where it is longer.
const (
	gcPercent  = 400 // the live heap is a few MB of the limit: collecting less often costs memory that is there
	acceptFor  = 750 * time.Millisecond
	deadlineIs = 3 * time.Second        // at most, for a stop
	answerIn   = 200 * time.Millisecond // beyond the deadline, all that is open is answered, and what comes is refused
	exitIn     = 450 * time.Millisecond // and beyond it all connections are shut
	closeIn    = 150 * time.Millisecond // in which their peers end them too, at the latest ...
	closeFor   = 500 * time.Millisecond // ... and for so long they may where there is time
	stuckWait  = 50 * time.Millisecond  // and if that has not ended by then, the program ends all the same
	stacksMost = 64 << 10

	listenFor   = 8 * time.Second // a former process that is killed or stopped gives its address back sooner
	listenEvery = 100 * time.Millisecond

	statsEvery = 10 * time.Second
)

// Hooks change a gateway for tests, so that a version that does worse can be had without building one. The program itself
// runs with none.
type Hooks struct {
	Host func(*settings.Host)  // changes the settings before the decision module is made
	Loop func(*eventloop.Loop) // is called once the loop runs
}

// Run serves until term ends and what was taken is answered; with each hup it reads the configuration again.
func Run(term context.Context, hup <-chan os.Signal, log *slog.Logger, hooks Hooks) error {
	s, err := readSetup(hooks)
	if err != nil {
		return err
	}
	limitRuntime(s.conf)
	p, err := newProgram(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.cancel = cancel
	go p.loop.Run(ctx)
	if hooks.Loop != nil {
		hooks.Loop(p.loop)
	}
	listed := p.start(s)
	if stopped, err := p.openFronts(term, s.conf.Listen); err != nil || stopped {
		return err
	}
	log.Info("serving", "name", s.conf.Name, "listen", s.conf.Listen, "discovery", s.conf.Discovery, "events", len(p.initial),
		"engines", listed)
	p.reloadUntil(term, hup, s.conf)
	overdue := time.NewTimer(p.longest + exitIn + closeIn + stuckWait)
	go p.loop.Do(p.drain)
	if ended(ctx, overdue.C, log) {
		log.Info("stopped", "counts", p.dispatcher.Core.Counts(), "invariants", p.keep.Broken())
	}
	return nil
}

// start starts what needs no listener. It returns how many engines the configuration's events list.
func (p *program) start(s setup) (listed int) {
	p.loop.Do(func() {
		p.loop.WatchLag()
		if p.members != nil {
			p.members.Start()
			p.subset.Start(p.members, s.subset)
		}
		for _, e := range p.initial {
			listed = p.dispatcher.UpdateEngines(e.Full, e.Engines)
		}
		p.watch.Follow(s.conf.Discovery)
		p.stats()
	})
	return listed
}

// openFronts has clients taken; it reports whether the stop came first. Who watches the version hears of the process before it
// serves.
func (p *program) openFronts(term context.Context, listen string) (stopped bool, err error) {
	p.reportServing(false)
	if stopped, err := p.listen(term, listen); err != nil || stopped {
		return stopped, err
	}
	if err := p.startMySQL(); err != nil {
		return false, err
	}
	p.reportServing(true)
	return false, nil
}

// reportServing reports whether the gateway serves, where its version is reported.
func (p *program) reportServing(serving bool) {
	if p.version != nil {
		p.loop.Do(func() { p.version.serve(serving) })
	}
}

// reloadUntil reads the configuration and the operator's file again with each hup, until term ends.
func (p *program) reloadUntil(term context.Context, hup <-chan os.Signal, conf settings.Config) {
	for {
		select {
		case <-hup:
			p.reload(conf)
			p.reloadOperator()
		case <-term.Done():
			return
		}
	}
}

// listen opens the platform's front. While the former process still holds the address it waits; it reports whether the stop
// came first.
func (p *program) listen(term context.Context, addr string) (stopped bool, err error) {
	began := time.Now()
	for tries := 0; ; tries++ {
		err := p.clients.Serve(addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > listenFor {
			return false, err
		}
		if tries == 0 {
			p.log.Warn("waits for the address", "listen", addr)
		}
		select {
		case <-term.Done():
			return true, nil
		case <-time.After(listenEvery):
		}
	}
}

// program is what a stop has to reach.
type program struct {
	loop       *eventloop.Loop
	dispatcher *dispatcher.Dispatcher
	clients    *frontend.PlatformListener
	mysql      *frontend.MySQLListener    // nil where it is off
	standby    *datagram.VRRPDriver       // likewise
	members    *datagram.MembershipDriver // likewise
	digest     *loadreport.Digest         // likewise
	version    *version                   // likewise
	subset     *driver.Driver             // likewise
	keep       *invariant.Keeper
	log        *slog.Logger
	stream     *discovery.Stream
	initial    []discovery.Event // of the list of engines, from the configuration
	watch      *enginewatch.Watch
	host       settings.Host
	longest    time.Duration     // deadline that a stop reckons with
	operator   settings.Operator // in force
	closing    bool              // the connections are being shut
	cancel     func()
}

// startMySQL opens the MySQL front: at once, or where there is a virtual router when that is master.
func (p *program) startMySQL() (err error) {
	p.loop.Do(func() {
		switch {
		case p.standby != nil:
			p.standby.Start()
		case p.mysql != nil:
			err = p.mysql.Listen()
		}
	})
	return err
}

// stats logs the counts now and then.
func (p *program) stats() {
	p.loop.After(statsEvery, func() {
		c := p.dispatcher.Core
		if p.members != nil {
			serving, health, unsent, counts := p.members.Counts()
			p.log.Info("membership counts", "in_service", serving, "health", health, "unsent", unsent, "total", counts)
		}
		if p.digest != nil {
			p.log.Info("load report counts", "total", p.digest.Counts())
		}
		p.logMix()
		p.logSubset()
		p.log.Info("counts", "total", c.Counts(), "open", c.PendingRequests(), "out", c.AttemptsInFlight(), "lag", p.loop.Lag(), "invariants", p.keep.Broken())
		p.stats()
	})
}
