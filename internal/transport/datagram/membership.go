// Package datagram drives what gateways send each other over UDP: the membership protocol, VRRP advertisements, and reports to the
// controller of a staged change. It owns the sockets and timers of these state machines and decides nothing. Each socket has a
// reading goroutine; all else runs on the event loop.
package datagram

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/rollout"
	"frostpier/internal/control/zonetable"
	"frostpier/internal/invariant"
	"frostpier/internal/transport/eventloop"
)

// readMost is more than a datagram may have: one that is too long must be seen to be.
const readMost = 2 * membership.MaxDatagram

// Socket carries datagrams between members: a UDP socket, or one that a test rig cuts links in.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Listen opens the UDP socket on which the datagrams of peers arrive.
func Listen(listen netip.AddrPort) (*net.UDPConn, error) {
	sock, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return sock, nil
}

// MembershipListener receives what the other gateways send. It is called on the loop.
type MembershipListener interface {
	// InService is called whenever another number of gateways is held to be in service.
	InService(gateways int)
	// ReceiveLoadReports is called with each load report message of another gateway.
	ReceiveLoadReports(body []byte)
	// ReceiveVersion is called with each version message of another gateway.
	ReceiveVersion(member int, body []byte)
	// ReceiveZones is called with each message of another gateway on the zones that gateways are in.
	ReceiveZones(member int, body []byte)
}

// MembershipDriver drives the membership protocol over UDP.
type MembershipDriver struct {
	loop     *eventloop.Loop
	log      *slog.Logger
	keep     *invariant.Keeper
	node     *membership.Node
	peers    []netip.AddrPort
	sock     Socket
	alarm    *eventloop.Timer
	listener MembershipListener
	serving  int // as last reported to the listener
	unsent   int // datagrams that the system did not take
}

// NewMembershipDriver makes a driver that sends and receives on sock; Stop closes it.
func NewMembershipDriver(loop *eventloop.Loop, log *slog.Logger, keep *invariant.Keeper, node *membership.Node, sock Socket,
	peers []netip.AddrPort, to MembershipListener) *MembershipDriver {
	return &MembershipDriver{loop: loop, log: log, keep: keep, node: node, peers: peers, sock: sock, listener: to,
		serving: node.InService()}
}

// Start is called on the loop.
func (m *MembershipDriver) Start() {
	go readDatagrams(m.loop, m.log, "peers", m.sock, readMost, m.received)
	m.node.Start(m.loop.Now())
	m.carryOut()
}

// Leave is called on the loop: the others are told that this gateway goes out of service. It goes on answering them.
func (m *MembershipDriver) Leave() {
	m.node.Leave(m.loop.Now())
	m.carryOut()
}

// Adjust is called on the loop, for times that may change while the protocol runs; 0 means the default.
func (m *MembershipDriver) Adjust(timeout, suspect time.Duration) error {
	return m.node.Adjust(timeout, suspect)
}

// Serves reports whether a member is held to be in service. It is called on the loop.
func (m *MembershipDriver) Serves(member int) bool {
	state, _ := m.node.Member(member)
	return state.Serves()
}

// Started reports when a member last started, by its own Unix clock; 0 where it was never heard of. It is called on the loop.
func (m *MembershipDriver) Started(member int) time.Duration {
	_, incarnation := m.node.Member(member)
	return time.Duration(incarnation) * time.Second
}

// Stop is called on the loop.
func (m *MembershipDriver) Stop() {
	m.alarm.Stop()
	m.sock.Close()
}

func (m *MembershipDriver) received(from netip.AddrPort, b []byte) {
	m.node.Receive(m.loop.Now(), from, b)
	m.carryOut()
}

func (m *MembershipDriver) carryOut() {
	for _, d := range m.node.Datagrams() {
		if _, err := m.sock.WriteToUDPAddrPort(d.Bytes, m.peers[d.To]); err != nil {
			m.unsent++ // counted only: to the protocol it is one more that was lost
		}
	}
	for _, e := range m.node.Events() {
		switch {
		case e.Kind == membership.ExtensionReceived && e.ExtensionKind == loadreport.ExtensionKind:
			m.listener.ReceiveLoadReports(e.Body)
			continue
		case e.Kind == membership.ExtensionReceived && e.ExtensionKind == rollout.ExtensionKind:
			m.listener.ReceiveVersion(e.Member, e.Body)
			continue
		case e.Kind == membership.ExtensionReceived && e.ExtensionKind == zonetable.ExtensionKind:
			m.listener.ReceiveZones(e.Member, e.Body)
			continue
		}
		m.logEvent(e)
	}
	if invariant.Checks {
		err := m.node.Check()
		m.keep.Holds(err == nil, "membership", "error", err)
	}
	m.alarm.Stop()
	m.alarm = m.loop.After(m.node.Next()-m.loop.Now(), func() {
		m.node.Tick(m.loop.Now())
		m.carryOut()
	})
	if n := m.node.InService(); n != m.serving {
		m.serving = n
		m.listener.InService(n)
	}
}

// logEvent logs what a person would want to know: who goes out of service and who comes back. A suspicion comes to
// nothing as a rule: it is for debugging.
func (m *MembershipDriver) logEvent(e membership.Event) {
	level, msg := slog.LevelInfo, "member changed"
	switch {
	case e.Kind == membership.Refuted:
		msg = "refuted that this gateway is out of service"
	case e.Kind != membership.Changed:
		return
	case e.Was.Serves() && e.Is.Serves():
		level, msg = slog.LevelDebug, "member suspected or cleared"
	case e.Is == membership.Dead:
		level = slog.LevelWarn
	}
	m.log.Log(context.Background(), level, msg, "member", e.Member, "was", e.Was.String(), "is", e.Is.String(),
		"by", e.By, "incarnation", e.Incarnation, "in_service", m.node.InService())
}

// Counts is for the log.
func (m *MembershipDriver) Counts() (inService, health, unsent int, c membership.Counts) {
	return m.node.InService(), m.node.Health(), m.unsent, m.node.Counts()
}
