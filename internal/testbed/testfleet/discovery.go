package testfleet

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
	Name        string `json:"instanceId"`
	Addr        string `json:"hostPort"`
	Zone        string `json:"zone"`
	Kind        string `json:"machineType"`
	State       string `json:"lifecycle"`
	StartedAtMS int64  `json:"startedAtMs"` // Unix milliseconds of a late start, else 0
}

// Times of a watch's connection.
const (
	heartbeatInterval   = time.Second      // between two lines with the resource version alone
	watcherWriteTimeout = 10 * time.Second // a watch that reads nothing for so long is closed
)

// DiscoveryServer emulates the platform's: it serves the engine list as a watch of numbered events. Each watch has a
// goroutine of its own, so that one that reads slowly delays no other.
type DiscoveryServer struct {
	listener   net.Listener
	mu         sync.Mutex
	events     []json.RawMessage
	changed    chan struct{} // closed when an event is added
	conns      map[net.Conn]bool
	sent       int64 // bytes, to all watches
	closed     bool
	goroutines sync.WaitGroup
}

// NewDiscoveryServer starts a server on a free loopback port, whose first event names the engines. Close ends it.
func NewDiscoveryServer(engines []Engine) (*DiscoveryServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery server: %w", err)
	}
	s := &DiscoveryServer{listener: listener, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	s.Publish(engines)
	s.goroutines.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *DiscoveryServer) Addr() string { return s.listener.Addr().String() }

// rosterEvent is an event on the wire.
type rosterEvent struct {
	Number int    `json:"no"`
	Roster roster `json:"roster"`
}

type roster struct {
	Generation int      `json:"generation"`
	Reset      bool     `json:"reset"` // the list is complete: engines that it does not name have gone
	Instances  []Engine `json:"instances"`
}

// Publish appends an event that names engines which have changed, and sends it to all connected watches.
func (s *DiscoveryServer) Publish(engines []Engine) { s.appendEvent(engines, false) }

// PublishFull appends an event that holds the full list, and sends it to all connected watches.
func (s *DiscoveryServer) PublishFull(engines []Engine) { s.appendEvent(engines, true) }

// appendEvent appends an event and wakes all watches.
func (s *DiscoveryServer) appendEvent(engines []Engine, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.events) + 1
	event, err := json.Marshal(rosterEvent{Number: number, Roster: roster{Generation: number, Reset: full, Instances: engines}})
	if err != nil {
		return // no engine fails to encode
	}
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ResourceVersion returns the number of the last event.
func (s *DiscoveryServer) ResourceVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.events))
}

// Traffic returns how many bytes have been sent to all watches, and how many watches are connected.
func (s *DiscoveryServer) Traffic() (bytes int64, watchers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent, len(s.conns)
}

// Disconnect closes all watches; the gateways connect again.
func (s *DiscoveryServer) Disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// InitialEvents returns the events so far in the form of a gateway's configuration.
func (s *DiscoveryServer) InitialEvents() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{"no": len(s.events), "items": s.events}
}

// Close ends the server and waits for its goroutines.
func (s *DiscoveryServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *DiscoveryServer) accept() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.register(conn) {
			_ = conn.Close()
			return
		}
		go s.serve(conn)
	}
}

// register adds a watch to those that Close ends, unless the server is closed.
func (s *DiscoveryServer) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	s.goroutines.Add(1)
	return true
}

// serve sends a watch the events after the one it names, all later ones, and each second the latest resource version.
func (s *DiscoveryServer) serve(conn net.Conn) {
	defer s.goroutines.Done()
	defer s.unregister(conn)
	line, err := bufio.NewReader(conn).ReadString('\n')
	last := 0
	if _, scanned := fmt.Sscanf(line, "after %d", &last); err != nil || scanned != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		events, changed := s.eventsAfter(last)
		for _, event := range events {
			if s.write(conn, event) != nil {
				return
			}
		}
		last += len(events)
		select {
		case <-changed:
		case <-heartbeat.C:
			if s.write(conn, fmt.Appendf(nil, `{"no":%d}`, last)) != nil {
				return
			}
		}
	}
}

// unregister closes a watch.
func (s *DiscoveryServer) unregister(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// eventsAfter returns the events after the one with this number, and a channel that is closed when there is another.
func (s *DiscoveryServer) eventsAfter(number int) ([]json.RawMessage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[min(max(0, number), len(s.events)):], s.changed
}

// write sends a line to a watch.
func (s *DiscoveryServer) write(conn net.Conn, line []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(watcherWriteTimeout))
	parts := net.Buffers{line, []byte("\n")}
	n, err := parts.WriteTo(conn)
	s.mu.Lock()
	s.sent += n
	s.mu.Unlock()
	return err
}
