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

// membershipSetup contains the parameters of newMembershipDriver: gateway indexes and addresses from the configuration,
// times from the operator's file.
type membershipSetup struct {
	section           *settings.Membership
	conf              settings.Config
	host              settings.Host
	extensions        []membership.Extension
	extensionInterval time.Duration    // time between two datagrams that only carry extension messages; 0 = none are sent
	weights           func() []float64 // weight of each member as a receiver of extension datagrams; nil = equal weights
	listener          datagram.MembershipListener
}

// newMembershipDriver returns the driver of the membership protocol. It sends nothing until it is started.
func newMembershipDriver(s membershipSetup, loop *eventloop.Loop, log *slog.Logger, invariants *invariant.Monitor) (*datagram.MembershipDriver, error) {
	listen, peers, err := s.conf.PeerAddrs()
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if len(peers) != s.host.Policy.Gateways {
		reason := fmt.Sprintf("%d peers, but the settings are for %d gateways", len(peers), s.host.Policy.Gateways)
		return nil, fmt.Errorf("membership: %w", &settings.KeyError{Source: settings.SourceConfiguration, Key: "peers", Reason: reason})
	}
	interval, timeout, suspect := s.section.Times()
	node, err := membership.New(membership.Config{
		Self: s.host.Policy.GatewayIndex, Peers: peers, Fleet: s.section.Fleet, Seed: s.conf.SeedNumber(),
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

// addMembership adds membership and the subsystems that use its datagrams, if the operator's file configures membership and
// the settings permit it.
func (p *program) addMembership(s setup) (err error) {
	section := s.operator.Membership
	if section == nil {
		return nil
	}
	if !s.host.PeerMessages {
		p.log.Warn("membership disabled: the settings do not permit messages between gateways", "key", "permissions.peer_messages")
		return nil
	}
	extensionInterval := time.Duration(0)
	if s.operator.Spread != nil {
		extensionInterval = loadreport.Interval
		p.loadReports = loadreport.New()
		p.dispatcher.Core.ShareLoadReports(p.loadReports)
	}
	p.subset = subsetdriver.NewDriver(fleetLocation(s.host), p.loop, p.dispatcher, p.log)
	listener := peerMessages{Dispatcher: p.dispatcher, subset: p.subset}
	if p.reporter != nil {
		listener.versions = p.reporter.versions
	}
	p.membership, err = newMembershipDriver(membershipSetup{
		section: section, conf: s.conf, host: s.host, extensions: p.extensions(), extensionInterval: extensionInterval,
		weights: p.subset.ReceiverWeights, listener: listener,
	}, p.loop, p.log, p.invariants)
	return err
}

// extensions returns the subsystems that piggyback messages on membership datagrams, in order of precedence. Load reports
// are last, since those on a few dozen engines fill a datagram.
func (p *program) extensions() (extensions []membership.Extension) {
	if p.subset != nil {
		extensions = append(extensions, p.subset.Extension())
	}
	if p.reporter != nil {
		extensions = append(extensions, p.reporter.versions)
	}
	if p.loadReports != nil {
		extensions = append(extensions, p.loadReports)
	}
	return extensions
}

// peerMessages passes the messages from other gateways to the subsystems that handle them. The embedded dispatcher handles
// the messages for the core.
type peerMessages struct {
	*dispatcher.Dispatcher
	versions *rollout.VersionTracker // nil = versions are not reported
	subset   *subsetdriver.Driver
}

// ReceiveVersion records the version that another gateway runs.
func (m peerMessages) ReceiveVersion(member int, body []byte) {
	if m.versions != nil {
		m.versions.Receive(member, body)
	}
}

// ReceiveZones records the zones that another gateway reports. They are used by the next update of the subset.
func (m peerMessages) ReceiveZones(member int, body []byte) {
	m.subset.ReceiveZones(member, body)
}
