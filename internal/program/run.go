// Package program wires frostpier's parts together: a gateway from its configuration to its planned stop. cmd/frostpier
// is the program; tests and cmd/fleetlab run the same with faults in it.
package program

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/discovery"
	"frostpier/internal/invariant"
	"frostpier/internal/netio"
	"frostpier/internal/settings"
	"frostpier/internal/spread"
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
	Host func(*settings.Host) // changes the settings before the decision module is made
	Loop func(*netio.Loop)    // is called once the loop runs
}

// Run serves until term ends and what was taken is answered; with each hup it reads the configuration again.
func Run(term context.Context, hup <-chan os.Signal, log *slog.Logger, hooks Hooks) error {
	conf, err := readConfig()
	if err != nil {
		return err
	}
	if listen := os.Getenv("GW_LISTEN"); listen != "" {
		conf.Listen = listen
	}
	host, err := settings.ParseHost(conf.Settings)
	if err != nil {
		return err
	}
	if hooks.Host != nil {
		hooks.Host(&host)
	}
	operator, err := readOperator()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(conf.Limits.Cores)))
	memory := conf.Limits.MemoryMB << 20
	debug.SetMemoryLimit(memory * 6 / 10)
	debug.SetGCPercent(gcPercent)

	loop := netio.NewLoop(time.Now(), memory/8)
	keep := invariant.New(log)
	heart, err := core.New(host, conf.SeedNumber(), log, keep)
	if err != nil {
		return err
	}
	shares := divide(conf.Limits.Sockets, operator.MySQL != nil)
	pool := netio.NewPool(loop, log, host.ConnectTimeout, host.ConnIdle, shares.engines)
	gateway := netio.NewGateway(loop, heart, pool, log)
	stream := &discovery.Stream{}
	known, err := stream.Restore(conf.Known)
	if err != nil {
		log.Warn("initial engine events not all used", "error", err)
	}
	clients := netio.NewClients(gateway, log, shares.clients.Most, int(memory/8))
	p := &program{loop: loop, gateway: gateway, clients: clients, keep: keep, log: log, stream: stream, longest: longest(host),
		watch: netio.NewWatch(gateway, log, conf.Discovery, stream)}
	if m := operator.MySQL; m != nil {
		setup, err := mysqlSetup(m, heart, shares.mysqlClients.Most)
		if err != nil {
			return err
		}
		engines := netio.NewPool(loop, log, host.ConnectTimeout, host.ConnIdle, shares.mysqlEngines)
		gateway.Pools = append(gateway.Pools, engines)
		p.mysql = netio.NewMySQLFront(gateway, engines, log, setup)
	}
	if v := operator.VRRP; v != nil {
		if p.standby, err = standby(v, loop, log, p.mysql); err != nil {
			return err
		}
	}
	p.operator = operator
	if operator.Rollout != nil {
		if p.version, err = newVersion(operator, host, conf, loop, log, heart); err != nil {
			return err
		}
	}
	if op := operator.Membership; op != nil && !host.PeerMessages {
		log.Warn("membership stays off: the settings do not permit messages between gateways", "key", "permissions.peer_messages")
	} else if op != nil {
		if operator.Spread != nil {
			p.digest = spread.New()
			heart.ShareLoadReports(p.digest)
		}
		to := peers{Gateway: gateway}
		if p.version != nil {
			to.mix = p.version.mix
		}
		if p.members, err = members(op, conf, host, loop, log, keep, p.extensions(), p.digest != nil, to); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.cancel = cancel
	go loop.Run(ctx)
	if hooks.Loop != nil {
		hooks.Loop(loop)
	}
	loop.Do(func() {
		loop.WatchLag()
		if p.members != nil {
			p.members.Start()
		}
		for _, e := range known {
			gateway.UpdateEngines(e.Full, e.Engines)
		}
		p.watch.Follow(conf.Discovery)
		p.stats()
	})
	if p.version != nil { // who watches it hears of the process before it serves
		loop.Do(func() { p.version.serve(false) })
	}
	if stopped, err := p.listen(term, conf.Listen); err != nil || stopped {
		return err
	}
	if err := p.startMySQL(); err != nil {
		return err
	}
	if p.version != nil {
		loop.Do(func() { p.version.serve(true) })
	}
	log.Info("serving", "name", conf.Name, "listen", conf.Listen, "discovery", conf.Discovery, "events", len(known))
	for serving := true; serving; {
		select {
		case <-hup:
			p.reload(conf)
			p.reloadOperator()
		case <-term.Done():
			serving = false
		}
	}
	overdue := time.NewTimer(p.longest + exitIn + closeIn + stuckWait)
	go loop.Do(p.drain)
	if ended(ctx, overdue.C, log) {
		log.Info("stopped", "counts", heart.Counts(), "invariants", keep.Broken())
	}
	return nil
}

