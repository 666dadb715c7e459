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

// hostConfig is what all hollow gateways of a process share.
type hostConfig struct {
	setup   GatewaySetup
	regions *regions
	members map[netip.AddrPort]int
	log     *slog.Logger
}

// writeBufferLimit bounds the bytes that a gateway has to write, in bytes: it writes one line to the discovery server.
const writeBufferLimit = 1 << 20

// syntheticLoads is how many loads a synthetic report may have: from 0 queries on.
const syntheticLoads = 20

// gateway is a hollow gateway that runs. Only its event loop accesses the fields.
type gateway struct {
	number      int
	host        *hostConfig
	loop        *eventloop.Loop
	cancel      context.CancelFunc // ends the loop
	membership  *datagram.MembershipDriver
	digest      *loadreport.Digest
	stream      *discovery.Stream
	watch       *enginewatch.Watch
	engines     map[string]subset.Engine // listed, by name
	reported    []uint64                 // IDs of the engines that are ready and used
	used        *subsetEngines
	subset      *subsetdriver.Driver
	random      *rand.Rand
	reportTimer *eventloop.Timer // for the next synthetic load report
}

// startGateway starts a hollow gateway, which stop ends.
func startGateway(s *hostConfig, member Member) (*gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gateway{number: member.Number, host: s, loop: eventloop.New(time.Now(), writeBufferLimit), cancel: cancel,
		digest: loadreport.New(), stream: &discovery.Stream{}, engines: map[string]subset.Engine{},
		random: rand.New(rand.NewPCG(s.setup.Seed, uint64(member.Number)))}
	g.used = &subsetEngines{gateway: g}
	g.subset = subsetdriver.NewDriver(s.setup.place(member), g.loop, g.used, s.log)
	if err := g.newMembership(member); err != nil {
		cancel()
		return nil, err
	}
	g.watch = enginewatch.New(g.loop, g, s.log, s.setup.DiscoveryAddr, g.stream)
	go g.loop.Run(ctx)
	g.loop.Do(func() {
		g.membership.Start()
		g.subset.Start(g.membership, s.setup.Subset)
		g.watch.SetServer(s.setup.DiscoveryAddr)
		g.scheduleReport()
	})
	return g, nil
}

// newMembership creates the node of the membership protocol and its driver, configured as in the program.
func (g *gateway) newMembership(member Member) error {
	setup := g.host.setup
	node, err := membership.New(membership.Config{Self: member.Number, Peers: setup.Peers, Fleet: setup.Fleet,
		Seed: setup.Seed + uint64(member.Number), Interval: setup.Interval, Extensions: []membership.Extension{g.subset.Extension(), g.digest},
		ExtensionInterval: loadreport.Interval, ExtensionWeights: g.subset.ReceiverWeights})
	if err != nil {
		return fmt.Errorf("hollow gateway %d: %w", member.Number, err)
	}
	udp, err := datagram.Listen(member.Listen)
	if err != nil {
		return fmt.Errorf("hollow gateway %d: %w", member.Number, err)
	}
	socket := &regionSocket{Socket: udp, regions: g.host.regions, self: member.Number, members: g.host.members}
	g.membership = datagram.NewMembershipDriver(g.loop, g.host.log, invariant.New(g.host.log), node, socket, setup.Peers, g)
	return nil
}

// InServiceChanged is called when the number of gateways in service changes; a hollow gateway has no quotas to divide.
func (g *gateway) InServiceChanged(int) {}

// ReceiveLoadReports applies another gateway's load reports.
func (g *gateway) ReceiveLoadReports(body []byte) { g.digest.Receive(g.loop.Now(), body) }

// ReceiveVersion is called with another gateway's version, which a hollow one has no use for.
func (g *gateway) ReceiveVersion(int, []byte) {}

// ReceiveZones applies the zones that another gateway reports.
func (g *gateway) ReceiveZones(member int, body []byte) { g.subset.ReceiveZones(member, body) }

// UpdateEngines applies an event of the engine list and returns how many engines are listed.
func (g *gateway) UpdateEngines(full bool, entries []core.ListedEngine) (engines int) {
	if full {
		clear(g.engines)
	}
	for _, entry := range entries {
		if entry.Health == policy.Gone {
			delete(g.engines, entry.Name)
			continue
		}
		g.engines[entry.Name] = subset.Engine{ID: core.EngineNumber(entry.Name), Zone: slices.Index(g.host.setup.Zones, entry.Zone),
			Ready: entry.Health == policy.Ready}
	}
	g.used.updateEngines()
	return len(g.engines)
}

// updateReported has the load reports of the engines kept that are ready and used.
func (g *gateway) updateReported() {
	g.reported = g.reported[:0]
	for _, engine := range g.engines {
		if engine.Ready && g.used.uses(engine.ID) {
			g.reported = append(g.reported, engine.ID)
		}
	}
	g.digest.SetEngines(g.reported)
}

// scheduleReport schedules the next synthetic report of an engine's load: a hollow gateway sends no statements, whose answers
// would carry one.
func (g *gateway) scheduleReport() {
	rate := g.host.setup.ReportsPerSecond
	if rate <= 0 {
		return
	}
	wait := time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
	g.reportTimer = g.loop.After(wait, func() {
		if len(g.reported) > 0 {
			engine := g.reported[g.random.IntN(len(g.reported))]
			g.digest.Record(g.loop.Now(), engine, g.random.IntN(syntheticLoads))
		}
		g.scheduleReport()
	})
}

// leave announces that this gateway leaves; it goes on answering until stop.
func (g *gateway) leave() { g.loop.Do(g.membership.Leave) }

// stop ends the gateway at once, without an announcement.
func (g *gateway) stop() {
	g.loop.Do(func() {
		g.reportTimer.Stop()
		g.watch.SetServer("")
		g.membership.Stop()
	})
	g.cancel()
}

// state returns what the gateway knows. With countKnown it also counts the engines whose load is known.
func (g *gateway) state(countKnown bool) GatewayState {
	out := GatewayState{Number: g.number, Up: true}
	g.loop.Do(func() {
		out.InService, _, _, _ = g.membership.Counts()
		out.Fingerprint = scale.Fingerprint(len(g.host.setup.Peers), g.membership.IsInService)
		out.EngineListVersion, out.Engines = g.stream.ResourceVersion(), len(g.engines)
		out.Used, out.Ready = len(g.reported), g.readyEngines()
		if countKnown {
			out.EnginesKnown = g.knownEngines()
		}
	})
	return out
}

// readyEngines is how many listed engines are ready.
func (g *gateway) readyEngines() (count int) {
	for _, engine := range g.engines {
		if engine.Ready {
			count++
		}
	}
	return count
}

// knownEngines is how many of the reported engines the gateway knows the load of.
func (g *gateway) knownEngines() (count int) {
	now := g.loop.Now()
	for _, number := range g.reported {
		if _, known := g.digest.Latest(now, number); known {
			count++
		}
	}
	return count
}
