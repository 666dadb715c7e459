package datagram

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"frostpier/internal/transport/eventloop"
)

// Reporter sends datagrams to one address periodically. Each datagram contains the complete report, so that the next one replaces one that
// was lost. Its methods are called on the loop.
type Reporter struct {
	loop     *eventloop.Loop
	socket   *net.UDPConn
	interval time.Duration
	encode   func() []byte
	timer    *eventloop.Timer
	unsent   int // datagrams that could not be sent
}

// NewReporter returns a Reporter with an open socket. encode is called on the loop for each datagram; if it returns nil, none is sent.
func NewReporter(loop *eventloop.Loop, to netip.AddrPort, interval time.Duration, encode func() []byte) (*Reporter, error) {
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return nil, fmt.Errorf("open socket for reports: %w", err)
	}
	return &Reporter{loop: loop, socket: socket, interval: interval, encode: encode}, nil
}

// Send sends a datagram now, and the next one after an interval.
func (r *Reporter) Send() {
	r.timer.Stop()
	if b := r.encode(); b != nil {
		if _, err := r.socket.Write(b); err != nil {
			r.unsent++ // no process listens there or the send buffer is full; the next report replaces this one
		}
	}
	r.timer = r.loop.After(r.interval, r.Send)
}

// Unsent returns the number of datagrams that could not be sent.
func (r *Reporter) Unsent() int { return r.unsent }

// Stop stops sending and closes the socket.
func (r *Reporter) Stop() {
	r.timer.Stop()
	_ = r.socket.Close() // the socket is not used any more, so an error has no consequence
}
