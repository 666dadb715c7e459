package datagram

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"frostpier/internal/transport/eventloop"
)

// Reporter sends a datagram to one address again and again. What is lost is made up for by the next one.
type Reporter struct {
	loop    *eventloop.Loop
	sock    *net.UDPConn
	every   time.Duration
	compose func() []byte
	alarm   *eventloop.Timer
	unsent  int
}

// NewReporter opens the socket; compose is called on the loop for each datagram, and nil sends none.
func NewReporter(loop *eventloop.Loop, to netip.AddrPort, every time.Duration, compose func() []byte) (*Reporter, error) {
	sock, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return nil, fmt.Errorf("reports: %w", err)
	}
	return &Reporter{loop: loop, sock: sock, every: every, compose: compose}, nil
}

// Send is called on the loop: it sends one now, and the next ones from now on.
func (r *Reporter) Send() {
	r.alarm.Stop()
	if b := r.compose(); b != nil {
		if _, err := r.sock.Write(b); err != nil {
			r.unsent++ // nobody listens there, or the buffer is full: counted only
		}
	}
	r.alarm = r.loop.After(r.every, r.Send)
}

// Unsent is how many datagrams the system did not take.
func (r *Reporter) Unsent() int { return r.unsent }

// Stop is called on the loop.
func (r *Reporter) Stop() {
	r.alarm.Stop()
	r.sock.Close()
}
