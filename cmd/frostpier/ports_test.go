package main

import (
	"net"
	"os"
	"sync"
	"testing"
)

// portHost is a loopback address of this test process. On 127.0.0.1 any outgoing connection of another test may take a port
// between its choice here and the moment when the program listens on it.
var portHost = net.IPv4(127, 200, byte(os.Getpid()>>8), byte(1+os.Getpid()%250)).String()

// usedPorts are the addresses that freePort and freeUDP have returned, so that none is returned twice.
var usedPorts = struct {
	sync.Mutex
	tcp, udp map[string]bool
}{tcp: map[string]bool{}, udp: map[string]bool{}}

// freePort returns a TCP address on which nothing listens.
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

// freeUDP returns a UDP address on which nothing listens.
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

// reservePort chooses addresses until it has one that is not in used, and adds it there.
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
