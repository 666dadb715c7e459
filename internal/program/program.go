package program

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/invariant"
	"frostpier/internal/protocol/discovery"
	"frostpier/internal/settings"
	"frostpier/internal/subsetdriver"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginewatch"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/frontend"
)

const (
	listenTimeout       = 8 * time.Second // a former process that is killed or stopped frees its address sooner
	listenRetryInterval = 100 * time.Millisecond
)

// program is a running gateway.
type program struct {
	loop          *eventloop.Loop
	dispatcher    *dispatcher.Dispatcher
	clients       *frontend.PlatformListener
	mysql         *frontend.MySQLListener    // nil = off
	vrrp          *datagram.VRRPDriver       // nil = off
	membership    *datagram.MembershipDriver // nil = off
	loadReports   *loadreport.Digest         // nil = off
	version       *versionReporter           // nil = off
	subset        *subsetdriver.Driver       // nil = off
	invariants    *invariant.Monitor
	log           *slog.Logger
	engineEvents  *discovery.Stream
	initialEvents []discovery.Event // of the engine list, from the configuration
	discovery     *enginewatch.Watch
	host          settings.Host
	operator      settings.Operator // in force
	maxDeadline   time.Duration     // that a shutdown waits for
	closing       bool              // the connections are being closed
	exit          func()            // ends the event loop and with it the program
}

// start starts everything that needs no listener. It returns how many engines the configuration's events list.
func (p *program) start(s setup) (listed int) {
	p.loop.Do(func() {
		p.loop.StartLagMonitor()
		if p.membership != nil {
			p.membership.Start()
			p.subset.Start(p.membership, s.subset)
		}
		for _, e := range p.initialEvents {
			listed = p.dispatcher.UpdateEngines(e.Full, e.Engines)
		}
		p.discovery.SetServer(s.conf.Discovery)
		p.scheduleStats()
	})
	return listed
}

// openListeners opens the listeners for clients. The controller of a rollout hears of the process before it serves, and
// again once it does. stopped is true if ctx was cancelled first.
func (p *program) openListeners(ctx context.Context, listen string) (stopped bool, err error) {
	p.reportServing(false)
	if stopped, err := p.listenPlatform(ctx, listen); err != nil || stopped {
		return stopped, err
	}
	if err := p.startMySQL(); err != nil {
		return false, err
	}
	p.reportServing(true)
	return false, nil
}

// reportServing reports whether the gateway serves, if it reports its version.
func (p *program) reportServing(serving bool) {
	if p.version != nil {
		p.loop.Do(func() { p.version.setServing(serving) })
	}
}

// listenPlatform opens the platform's listener, and retries while the former process still has the address. stopped is
// true if ctx was cancelled first.
func (p *program) listenPlatform(ctx context.Context, addr string) (stopped bool, err error) {
	started := time.Now()
	for retry := 0; ; retry++ {
		err := p.clients.Serve(addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(started) > listenTimeout {
			return false, err
		}
		if retry == 0 {
			p.log.Warn("waits for the address", "listen", addr)
		}
		select {
		case <-ctx.Done():
			return true, nil
		case <-time.After(listenRetryInterval):
		}
	}
}

// startMySQL opens the MySQL frontend's listener: at once, or with VRRP when this gateway becomes master.
func (p *program) startMySQL() (err error) {
	p.loop.Do(func() {
		switch {
		case p.vrrp != nil:
			p.vrrp.Start()
		case p.mysql != nil:
			err = p.mysql.Listen()
		}
	})
	return err
}
