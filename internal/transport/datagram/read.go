package datagram

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"frostpier/internal/transport/eventloop"
)

// readDatagrams hands each datagram of a socket over on the loop, until the socket is closed. Bytes beyond most are cut
// off, and b is valid until take returns.
func readDatagrams(loop *eventloop.Loop, log *slog.Logger, what string, sock Socket, most int,
	take func(from netip.AddrPort, b []byte)) {
	buf := make([]byte, most)
	for {
		n, from, err := sock.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an answer that a peer is not there
			log.Debug(what+" read", "error", err)
			continue
		}
		loop.Do(func() { take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n]) })
	}
}
