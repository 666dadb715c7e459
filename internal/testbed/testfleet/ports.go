package testfleet

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// loopbackAddr returns a loopback address that other programs are unlikely to use, so that the ports of a killed gateway
// are still free when it restarts.
func loopbackAddr(seed uint64) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + seed%128), byte(pid >> 8), byte(1 + pid%250)})
}

// reservePorts binds sockets to n free UDP ports. releasePorts frees them for the gateways that will listen there.
func reservePorts(addr netip.Addr, n int) (reserved []*net.UDPConn, out []netip.AddrPort, err error) {
	for range n {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)))
		if err != nil {
			releasePorts(reserved)
			return nil, nil, fmt.Errorf("free port: %w", err)
		}
		reserved = append(reserved, conn)
		out = append(out, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return reserved, out, nil
}

// FreeAddr returns a free TCP port on the loopback address that a fleet with this seed uses, as host:port.
func FreeAddr(seed uint64) (string, error) {
	addrs, err := freePorts(loopbackAddr(seed), 1)
	if err != nil {
		return "", err
	}
	return addrs[0].String(), nil
}

// freePorts finds n distinct free TCP ports. It keeps each listener open until all are found, so that no port is returned
// twice.
func freePorts(addr netip.Addr, n int) (out []netip.AddrPort, err error) {
	var reserved []net.Listener
	defer func() {
		for _, ln := range reserved {
			_ = ln.Close()
		}
	}()
	for range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(addr, 0).String())
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		reserved = append(reserved, ln)
		out = append(out, ln.Addr().(*net.TCPAddr).AddrPort())
	}
	return out, nil
}

func releasePorts(reserved []*net.UDPConn) {
	for _, conn := range reserved {
		_ = conn.Close()
	}
}
