package main

import (
	"net"
	"os"
	"sync"
	"testing"
)

// portHost is a loopback address that only this test process uses. On 127.0.0.1, an outgoing connection of another test could take a
// port after freePort has returned it and before the program listens on it.
var portHost = net.IPv4(127, 200, byte(os.Getpid()>>8), byte(1+os.Getpid()%250)).String()

// usedPorts holds the addresses that freePort and freeUDP have returned, so that no address is returned twice.
var usedPorts = struct {
	sync.Mutex
	tcp, udp map[string]bool
}{tcp: map[string]bool{}, udp: map[string]bool{}}

// freePort returns an unused TCP address.
func freePort(t *testing.T) string {
	t.Helper()
	return reservePort(t, usedPorts.tcp, func() (string, error) {
		listener, err := net.Listen("tcp", net.JoinHostPort(portHost, "0"))
		if err != nil {
			return "", err
		}
		return listener.Addr().String(), listener.Close()
	})
}

// freeUDP returns an unused UDP address.
func freeUDP(t *testing.T) string {
	t.Helper()
	return reservePort(t, usedPorts.udp, func() (string, error) {
		sock, err := net.ListenPacket("udp4", net.JoinHostPort(portHost, "0"))
		if err != nil {
			return "", err
		}
		return sock.LocalAddr().String(), sock.Close()
	})
}

// reservePort calls choose until it returns an address that is not in used, and adds the address to used.
func reservePort(t *testing.T, used map[string]bool, choose func() (string, error)) string {
	t.Helper()
	usedPorts.Lock()
	defer usedPorts.Unlock()
	for {
		addr, err := choose()
		if err != nil {
			t.Fatal(err)
		}
		if !used[addr] {
			used[addr] = true
			return addr
		}
	}
}
