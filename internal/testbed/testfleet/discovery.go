package testfleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// Engine is an entry of the engine list in the discovery server's JSON format.
type Engine struct {
	Name        string `json:"instanceId"`
	Addr        string `json:"hostPort"`
	Zone        string `json:"zone"`
	Kind        string `json:"machineType"`
	State       string `json:"lifecycle"`
	StartedAtMS int64  `json:"startedAtMs"` // Unix milliseconds; 0 unless the engine started during the test
}

// Times of a watch connection.
const (
	heartbeatInterval   = time.Second      // interval of lines with only the resource version
	watcherWriteTimeout = 10 * time.Second // closes the connection if the client does not read
)

// DiscoveryServer emulates the platform's discovery server. It serves the engine list as a watch of numbered events. Each
// watch has its own goroutine, so that a slow reader does not delay the others.
type DiscoveryServer struct {
	listener   net.Listener
	mu         sync.Mutex
	events     []json.RawMessage
	changed    chan struct{} // closed when an event is added
	conns      map[net.Conn]bool
	sent       int64 // bytes sent to all watches
	closed     bool
	goroutines sync.WaitGroup
}

// NewDiscoveryServer starts a server on a free loopback port. Its first event lists the engines. Close stops it.
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

// rosterEvent is the wire format of an event.
type rosterEvent struct {
	Number int    `json:"no"`
	Roster roster `json:"roster"`
}

type roster struct {
	Generation int      `json:"generation"`
	Reset      bool     `json:"reset"` // the list is complete: engines that are not listed have been removed
	Instances  []Engine `json:"instances"`
}

// Publish appends an event with changed engines and sends it to all connected watches.
func (s *DiscoveryServer) Publish(engines []Engine) { s.appendEvent(engines, false) }

// PublishFull appends an event with the complete engine list and sends it to all connected watches.
func (s *DiscoveryServer) PublishFull(engines []Engine) { s.appendEvent(engines, true) }

// appendEvent appends an event and notifies all watches.
func (s *DiscoveryServer) appendEvent(engines []Engine, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.events) + 1
	event, err := json.Marshal(rosterEvent{Number: number, Roster: roster{Generation: number, Reset: full, Instances: engines}})
	if err != nil {
		return // cannot happen: an Engine always encodes
	}
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ResourceVersion returns the number of the latest event.
func (s *DiscoveryServer) ResourceVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.events))
}

// Traffic returns the number of bytes sent to all watches so far, and the number of connected watches.
func (s *DiscoveryServer) Traffic() (bytes int64, watchers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent, len(s.conns)
}

// Disconnect closes the connections of all watches. The gateways reconnect.
func (s *DiscoveryServer) Disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// InitialEvents returns all events so far in the format of a gateway's configuration.
func (s *DiscoveryServer) InitialEvents() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{"no": len(s.events), "items": s.events}
}

// Close stops the server and waits for its goroutines.
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

// register registers a watch, so that Close closes it. It returns false if the server is already closed.
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

// serve reads the resource version after which a watch starts, and sends it all later events and periodic heartbeats with the
// latest resource version.
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

// unregister closes a watch and removes it.
func (s *DiscoveryServer) unregister(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// eventsAfter returns the events after the one with this number, and a channel that is closed when the next event is added.
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
