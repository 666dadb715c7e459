package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/subset"
	"frostpier/internal/core"
	"frostpier/internal/invariant"
	"frostpier/internal/protocol/discovery"
	"frostpier/internal/subsetdriver"
	"frostpier/internal/testbed/scale"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/enginewatch"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// sharedConfig is the configuration and state shared by all hollow gateways of a process.
type sharedConfig struct {
	setup   GatewaySetup
	regions *regions
	members map[netip.AddrPort]int // member numbers by address
	log     *slog.Logger
}

// writeBufferLimit limits a gateway's unsent data, in bytes. A hollow gateway writes only a short request to the discovery
// server.
const writeBufferLimit = 1 << 20

// syntheticLoadLimit is the exclusive upper bound of the queries in a synthetic load report.
const syntheticLoadLimit = 20

// gateway is a running hollow gateway. Only its event loop accesses the mutable fields.
type gateway struct {
	number         int
	shared         *sharedConfig
	loop           *eventloop.Loop
	cancel         context.CancelFunc // stops the event loop
	membership     *datagram.MembershipDriver
	digest         *loadreport.Digest
	stream         *discovery.Stream
	watch          *enginewatch.Watch
	engines        map[string]subset.Engine // all listed engines, by name
	trackedEngines []uint64                 // IDs of the ready engines in the subset, whose load reports are kept
	dispatcher     *subsetDispatcher
	subsetDriver   *subsetdriver.Driver
	random         *rand.Rand
	reportTimer    *eventloop.Timer // for the next synthetic load report
}

// startGateway starts a hollow gateway. The caller stops it with stop.
func startGateway(s *sharedConfig, member Member) (*gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gateway{number: member.Number, shared: s, loop: eventloop.New(time.Now(), writeBufferLimit), cancel: cancel,
		digest: loadreport.New(), stream: &discovery.Stream{}, engines: map[string]subset.Engine{},
		random: rand.New(rand.NewPCG(s.setup.Seed, uint64(member.Number)))}
	g.dispatcher = &subsetDispatcher{gateway: g}
	g.subsetDriver = subsetdriver.NewDriver(s.setup.location(member), g.loop, g.dispatcher, s.log)
	if err := g.newMembership(member); err != nil {
		cancel()
		return nil, err
	}
	g.watch = enginewatch.New(g.loop, g, s.log, s.setup.DiscoveryAddr, g.stream)
	go g.loop.Run(ctx)
	g.loop.Do(func() {
		g.membership.Start()
		g.subsetDriver.Start(g.membership, s.setup.Subset)
		g.watch.SetServer(s.setup.DiscoveryAddr)
		g.scheduleReport()
	})
	return g, nil
}

// newMembership creates the membership node and its driver, with the same configuration as in the program.
func (g *gateway) newMembership(member Member) error {
	setup := g.shared.setup
	node, err := membership.New(membership.Config{Self: member.Number, Peers: setup.Peers, Fleet: setup.Fleet,
		Seed: setup.Seed + uint64(member.Number), Interval: setup.Interval, Extensions: []membership.Extension{g.subsetDriver.Extension(), g.digest},
		ExtensionInterval: loadreport.Interval, ExtensionWeights: g.subsetDriver.ReceiverWeights})
	if err != nil {
		return fmt.Errorf("hollow gateway %d: %w", member.Number, err)
	}
	udp, err := datagram.Listen(member.Listen)
	if err != nil {
		return fmt.Errorf("hollow gateway %d: %w", member.Number, err)
	}
	socket := &partitionSocket{Socket: udp, regions: g.shared.regions, self: member.Number, members: g.shared.members}
	g.membership = datagram.NewMembershipDriver(g.loop, g.shared.log, invariant.New(g.shared.log), node, socket, setup.Peers, g)
	return nil
}

// InServiceChanged is called when the number of gateways in service changes. It does nothing, because a hollow gateway has
// no quotas to divide.
func (g *gateway) InServiceChanged(int) {}