// listen opens the platform's front. While the former process still holds the address it waits; it tells whether the stop
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

// ended waits for the end of a stop. A loop that hangs must not keep the program past its time: the kill would come,
// and the next start might find the address still in use. The log then says where everything stood.
func ended(ctx context.Context, overdue <-chan time.Time, log *slog.Logger) bool {
	select {
	case <-ctx.Done():
		return true
	case <-overdue:
		stacks := make([]byte, stacksMost)
		log.Error("stopped, though the loop hangs", "stacks", string(stacks[:runtime.Stack(stacks, true)]))
		return false
	}
}

// program is what a stop has to reach.
type program struct {
	loop     *netio.Loop
	gateway  *netio.Gateway
	clients  *netio.Clients
	mysql    *netio.MySQLFront // nil where it is off
	standby  *netio.Standby    // likewise
	members  *netio.Members    // likewise
	digest   *spread.Digest    // likewise
	version  *version          // likewise
	keep     *invariant.Keeper
	log      *slog.Logger
	stream   *discovery.Stream
	watch    *netio.Watch
	longest  time.Duration     // deadline that a stop reckons with
	operator settings.Operator // in force
	closing  bool              // the connections are being shut
	cancel   func()
}

var errNoDiscovery = errors.New("no discovery server: the key bulletin is missing")

// readConfig reads the configuration that the platform hands out.
func readConfig() (settings.Config, error) {
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return settings.Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return settings.ParseConfig(text)
}

// reload is what SIGHUP asks for: the discovery server of the new configuration is watched from the last event on, and all
// else goes on. What else has changed in it holds from the next start. One that cannot be read changes nothing.
func (p *program) reload(old settings.Config) {
	conf, err := readConfig()
	if err == nil && conf.Discovery == "" && old.Discovery != "" {
		err = errNoDiscovery
	}
	if err != nil {
		p.log.Error("configuration not read again, the old one stays", "error", err)
		return
	}
	if conf.Listen != old.Listen && os.Getenv("GW_LISTEN") == "" || conf.Limits != old.Limits ||
		!bytes.Equal(conf.Settings, old.Settings) {
		p.log.Warn("configuration read again: listen, limits and settings hold from the next start")
	}
	events := 0
	p.loop.Do(func() {
		known, err := p.stream.Restore(conf.Known)
		if err != nil {
			p.log.Warn("initial engine events not all used", "error", err)
		}
		for _, e := range known {
			p.gateway.UpdateEngines(e.Full, e.Engines)
		}
		events = len(known)
		p.watch.Follow(conf.Discovery)
	})
	p.log.Info("configuration read again", "discovery", conf.Discovery, "events", events)
}

// longest is the longest deadline of a class, as a stop counts it.
func longest(host settings.Host) time.Duration {
	d := time.Duration(0)
	for _, c := range host.Module.Classes {
		d = max(d, c.Deadline)
	}
	return min(d, deadlineIs)
}

// shares divides the descriptors. Together they stay below the limit: a dial that fails for want of a descriptor
// looks like an engine that cannot be reached.
type shares struct{ clients, engines, mysqlClients, mysqlEngines netio.Share }

