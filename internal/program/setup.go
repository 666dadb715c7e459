package program

import (
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"frostpier/internal/control/subset"
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

// Environment variables.
const (
	envConfig   = "GW_CONFIG"          // path of the configuration file
	envListen   = "GW_LISTEN"          // overrides the key listen of the configuration; empty = no override
	envOperator = "FROSTPIER_OPERATOR" // path of the operator's file; empty = none
)

// Limits of the Go runtime.
const (
	heapLimitTenths = 6   // soft memory limit of the Go runtime, in tenths of the memory limit
	gcPercent       = 400 // the live heap is a few MB, far below the limit, and collecting less often saves CPU time
	minThreads      = 1
)

// bufferFraction is the divisor of the memory limit for the buffers of incomplete lines from clients, for those of responses that
// wait to be written, for open queries, and for what MySQL clients hold between queries. Each of the four has its own part.
const bufferFraction = 8

// setup contains the parsed configuration files of a gateway.
type setup struct {
	conf     settings.Config
	host     settings.Host
	operator settings.Operator
	subset   *subset.Config // nil = all engines are used
}

// readSetup reads the configuration and the operator's file.
func readSetup(hooks Hooks) (s setup, err error) {
	if s.conf, err = readConfig(); err != nil {
		return s, err
	}
	if listen := os.Getenv(envListen); listen != "" {
		s.conf.Listen = listen
	}
	if s.host, err = settings.ParseHost(s.conf.Settings); err != nil {
		return s, err
	}
	if hooks.ModifyHost != nil {
		hooks.ModifyHost(&s.host)
	}
	if s.operator, err = readOperator(); err != nil {
		return s, err
	}
	s.subset, err = subsetConfig(s.operator.Subset, s.host.Zones)
	return s, err
}

// readConfig reads the configuration that the platform provides.
func readConfig() (settings.Config, error) {
	text, err := os.ReadFile(os.Getenv(envConfig))
	if err != nil {
		return settings.Config{}, fmt.Errorf("%s: %w", envConfig, err)
	}
	return settings.ParseConfig(text)
}

// readOperator reads the operator's file. If the environment names none, all its sections are off.
func readOperator() (settings.Operator, error) {
	path := os.Getenv(envOperator)
	if path == "" {
		return settings.Operator{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Operator{}, fmt.Errorf("%s: %w", envOperator, err)
	}
	return settings.ParseOperator(text)
}

// memoryLimit returns the configuration's memory limit in bytes.
func memoryLimit(conf settings.Config) int64 { return conf.Limits.MemoryMB << 20 }

// bufferLimit returns the memory in bytes that each of the kinds of buffers of bufferFraction may use.
func bufferLimit(conf settings.Config) int64 { return memoryLimit(conf) / bufferFraction }

// limitRuntime sets the limits of the Go runtime to those of the configuration.
func limitRuntime(conf settings.Config) {
	runtime.GOMAXPROCS(max(minThreads, int(conf.Limits.Cores)))
	debug.SetMemoryLimit(memoryLimit(conf) * heapLimitTenths / 10)
	debug.SetGCPercent(gcPercent)
}

// newProgram creates the parts of a gateway and connects them. Nothing runs until it is started.
func newProgram(s setup, log *slog.Logger) (*program, error) {
	limit := bufferLimit(s.conf)
	loop := eventloop.New(time.Now(), limit)
	invariants := invariant.New(log)
	s.host.MaxQueryBytes = int(limit)
	c, err := core.New(s.host, s.conf.SeedNumber(), log, invariants)
	if err != nil {
		return nil, err
	}
	sockets := divideSockets(s.conf.Limits.Sockets, s.operator.MySQL != nil)
	pool := enginepool.New(loop, log, s.host.ConnectTimeout, s.host.ConnIdleTimeout, sockets.engines)
	requests := dispatcher.New(loop, c, pool, log)
	engineEvents := &discovery.Stream{}
	initialEvents, err := engineEvents.Restore(s.conf.InitialEngineEvents)
	if err != nil {
		log.Warn("invalid engine event in the configuration, relying on the discovery server", "error", err)
	}
	p := &program{
		loop: loop, dispatcher: requests, invariants: invariants, log: log, host: s.host, operator: s.operator,
		engineEvents: engineEvents, initialEvents: initialEvents, shutdownDeadline: shutdownDeadline(s.host),
		discovery: enginewatch.New(loop, requests, log, s.conf.DiscoveryAddr, engineEvents),
		platform:  frontend.NewPlatformListener(requests, log, sockets.clients.Max, int(limit)),
	}
	if err := p.addOperatorSections(s, sockets); err != nil {
		return nil, err
	}
	return p, nil
}

// addOperatorSections adds the parts that the operator's file configures. Membership is last, since it uses the others.
func (p *program) addOperatorSections(s setup, sockets socketBudgets) error {
	if err := p.addMySQL(s, sockets); err != nil {
		return err
	}
	if err := p.addVersionReporter(s); err != nil {
		return err
	}
	return p.addMembership(s)
}

// addMySQL adds the MySQL frontend and its virtual router, if they are configured.
func (p *program) addMySQL(s setup, sockets socketBudgets) (err error) {
	if m := s.operator.MySQL; m != nil {
		config, err := mysqlConfig(m, p.dispatcher.Core, sockets.mysqlClients.Max)
		if err != nil {
			return err
		}
		config.MaxMemory = int(bufferLimit(s.conf))
		engines := enginepool.New(p.loop, p.log, s.host.ConnectTimeout, s.host.ConnIdleTimeout, sockets.mysqlEngines)
		p.dispatcher.Pools = append(p.dispatcher.Pools, engines)
		p.mysql = frontend.NewMySQLListener(p.dispatcher, engines, p.log, config)
	}
	if v := s.operator.VRRP; v != nil {
		p.vrrp, err = newVRRPDriver(v, p.loop, p.log, p.mysql)
	}
	return err
}

// addVersionReporter adds the reports to the controller of a rollout, if they are configured.
func (p *program) addVersionReporter(s setup) (err error) {
	if s.operator.Rollout == nil {
		return nil
	}
	p.reporter, err = newVersionReporter(s, p.loop, p.log, p.dispatcher.Core)
	return err
}
