// Package program wires frostpier's parts together: a gateway from its configuration to its planned stop. cmd/frostpier
// is the program; tests and cmd/fleetlab run the same with faults in it.
package program

import (
	"context"
	"errors"
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
	"frostpier/internal/subsetting"
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
	narrow, err := subsetConfig(operator.Subset, host.Zones)
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
	p := &program{loop: loop, gateway: gateway, clients: clients, keep: keep, log: log, stream: stream, longest: longest(host), host: host,
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
		p.subset = subsetting.New(placeOf(host), loop, gateway, log)
		to := peers{Gateway: gateway, subset: p.subset}
		if p.version != nil {
			to.mix = p.version.mix
		}
		if p.members, err = members(op, conf, host, loop, log, keep, p.extensions(), p.digest != nil, p.subset.ReceiverWeights, to); err != nil {
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
	listed := 0
	loop.Do(func() {
		loop.WatchLag()
		if p.members != nil {
			p.members.Start()
			p.subset.Start(p.members, narrow)
		}
		for _, e := range known {
			listed = gateway.UpdateEngines(e.Full, e.Engines)
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
	log.Info("serving", "name", conf.Name, "listen", conf.Listen, "discovery", conf.Discovery, "events", len(known), "engines", listed)
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

// program is what a stop has to reach.
type program struct {
	loop     *netio.Loop
	gateway  *netio.Gateway
	clients  *netio.Clients
	mysql    *netio.MySQLFront   // nil where it is off
	standby  *netio.Standby      // likewise
	members  *netio.Members      // likewise
	digest   *spread.Digest      // likewise
	version  *version            // likewise
	subset   *subsetting.Updater // likewise
	keep     *invariant.Keeper
	log      *slog.Logger
	stream   *discovery.Stream
	watch    *netio.Watch
	host     settings.Host
	longest  time.Duration     // deadline that a stop reckons with
	operator settings.Operator // in force
	closing  bool              // the connections are being shut
	cancel   func()
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
		c := p.gateway.Core
		if p.members != nil {
			serving, health, unsent, counts := p.members.Counts()
			p.log.Info("membership counts", "in_service", serving, "health", health, "unsent", unsent, "total", counts)
		}
		if p.digest != nil {
			p.log.Info("load report counts", "total", p.digest.Counts())
		}
		p.logMix()
		p.logSubset()
		p.log.Info("counts", "total", c.Counts(), "open", c.Open(), "out", c.Out(), "lag", p.loop.Lag(), "invariants", p.keep.Broken())
		p.stats()
	})
}
