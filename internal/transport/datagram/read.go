package datagram

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"frostpier/internal/transport/eventloop"
)

// readDatagrams is the reader goroutine of a socket: it calls handle on the loop for each datagram until the socket is closed. Datagrams
// are truncated to maxBytes, and b is valid until handle returns. name identifies the socket in log messages.
func readDatagrams(loop *eventloop.Loop, log *slog.Logger, name string, socket Socket, maxBytes int,
	handle func(from netip.AddrPort, b []byte)) {
	buf := make([]byte, maxBytes)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // typically an ICMP error, sent for a peer that does not listen
			log.Debug(name+" read failed", "error", err)
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		loop.Do(func() { handle(sender, buf[:n]) })
	}
}