// spare is for listeners, the discovery watch, files, the runtime, and connections between accept and close.
const spare = 24

func divide(sockets int, withMySQL bool) shares {
	if withMySQL {
		s := shares{clients: netio.Share{Most: sockets / 5}, mysqlClients: netio.Share{Most: sockets / 5}}
		s.engines = engineShare((sockets - 2*(sockets/5) - spare) / 2)
		s.mysqlEngines = s.engines
		return s
	}
	clients := sockets * 2 / 5 // they hold a third at most, by their own count: some are closed there and not yet here
	return shares{clients: netio.Share{Most: clients}, engines: engineShare(sockets - clients - spare)}
}

// engineShare keeps a sixth for what gives attempts up: else it would wait behind the very attempts.
func engineShare(all int) netio.Share {
	all = max(2, all)
	return netio.Share{Most: all - max(1, all/6), Urgent: max(1, all/6)}
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

// drain is the planned stop: ping tells at once, connections and requests are still taken for the stated time, all that
// was taken is answered, and the connections are shut in an order in which nothing that came is lost.
func (p *program) drain() {
	p.log.Info("stopping", "open", p.gateway.Core.Open(), "out", p.gateway.Core.Out())
	p.clients.Drain()
	if p.version != nil {
		p.version.serve(false)
	}
	if p.members != nil {
		p.members.Leave() // at once: the others take its part over while it answers what it has taken
	}
	if p.standby != nil {
		p.standby.Stop() // the next master takes the address over while this one answers what it has taken
	}
	p.loop.After(acceptFor, func() {
		if p.mysql != nil {
			p.mysql.StopAccepting()
		}
		p.clients.Stop(p.closeIdleConnections)
	})
	p.loop.After(p.longest+answerIn, p.gateway.Close)
	p.loop.After(p.longest+exitIn, p.closeConnections)
	p.loop.After(p.longest+exitIn+closeIn, p.cancel)
}

// closeIdleConnections shuts the connections that rest as soon as nothing is open or out. A request that came on one of them just
// then is answered first, and the rest are looked at again.
func (p *program) closeIdleConnections() {
	p.gateway.WhenIdle(func() {
		if p.closeIdle() {
			p.closeConnections()
			return
		}
		p.loop.After(acceptFor/lookShare, p.closeIdleConnections)
	})
}

// lookShare is how many times in the time for accepting the connections are looked at.
const lookShare = 15

// closeIdle shuts the clients' connections that rest, and tells whether that were all of them.
func (p *program) closeIdle() bool {
	all := p.clients.CloseIdle()
	return (p.mysql == nil || p.mysql.CloseIdle()) && all
}

// closeConnections shuts what connections there are, and ends the program when their peers have ended them too.
func (p *program) closeConnections() {
	if p.closing {
		return
	}
	p.closing = true
	p.gateway.Close() // where deadlines are short this may be the first time
	p.clients.Finish()
	if p.version != nil {
		p.version.reporter.Stop()
	}
	if p.members != nil {
		p.members.Stop()
	}
	if p.mysql != nil {
		p.mysql.Finish()
	}
	p.clients.WhenEmpty(func() {
		if p.mysql == nil {
			p.cancel()
			return
		}
		p.mysql.WhenEmpty(p.cancel)
	})
	p.loop.After(closeFor, p.cancel)
}

// stats logs the counts now and then.
func (p *program) stats() {
	p.loop.After(statsEvery, func() {
		c := p.gateway.Core
		if p.members != nil {
			serving, health, unsent, counts := p.members.Counts()
			p.log.Info("membership counts", "in_service", serving, "health", health, "unsent", unsent, "total", counts)
		}
		if p.digest != nil {
			p.log.Info("load report counts", "total", p.digest.Counts())
		}
		p.logMix()
		p.log.Info("counts", "total", c.Counts(), "open", c.Open(), "out", c.Out(), "lag", p.loop.Lag(), "invariants", p.keep.Broken())
		p.stats()
	})
}
