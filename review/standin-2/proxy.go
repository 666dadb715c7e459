package main

import (
	"bytes"
	"net"
	"sync"
)

// proxy stands between the gateway and an engine's MySQL address. It can reset the connection on which a certain statement was sent.
type proxy struct {
	addr   string
	target string
	mu     sync.Mutex
	sent   map[net.Conn][]byte // bytes that the gateway has sent, by its connection
	peers  map[net.Conn]net.Conn
}

func startProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: ln.Addr().String(), target: target, sent: map[net.Conn][]byte{}, peers: map[net.Conn]net.Conn{}}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(near)
		}
	}()
	return p, nil
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.peers[near] = far
	p.mu.Unlock()
	go func() {
		pump(near, far, nil)
		_ = near.Close()
	}()
	pump(far, near, func(b []byte) {
		p.mu.Lock()
		p.sent[near] = append(p.sent[near], b...)
		p.mu.Unlock()
	})
	_ = far.Close()
}

// pump copies from one connection to the other.
func pump(to, from net.Conn, seen func([]byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if seen != nil {
				seen(buf[:n])
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// resetCarrier resets, on both sides, the connection on which the gateway has sent a text. It reports whether there is one.
func (p *proxy) resetCarrier(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for near, sent := range p.sent {
		if bytes.Contains(sent, []byte(text)) {
			reset(near)
			reset(p.peers[near])
			return true
		}
	}
	return false
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
