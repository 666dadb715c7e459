package datagram

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"

	"frostpier/internal/protocol/vrrp"
	"frostpier/internal/transport/eventloop"
)

// maxVRRPBytes is larger than any valid advertisement.
const maxVRRPBytes = 2048

// VRRPDriver drives a virtual router over UDP. Its methods are called on the loop.
type VRRPDriver struct {
	loop          *eventloop.Loop
	log           *slog.Logger
	router        *vrrp.Router
	socket        *net.UDPConn
	peers         []netip.AddrPort
	timer         *eventloop.Timer
	onStateChange func(vrrp.State)
}

// NewVRRPDriver returns a driver with an open socket. onStateChange is called on the loop whenever the router's state has changed.
func NewVRRPDriver(loop *eventloop.Loop, log *slog.Logger, router *vrrp.Router, listen netip.AddrPort, peers []netip.AddrPort,
	onStateChange func(vrrp.State)) (*VRRPDriver, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("listen for VRRP: %w", err)
	}
	return &VRRPDriver{loop: loop, log: log, router: router, socket: socket, peers: peers, onStateChange: onStateChange}, nil
}

// Start starts the reader goroutine and the protocol.
func (d *VRRPDriver) Start() {
	go readDatagrams(d.loop, d.log, "vrrp", d.socket, maxVRRPBytes, d.received)
	d.execute(d.router.Startup())
}

// Stop stops the protocol, which a master announces to its peers, and closes the socket.
func (d *VRRPDriver) Stop() {
	d.execute(d.router.Shutdown())
	_ = d.socket.Close() // the socket is not used any more, so an error has no consequence
}

func (d *VRRPDriver) received(from netip.AddrPort, b []byte) {
	if !slices.Contains(d.peers, from) {
		d.log.Warn("vrrp message discarded", "from", from, "error", "sender is not a peer of this virtual router")
		return
	}
	steps, err := d.router.Received(from.Addr(), b)
	if err != nil {
		d.log.Warn("vrrp message discarded", "from", from, "error", err)
	}
	d.execute(steps)
}

func (d *VRRPDriver) execute(steps []vrrp.Step) {
	for _, step := range steps {
		if step.Send != nil {
			d.send(step.Send)
		}
		if step.StopTimer || step.StartTimer > 0 {
			d.timer.Stop()
		}
		if step.StartTimer > 0 {
			d.timer = d.loop.After(step.StartTimer, func() { d.execute(d.router.TimerFired()) })
		}
		if step.NewState != nil {
			d.log.Info("vrrp state changed", "state", step.NewState.String())
			d.onStateChange(*step.NewState)
		}
	}
}

// send sends an advertisement to all peers.
func (d *VRRPDriver) send(advertisement []byte) {
	for _, peer := range d.peers {
		if _, err := d.socket.WriteToUDPAddrPort(advertisement, peer); err != nil {
			d.log.Debug("vrrp send failed", "to", peer, "error", err)
		}
	}
}
