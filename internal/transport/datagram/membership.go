// Package datagram drives a gateway's protocols over UDP: the membership protocol, VRRP, and the reports to the rollout controller. It owns
// their sockets and timers; the protocol logic is in the state machines. Each socket that receives has a reader goroutine, which returns
// when the socket is closed. All other code runs on the event loop.
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

// maxReadBytes is larger than any valid datagram, so that an oversized datagram is not truncated to a valid one.
const maxReadBytes = 2 * membership.MaxDatagramSize

// Socket sends and receives datagrams of the membership protocol. It is a UDP socket, or a wrapper that drops datagrams in tests.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Listen opens the UDP socket for datagrams from peers.
func Listen(listen netip.AddrPort) (*net.UDPConn, error) {
	sock, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return sock, nil
}

// MembershipListener receives membership changes and messages from other gateways. It is called on the loop.
type MembershipListener interface {
	// InServiceChanged is called whenever the number of gateways in service has changed.
	InServiceChanged(gateways int)
	// ReceiveLoadReports is called with each load report message from another gateway.
	ReceiveLoadReports(body []byte)
	// ReceiveVersion is called with each version message from another gateway.
	ReceiveVersion(member int, body []byte)
	// ReceiveZones is called with each zone table message from another gateway.
	ReceiveZones(member int, body []byte)
}

// MembershipDriver drives the membership protocol over UDP. Its methods are called on the loop.
type MembershipDriver struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	invariants *invariant.Monitor
	node       *membership.Node
	peers      []netip.AddrPort
	socket     Socket
	timer      *eventloop.Timer
	listener   MembershipListener
	inService  int // number of gateways last reported to the listener
	unsent     int // datagrams that could not be sent
}

// NewMembershipDriver returns a driver that sends and receives on socket, which Stop closes. peers contains the addresses of all members,
// by member number.
func NewMembershipDriver(loop *eventloop.Loop, log *slog.Logger, invariants *invariant.Monitor, node *membership.Node, socket Socket,
	peers []netip.AddrPort, listener MembershipListener) *MembershipDriver {
	return &MembershipDriver{
		loop:       loop,
		log:        log,
		invariants: invariants,
		node:       node,
		peers:      peers,
		socket:     socket,
		listener:   listener,
		inService:  node.NumInService(),
	}
}

// Start starts the reader goroutine and the protocol.
func (m *MembershipDriver) Start() {
	go readDatagrams(m.loop, m.log, "peers", m.socket, maxReadBytes, m.received)
	m.node.Start(m.loop.Now())
	m.execute()
}

// Leave announces that this gateway leaves service. It still responds to the other members.
func (m *MembershipDriver) Leave() {
	m.node.Leave(m.loop.Now())
	m.execute()
}

// SetTimeouts changes the probe timeout and the suspicion timeout of the running protocol; 0 means the default.
func (m *MembershipDriver) SetTimeouts(probe, suspicion time.Duration) error {
	return m.node.SetTimeouts(probe, suspicion)
}

// IsInService reports whether a member is in service.
func (m *MembershipDriver) IsInService(member int) bool {
	state, _ := m.node.Member(member)
	return state.InService()
}

// StartTime returns the Unix time at which a member last started, according to the member's own clock, or 0 if it is unknown.
func (m *MembershipDriver) StartTime(member int) time.Duration {
	_, incarnation := m.node.Member(member)
	return time.Duration(incarnation) * time.Second
}

// Stop stops the protocol and closes the socket.
func (m *MembershipDriver) Stop() {
	m.timer.Stop()
	_ = m.socket.Close() // the socket is not used any more, so an error has no consequence
}

func (m *MembershipDriver) received(from netip.AddrPort, b []byte) {
	m.node.Receive(m.loop.Now(), from, b)
	m.execute()
}

// execute sends the node's pending datagrams, handles its events and restarts its timer. It is called after every change of the node.
func (m *MembershipDriver) execute() {
	m.sendDatagrams()
	for _, e := range m.node.Events() {
		m.handle(e)
	}
	if invariant.ExpensiveChecks {
		err := m.node.CheckInvariants()
		m.invariants.Check(err == nil, "membership", "error", err)
	}
	m.restartTimer()
	if n := m.node.NumInService(); n != m.inService {
		m.inService = n
		m.listener.InServiceChanged(n)
	}
}

func (m *MembershipDriver) sendDatagrams() {
	for _, d := range m.node.Datagrams() {
		if _, err := m.socket.WriteToUDPAddrPort(d.Bytes, m.peers[d.To]); err != nil {
			m.unsent++ // the protocol tolerates lost datagrams
		}
	}
}

func (m *MembershipDriver) restartTimer() {
	m.timer.Stop()
	m.timer = m.loop.After(m.node.NextTick()-m.loop.Now(), func() {
		m.node.Tick(m.loop.Now())
		m.execute()
	})
}

// handle passes messages from other gateways to the listener, and logs all other events.
func (m *MembershipDriver) handle(e membership.Event) {
	if e.Kind != membership.ExtensionReceived {
		m.logEvent(e)
		return
	}
	switch e.ExtensionKind {
	case loadreport.ExtensionKind:
		m.listener.ReceiveLoadReports(e.Body)
	case rollout.ExtensionKind:
		m.listener.ReceiveVersion(e.Member, e.Body)
	case zonetable.ExtensionKind:
		m.listener.ReceiveZones(e.Member, e.Body)
	}
}

// logEvent logs state changes of members. Suspicions are logged at debug level only, since most of them are refuted.
func (m *MembershipDriver) logEvent(e membership.Event) {
	level, msg := slog.LevelInfo, "member changed"
	switch {
	case e.Kind == membership.Refuted:
		msg = "refuted that this gateway is out of service"
	case e.Kind != membership.StateChanged:
		return
	case e.OldState.InService() && e.NewState.InService():
		level, msg = slog.LevelDebug, "member suspicion changed"
	case e.NewState == membership.Dead:
		level = slog.LevelWarn
	}
	m.log.Log(context.Background(), level, msg, "member", e.Member, "was", e.OldState.String(), "is", e.NewState.String(),
		"by", e.ReportedBy, "incarnation", e.Incarnation, "in_service", m.node.NumInService())
}

// Counts returns the number of gateways in service, the local health score, the number of datagrams that could not be sent, and the
// protocol's counters.
func (m *MembershipDriver) Counts() (inService, health, unsent int, c membership.Counts) {
	return m.node.NumInService(), m.node.HealthScore(), m.unsent, m.node.Counts()
}
