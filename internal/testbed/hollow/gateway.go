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
	"frostpier/internal/control/subset/driver"
	"frostpier/internal/core"
	"frostpier/internal/invariant"
	"frostpier/internal/protocol/discovery"
	"frostpier/internal/testbed/scale"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/enginewatch"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// shared is what all hollow gateways of a process have in common.
type shared struct {
	setup   GatewaySetup
	regions *regions
	members map[netip.AddrPort]int
	log     *slog.Logger
}

// writeRoom bounds the bytes that wait to be written by one gateway: it writes one line to the discovery server.
const writeRoom = 1 << 20

// mostLoad is one more than the highest load that a made-up report tells.
const mostLoad = 20

// gateway is a hollow gateway that runs. Its fields belong to its loop.
type gateway struct {
	number  int
	shared  *shared
	loop    *eventloop.Loop
	end     context.CancelFunc // ends the loop
	members *datagram.MembershipDriver
	digest  *loadreport.Digest
	stream  *discovery.Stream
	watch   *enginewatch.Watch
	engines map[string]subset.Engine // listed, by name
	numbers []uint64                 // of those that are ready and used, as load reports name them
	used    *subsetEngines
	subset  *driver.Driver
	random  *rand.Rand
	report  *eventloop.Timer // until the next made-up report
}

// startGateway starts a hollow gateway from nothing.
func startGateway(s *shared, member Member) (*gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gateway{number: member.Number, shared: s, loop: eventloop.New(time.Now(), writeRoom), end: cancel,
		digest: loadreport.New(), stream: &discovery.Stream{}, engines: map[string]subset.Engine{},
		random: rand.New(rand.NewPCG(s.setup.Seed, uint64(member.Number)))}
	g.used = &subsetEngines{gateway: g}
	g.subset = driver.NewDriver(s.setup.place(member), g.loop, g.used, s.log)
	if err := g.makeMembers(member); err != nil {
		cancel()
		return nil, err
	}
	g.watch = enginewatch.New(g.loop, g, s.log, s.setup.Discovery, g.stream)
	go g.loop.Run(ctx)
	g.loop.Do(func() {
		g.members.Start()
		g.subset.Start(g.members, s.setup.Subset)
		g.watch.Follow(s.setup.Discovery)
		g.planReport()
	})
	return g, nil
}

// makeMembers makes the membership protocol's node and its driver, configured as the program configures its own.
func (g *gateway) makeMembers(member Member) error {
	setup := g.shared.setup
	node, err := membership.New(membership.Config{Self: member.Number, Peers: setup.Peers, Fleet: setup.Fleet,
		Seed: setup.Seed + uint64(member.Number), Interval: setup.Interval, Extensions: []membership.Extension{g.subset.Extension(), g.digest},
		ExtensionInterval: loadreport.Interval, Weights: g.subset.ReceiverWeights})
	if err != nil {
		return fmt.Errorf("hollow gateway %d: %w", member.Number, err)
	}
	udp, err := datagram.Listen(member.Listen)
	if err != nil {
		return fmt.Errorf("hollow gateway %d: %w", member.Number, err)
	}
	socket := &regionSocket{Socket: udp, regions: g.shared.regions, self: member.Number, members: g.shared.members}
	g.members = datagram.NewMembershipDriver(g.loop, g.shared.log, invariant.New(g.shared.log), node, socket, setup.Peers, g)
	return nil
}

// InService is called when another number of gateways is held to be in service; a hollow gateway shares nothing out.
func (g *gateway) InService(int) {}

// ReceiveLoadReports takes in another gateway's load reports.
func (g *gateway) ReceiveLoadReports(body []byte) { g.digest.Receive(g.loop.Now(), body) }

// ReceiveVersion is called with another gateway's version, which a hollow one has no use for.
func (g *gateway) ReceiveVersion(int, []byte) {}

// ReceiveZones takes in the zones that another gateway reports.
func (g *gateway) ReceiveZones(member int, body []byte) { g.subset.ReceiveZones(member, body) }

// UpdateEngines takes over a list of engines and tells the load reports which engines are in service.
func (g *gateway) UpdateEngines(whole bool, lines []core.ListedEngine) (engines int) {
	if whole {
		clear(g.engines)
	}
	for _, line := range lines {
		if line.Health == policy.Gone {
			delete(g.engines, line.Name)
			continue
		}
		g.engines[line.Name] = subset.Engine{ID: core.EngineNumber(line.Name), Zone: slices.Index(g.shared.setup.Zones, line.Zone),
			Ready: line.Health == policy.Ready}
	}
	g.used.updateEngines()
	return len(g.engines)
}

// shareReports has load reports kept of the engines that are ready and used.
func (g *gateway) shareReports() {
	g.numbers = g.numbers[:0]
	for _, engine := range g.engines {
		if engine.Ready && g.used.uses(engine.ID) {
			g.numbers = append(g.numbers, engine.ID)
		}
	}
	g.digest.SetEngines(g.numbers)
}

// planReport plans the next made-up report of an engine's load: a hollow gateway sends no statements, whose answers would
// bring one.
func (g *gateway) planReport() {
	rate := g.shared.setup.ReportsPerSecond
	if rate <= 0 {
		return
	}
	wait := time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
	g.report = g.loop.After(wait, func() {
		if len(g.numbers) > 0 {
			engine := g.numbers[g.random.IntN(len(g.numbers))]
			g.digest.Record(g.loop.Now(), engine, g.random.IntN(mostLoad))
		}
		g.planReport()
	})
}

// leave tells the others that this gateway goes out of service; it goes on answering until stop.
func (g *gateway) leave() { g.loop.Do(g.members.Leave) }

// stop ends it at once.
func (g *gateway) stop() {
	g.loop.Do(func() {
		g.report.Stop()
		g.watch.Follow("")
		g.members.Stop()
	})
	g.end()
}

// state is what the gateway holds.
func (g *gateway) state(known bool) GatewayState {
	out := GatewayState{Number: g.number, Up: true}
	g.loop.Do(func() {
		out.InService, _, _, _ = g.members.Counts()
		out.Fingerprint = scale.Fingerprint(len(g.shared.setup.Peers), g.members.Serves)
		out.Version, out.Engines = g.stream.ResourceVersion(), len(g.engines)
		out.Used, out.Ready = len(g.numbers), g.ready()
		if known {
			out.EnginesKnown = g.enginesKnown()
		}
	})
	return out
}

// ready is how many listed engines are ready.
func (g *gateway) ready() (count int) {
	for _, engine := range g.engines {
		if engine.Ready {
			count++
		}
	}
	return count
}

// enginesKnown is how many engines in service the gateway knows the load of.
func (g *gateway) enginesKnown() (count int) {
	now := g.loop.Now()
	for _, number := range g.numbers {
		if _, known := g.digest.Latest(now, number); known {
			count++
		}
	}
	return count
}
