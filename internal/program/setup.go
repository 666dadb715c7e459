package program

import (
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/subset"
	"frostpier/internal/control/subset/driver"
	"frostpier/internal/core"
	"frostpier/internal/invariant"
	"frostpier/internal/protocol/discovery"
	"frostpier/internal/settings"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/enginewatch"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/frontend"
)

// Shares of the memory limit.
const (
	heapTenths   = 6 // of ten: the runtime's limit for the heap
	bufferParts  = 8 // one part in so many is for unfinished lines of clients, and another for what waits to be written
	leastThreads = 1
)

// setup is what a gateway is started with.
type setup struct {
	conf     settings.Config
	host     settings.Host
	operator settings.Operator
	subset   *subset.Config // nil = every engine is used
}

// readSetup reads the configuration and the operator's file.
func readSetup(hooks Hooks) (s setup, err error) {
	if s.conf, err = readConfig(); err != nil {
		return s, err
	}
	if listen := os.Getenv("GW_LISTEN"); listen != "" {
		s.conf.Listen = listen
	}
	if s.host, err = settings.ParseHost(s.conf.Settings); err != nil {
		return s, err
	}
	if hooks.Host != nil {
		hooks.Host(&s.host)
	}
	if s.operator, err = readOperator(); err != nil {
		return s, err
	}
	s.subset, err = subsetConfig(s.operator.Subset, s.host.Zones)
	return s, err
}

// memory is the memory limit in bytes.
func (s setup) memory() int64 { return s.conf.Limits.MemoryMB << 20 }

// limitRuntime keeps the Go runtime within the configuration's limits.
func limitRuntime(conf settings.Config) {
	runtime.GOMAXPROCS(max(leastThreads, int(conf.Limits.Cores)))
	debug.SetMemoryLimit(conf.Limits.MemoryMB << 20 * heapTenths / 10)
	debug.SetGCPercent(gcPercent)
}

// newProgram wires the parts of a gateway together; nothing of it runs yet.
func newProgram(s setup, log *slog.Logger) (*program, error) {
	loop := eventloop.New(time.Now(), s.memory()/bufferParts)
	keep := invariant.New(log)
	heart, err := core.New(s.host, s.conf.SeedNumber(), log, keep)
	if err != nil {
		return nil, err
	}
	shares := divide(s.conf.Limits.Sockets, s.operator.MySQL != nil)
	pool := enginepool.New(loop, log, s.host.ConnectTimeout, s.host.ConnIdle, shares.engines)
	requests := dispatcher.New(loop, heart, pool, log)
	stream := &discovery.Stream{}
	initial, err := stream.Restore(s.conf.Known)
	if err != nil {
		log.Warn("initial engine events not all used", "error", err)
	}
	p := &program{loop: loop, dispatcher: requests, keep: keep, log: log, stream: stream, initial: initial, longest: longest(s.host),
		host: s.host, operator: s.operator, watch: enginewatch.New(loop, requests, log, s.conf.Discovery, stream),
		clients: frontend.NewPlatformListener(requests, log, shares.clients.Most, int(s.memory()/bufferParts))}
	if err := p.addMySQL(s, shares); err != nil {
		return nil, err
	}
	if s.operator.Rollout != nil {
		if p.version, err = newVersion(s.operator, s.host, s.conf, loop, log, heart); err != nil {
			return nil, err
		}
	}
	return p, p.addMembership(s)
}

// addMySQL adds the MySQL front and the virtual router that it may follow, where the operator's file has them.
func (p *program) addMySQL(s setup, shares shares) (err error) {
	if m := s.operator.MySQL; m != nil {
		front, err := mysqlSetup(m, p.dispatcher.Core, shares.mysqlClients.Most)
		if err != nil {
			return err
		}
		engines := enginepool.New(p.loop, p.log, s.host.ConnectTimeout, s.host.ConnIdle, shares.mysqlEngines)
		p.dispatcher.Pools = append(p.dispatcher.Pools, engines)
		p.mysql = frontend.NewMySQLListener(p.dispatcher, engines, p.log, front)
	}
	if v := s.operator.VRRP; v != nil {
		p.standby, err = standby(v, p.loop, p.log, p.mysql)
	}
	return err
}

// addMembership adds membership and what its datagrams carry, where the operator's file has it and the settings permit it.
func (p *program) addMembership(s setup) (err error) {
	section := s.operator.Membership
	if section == nil {
		return nil
	}
	if !s.host.PeerMessages {
		p.log.Warn("membership stays off: the settings do not permit messages between gateways", "key", "permissions.peer_messages")
		return nil
	}
	if s.operator.Spread != nil {
		p.digest = loadreport.New()
		p.dispatcher.Core.ShareLoadReports(p.digest)
	}
	p.subset = driver.NewDriver(placeOf(s.host), p.loop, p.dispatcher, p.log)
	listener := peers{Dispatcher: p.dispatcher, subset: p.subset}
	if p.version != nil {
		listener.mix = p.version.mix
	}
	p.members, err = members(section, s.conf, s.host, p.loop, p.log, p.keep, p.extensions(), p.digest != nil, p.subset.ReceiverWeights,
		listener)
	return err
}