// ReceiveLoadReports applies another gateway's load reports.
func (g *gateway) ReceiveLoadReports(body []byte) { g.digest.Receive(g.loop.Now(), body) }

// ReceiveVersion is called with another gateway's version, which a hollow gateway ignores.
func (g *gateway) ReceiveVersion(int, []byte) {}

// ReceiveZones applies the zones reported by another gateway.
func (g *gateway) ReceiveZones(member int, body []byte) { g.subsetDriver.ReceiveZones(member, body) }

// UpdateEngines applies an update of the engine list, or replaces the list if full, and returns the number of listed
// engines.
func (g *gateway) UpdateEngines(full bool, entries []core.ListedEngine) (engines int) {
	if full {
		clear(g.engines)
	}
	for _, entry := range entries {
		if entry.Health == policy.Gone {
			delete(g.engines, entry.Name)
			continue
		}
		g.engines[entry.Name] = subset.Engine{ID: core.EngineNumber(entry.Name), Zone: slices.Index(g.shared.setup.Zones, entry.Zone),
			Ready: entry.Health == policy.Ready}
	}
	g.dispatcher.updateEngines()
	return len(g.engines)
}

// updateTrackedEngines makes the digest keep the load reports of the ready engines in the subset.
func (g *gateway) updateTrackedEngines() {
	g.trackedEngines = g.trackedEngines[:0]
	for _, engine := range g.engines {
		if engine.Ready && g.dispatcher.uses(engine.ID) {
			g.trackedEngines = append(g.trackedEngines, engine.ID)
		}
	}
	g.digest.SetEngines(g.trackedEngines)
}

// scheduleReport schedules the next synthetic load report of an engine. A hollow gateway sends no statements, so it receives
// no load reports in answers.
func (g *gateway) scheduleReport() {
	rate := g.shared.setup.ReportsPerSecond
	if rate <= 0 {
		return
	}
	wait := time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
	g.reportTimer = g.loop.After(wait, func() {
		if len(g.trackedEngines) > 0 {
			engine := g.trackedEngines[g.random.IntN(len(g.trackedEngines))]
			g.digest.Record(g.loop.Now(), engine, g.random.IntN(syntheticLoadLimit))
		}
		g.scheduleReport()
	})
}

// leave announces that this gateway leaves. The gateway continues to answer membership messages until stop.
func (g *gateway) leave() { g.loop.Do(g.membership.Leave) }

// stop stops the gateway immediately, without an announcement.
func (g *gateway) stop() {
	g.loop.Do(func() {
		g.reportTimer.Stop()
		g.watch.SetServer("")
		g.membership.Stop()
	})
	g.cancel()
}

// state returns the state of the gateway. If countKnown is set, it also counts the engines whose load is known.
func (g *gateway) state(countKnown bool) GatewayState {
	out := GatewayState{Number: g.number, Running: true}
	g.loop.Do(func() {
		out.InService, _, _, _ = g.membership.Counts()
		out.Fingerprint = scale.Fingerprint(len(g.shared.setup.Peers), g.membership.IsInService)
		out.EngineListVersion, out.Engines = g.stream.ResourceVersion(), len(g.engines)
		out.UsedEngines, out.ReadyEngines = len(g.trackedEngines), g.countReadyEngines()
		if countKnown {
			out.EnginesWithKnownLoad = g.countKnownLoads()
		}
	})
	return out
}

// countReadyEngines returns the number of listed engines that are ready.
func (g *gateway) countReadyEngines() (count int) {
	for _, engine := range g.engines {
		if engine.Ready {
			count++
		}
	}
	return count
}

// countKnownLoads returns the number of tracked engines whose load the gateway knows.
func (g *gateway) countKnownLoads() (count int) {
	now := g.loop.Now()
	for _, number := range g.trackedEngines {
		if _, known := g.digest.Latest(now, number); known {
			count++
		}
	}
	return count
}
