package datagram

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"frostpier/internal/transport/eventloop"
)

// Reporter sends a datagram to one address at an interval. Each is complete, so that a lost one is replaced by the next. Its methods
// are called on the loop.
type Reporter struct {
	loop     *eventloop.Loop
	socket   *net.UDPConn
	interval time.Duration
	compose  func() []byte
	timer    *eventloop.Timer
	unsent   int // datagrams that could not be sent
}

// NewReporter opens the socket. compose is called on the loop and returns the next datagram, or nil for none.
func NewReporter(loop *eventloop.Loop, to netip.AddrPort, interval time.Duration, compose func() []byte) (*Reporter, error) {
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return nil, fmt.Errorf("reports: %w", err)
	}
	return &Reporter{loop: loop, socket: socket, interval: interval, compose: compose}, nil
}

// Send sends a datagram now and restarts the interval.
func (r *Reporter) Send() {
	r.timer.Stop()
	if b := r.compose(); b != nil {
		if _, err := r.socket.Write(b); err != nil {
			r.unsent++ // nobody listens there, or the buffer is full: the next one replaces it
		}
	}
	r.timer = r.loop.After(r.interval, r.Send)
}

// Unsent returns how many datagrams could not be sent.
func (r *Reporter) Unsent() int { return r.unsent }

// Stop ends the sending and closes the socket.
func (r *Reporter) Stop() {
	r.timer.Stop()
	_ = r.socket.Close() // it is not used any more
}
