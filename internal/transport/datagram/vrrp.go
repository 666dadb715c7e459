package datagram

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"

	"frostpier/internal/protocol/vrrp"
	"frostpier/internal/transport/eventloop"
)

// VRRPDriver drives a virtual router over UDP.
type VRRPDriver struct {
	loop   *eventloop.Loop
	log    *slog.Logger
	router *vrrp.Router
	sock   *net.UDPConn
	peers  []netip.AddrPort
	alarm  *eventloop.Timer
	change func(vrrp.State)
}

// NewVRRPDriver opens the socket; change runs on the loop whenever the state changes.
func NewVRRPDriver(loop *eventloop.Loop, log *slog.Logger, router *vrrp.Router, listen netip.AddrPort, peers []netip.AddrPort,
	change func(vrrp.State)) (*VRRPDriver, error) {
	sock, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("listen for VRRP: %w", err)
	}
	return &VRRPDriver{loop: loop, log: log, router: router, sock: sock, peers: peers, change: change}, nil
}

// Start is called on the loop.
func (s *VRRPDriver) Start() {
	go readDatagrams(s.loop, s.log, "vrrp", s.sock, 2048, s.received)
	s.carryOut(s.router.Startup())
}

// Stop is called on the loop; a master tells the others.
func (s *VRRPDriver) Stop() {
	s.carryOut(s.router.Shutdown())
	s.sock.Close()
}

func (s *VRRPDriver) received(from netip.AddrPort, b []byte) {
	listed := false
	for _, p := range s.peers {
		listed = listed || p == from
	}
	if !listed {
		s.log.Warn("vrrp message discarded", "from", from, "error", "no peer of this router")
		return
	}
	steps, err := s.router.Received(from.Addr(), b)
	if err != nil {
		s.log.Warn("vrrp message discarded", "from", from, "error", err)
	}
	s.carryOut(steps)
}

func (s *VRRPDriver) carryOut(steps []vrrp.Step) {
	for _, step := range steps {
		if step.Send != nil {
			for _, p := range s.peers {
				if _, err := s.sock.WriteToUDPAddrPort(step.Send, p); err != nil {
					s.log.Debug("vrrp send", "to", p, "error", err)
				}
			}
		}
		if step.Quiet || step.Alarm > 0 {
			s.alarm.Stop()
		}
		if step.Alarm > 0 {
			s.alarm = s.loop.After(step.Alarm, func() { s.carryOut(s.router.TimerFired()) })
		}
		if step.Now != nil {
			s.log.Info("vrrp state", "state", step.Now.String())
			s.change(*step.Now)
		}
	}
}
