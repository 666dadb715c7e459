package program

import (
	"fmt"
	"log/slog"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/rollout"
	"frostpier/internal/invariant"
	"frostpier/internal/settings"
	"frostpier/internal/subsetdriver"
	"frostpier/internal/transport/datagram"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
)

// membershipSetup is what membership is started with: numbers and addresses from the configuration, times from the
// operator's file.
type membershipSetup struct {
	section           *settings.Membership
	conf              settings.Config
	host              settings.Host
	extensions        []membership.Extension
	extensionInterval time.Duration    // between two datagrams for extensions alone; 0 = none
	weights           func() []float64 // of the members as their receivers; nil = equal
	listener          datagram.MembershipListener
}

// newMembership returns the driver of the membership protocol. Nothing is sent before its start.
func newMembership(s membershipSetup, loop *eventloop.Loop, log *slog.Logger, invariants *invariant.Monitor) (*datagram.MembershipDriver, error) {
	listen, peers, err := s.conf.PeerAddrs()
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if len(peers) != s.host.Module.Gateways {
		reason := fmt.Sprintf("%d peers, but the settings tell of %d gateways", len(peers), s.host.Module.Gateways)
		return nil, fmt.Errorf("membership: %w", &settings.KeyError{Source: settings.SourceConfiguration, Key: "peers", Reason: reason})
	}
	interval, timeout, suspect := s.section.Times()
	node, err := membership.New(membership.Config{
		Self: s.host.Module.GatewayIndex, Peers: peers, Fleet: s.section.Fleet, Seed: s.conf.SeedNumber(),
		Interval: interval, ProbeTimeout: timeout, SuspicionTimeout: suspect,
		Extensions: s.extensions, ExtensionInterval: s.extensionInterval, ExtensionWeights: s.weights,
	})
	if err != nil {
		return nil, err
	}
	socket, err := datagram.Listen(listen)
	if err != nil {
		return nil, err
	}
	return datagram.NewMembershipDriver(loop, log, invariants, node, socket, peers, s.listener), nil
}

// addMembership adds membership and the subsystems that use its datagrams, if the operator's file has it and the settings
// permit it.
func (p *program) addMembership(s setup) (err error) {
	section := s.operator.Membership
	if section == nil {
		return nil
	}
	if !s.host.PeerMessages {
		p.log.Warn("membership stays off: the settings do not permit messages between gateways", "key", "permissions.peer_messages")
		return nil
	}
	extensionInterval := time.Duration(0)
	if s.operator.Spread != nil {
		extensionInterval = loadreport.Interval
		p.loadReports = loadreport.New()
		p.dispatcher.Core.ShareLoadReports(p.loadReports)
	}
	p.subset = subsetdriver.NewDriver(placeInFleet(s.host), p.loop, p.dispatcher, p.log)
	listener := peerMessages{Dispatcher: p.dispatcher, subset: p.subset}
	if p.version != nil {
		listener.versions = p.version.versions
	}
	p.membership, err = newMembership(membershipSetup{
		section: section, conf: s.conf, host: s.host, extensions: p.extensions(), extensionInterval: extensionInterval,
		weights: p.subset.ReceiverWeights, listener: listener,
	}, p.loop, p.log, p.invariants)
	return err
}

// extensions returns the subsystems that piggyback messages on membership datagrams. Load reports come last: with some
// dozens of engines they fill a datagram.
func (p *program) extensions() (extensions []membership.Extension) {
	if p.subset != nil {
		extensions = append(extensions, p.subset.Extension())
	}
	if p.version != nil {
		extensions = append(extensions, p.version.versions)
	}
	if p.loadReports != nil {
		extensions = append(extensions, p.loadReports)
	}
	return extensions
}

// peerMessages hands the messages of other gateways to the subsystems that they are for. The dispatcher receives what is
// for the core.
type peerMessages struct {
	*dispatcher.Dispatcher
	versions *rollout.VersionTracker // nil where versions are not reported
	subset   *subsetdriver.Driver
}

// ReceiveVersion records the version that another gateway runs.
func (m peerMessages) ReceiveVersion(member int, body []byte) {
	if m.versions != nil {
		m.versions.Receive(member, body)
	}
}

// ReceiveZones records the zones that another gateway reports. The next update of the subset uses them.
func (m peerMessages) ReceiveZones(member int, body []byte) {
	m.subset.ReceiveZones(member, body)
}
