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
	listenTimeout       = 8 * time.Second // longer than the previous process keeps the address while it is killed or shuts down
	listenRetryInterval = 100 * time.Millisecond
)

// program is a running gateway.
type program struct {
	loop             *eventloop.Loop
	dispatcher       *dispatcher.Dispatcher
	platform         *frontend.PlatformListener
	mysql            *frontend.MySQLListener    // nil = off
	vrrp             *datagram.VRRPDriver       // nil = off
	membership       *datagram.MembershipDriver // nil = off
	loadReports      *loadreport.Digest         // nil = off
	reporter         *versionReporter           // nil = off
	subset           *subsetdriver.Driver       // nil = off
	invariants       *invariant.Monitor
	log              *slog.Logger
	engineEvents     *discovery.Stream
	initialEvents    []discovery.Event // engine list events from the configuration
	discovery        *enginewatch.Watch
	host             settings.Host
	operator         settings.Operator // operator's file that was applied last
	shutdownDeadline time.Duration     // time that a shutdown gives pending requests, see shutdownDeadline
	closing          bool              // the shutdown is closing all connections
	exit             func()            // stops the event loop, after which Run returns
}

// start starts all parts except the client listeners. It returns how many engines the configuration lists.
func (p *program) start(s setup) (engines int) {
	p.loop.Do(func() {
		p.loop.StartLagMonitor()
		if p.membership != nil {
			p.membership.Start()
			p.subset.Start(p.membership, s.subset)
		}
		for _, e := range p.initialEvents {
			engines = p.dispatcher.UpdateEngines(e.Full, e.Engines)
		}
		p.discovery.SetServer(s.conf.DiscoveryAddr)
		p.scheduleStats()
	})
	return engines
}

// openListeners opens the listeners for clients. It reports to the controller of a rollout before and after, so that the
// controller has a report of the process before it serves. stopped is true if ctx was cancelled first.
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

// reportServing reports whether the gateway serves to the controller of a rollout, if there is a versionReporter.
func (p *program) reportServing(serving bool) {
	if p.reporter != nil {
		p.loop.Do(func() { p.reporter.setServing(serving) })
	}
}

// listenPlatform opens the platform listener, and retries while the previous process still uses the address. stopped is
// true if ctx was cancelled first.
func (p *program) listenPlatform(ctx context.Context, addr string) (stopped bool, err error) {
	started := time.Now()
	for retry := 0; ; retry++ {
		err := p.platform.Serve(addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(started) > listenTimeout {
			return false, err
		}
		if retry == 0 {
			p.log.Warn("address in use, retrying", "listen", addr)
		}
		select {
		case <-ctx.Done():
			return true, nil
		case <-time.After(listenRetryInterval):
		}
	}
}

// startMySQL opens the MySQL frontend's listener. With VRRP it starts the virtual router instead, which opens the listener
// when this gateway becomes master.
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
