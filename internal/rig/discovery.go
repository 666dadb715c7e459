package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// Engine is an entry of the engine list as the discovery server sends it.
type Engine struct {
	Name  string `json:"instanceId"`
	Addr  string `json:"hostPort"`
	Zone  string `json:"zone"`
	Kind  string `json:"machineType"`
	State string `json:"lifecycle"`
	Began int64  `json:"startedAtMs"` // Unix milliseconds of a late start, else 0
}

// DiscoveryServer is a stand-in for the platform's: it serves the engine list as a watch of numbered events.
type DiscoveryServer struct {
	ln     net.Listener
	mu     sync.Mutex
	events []json.RawMessage
	conns  map[net.Conn]bool
	closed bool
	done   sync.WaitGroup
}

// NewDiscoveryServer starts a server whose first event lists the engines.
func NewDiscoveryServer(engines []Engine) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery server: %w", err)
	}
	b := &DiscoveryServer{ln: ln, conns: map[net.Conn]bool{}}
	b.Publish(engines)
	b.done.Add(1)
	go b.accept()
	return b, nil
}

// Addr is where it listens.
func (b *DiscoveryServer) Addr() string { return b.ln.Addr().String() }

// Publish appends an event and sends it to all connected watches.
func (b *DiscoveryServer) Publish(engines []Engine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	no := len(b.events) + 1
	e, err := json.Marshal(map[string]any{"no": no, "roster": map[string]any{"generation": no, "reset": false, "instances": engines}})
	if err != nil {
		return // no engine fails to encode
	}
	b.events = append(b.events, e)
	for nc := range b.conns {
		nc.Write(append(e, '\n'))
	}
}

// InitialEvents returns the events so far in the form of a gateway's configuration.
func (b *DiscoveryServer) InitialEvents() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{"no": len(b.events), "items": b.events}
}

// Close ends it.
func (b *DiscoveryServer) Close() {
	b.ln.Close()
	b.mu.Lock()
	b.closed = true
	for nc := range b.conns {
		nc.Close()
	}
	b.mu.Unlock()
	b.done.Wait()
}

func (b *DiscoveryServer) accept() {
	defer b.done.Done()
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.done.Add(1)
		go b.serve(nc)
	}
}

// serve sends a watch the events after the one it names, all later ones, and each second the latest resource version.
func (b *DiscoveryServer) serve(nc net.Conn) {
	defer b.done.Done()
	defer nc.Close()
	line, err := bufio.NewReader(nc).ReadString('\n')
	after := 0
	if _, scanned := fmt.Sscanf(line, "after %d", &after); err != nil || scanned != nil {
		return
	}
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	for _, e := range b.events[min(max(0, after), len(b.events)):] {
		nc.Write(append(e, '\n'))
	}
	b.conns[nc] = true
	b.mu.Unlock()
	for {
		time.Sleep(time.Second)
		b.mu.Lock()
		_, err := fmt.Fprintf(nc, "{\"no\":%d}\n", len(b.events))
		if err != nil {
			delete(b.conns, nc)
		}
		b.mu.Unlock()
		if err != nil {
			return
		}
	}
}
