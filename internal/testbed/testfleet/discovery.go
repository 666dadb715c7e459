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
	Name  string `json:"instanceId"`
	Addr  string `json:"hostPort"`
	Zone  string `json:"zone"`
	Kind  string `json:"machineType"`
	State string `json:"lifecycle"`
	Began int64  `json:"startedAtMs"` // Unix milliseconds of a late start, else 0
}

// Times of a watch's connection.
const (
	heartbeatEvery = time.Second      // between two lines that hold only the last event's number
	watcherPatient = 10 * time.Second // a watcher that takes nothing for so long is cut off
)

// DiscoveryServer is a stand-in for the platform's: it serves the engine list as a watch of numbered events. Each watcher has a goroutine of
// its own, so one that reads slowly delays no other.
type DiscoveryServer struct {
	ln      net.Listener
	mu      sync.Mutex
	events  []json.RawMessage
	changed chan struct{} // closed when an event is added
	conns   map[net.Conn]bool
	sent    int64 // bytes, to all watchers
	closed  bool
	done    sync.WaitGroup
}

// NewDiscoveryServer starts a server whose first event lists the engines.
func NewDiscoveryServer(engines []Engine) (*DiscoveryServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery server: %w", err)
	}
	b := &DiscoveryServer{ln: ln, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	b.Publish(engines)
	b.done.Add(1)
	go b.accept()
	return b, nil
}

// Addr is where it listens.
func (b *DiscoveryServer) Addr() string { return b.ln.Addr().String() }

// rosterEvent is an event on the wire.
type rosterEvent struct {
	Number int    `json:"no"`
	Roster roster `json:"roster"`
}

type roster struct {
	Generation int      `json:"generation"`
	Reset      bool     `json:"reset"` // the list is whole: engines that it does not name have gone
	Instances  []Engine `json:"instances"`
}

// Publish appends an event that names engines which have changed, and sends it to all connected watches.
func (b *DiscoveryServer) Publish(engines []Engine) { b.add(engines, false) }

// PublishFull appends an event that holds the full list, and sends it to all connected watches.
func (b *DiscoveryServer) PublishFull(engines []Engine) { b.add(engines, true) }

func (b *DiscoveryServer) add(engines []Engine, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := len(b.events) + 1
	event, err := json.Marshal(rosterEvent{Number: number, Roster: roster{Generation: number, Reset: whole, Instances: engines}})
	if err != nil {
		return // no engine fails to encode
	}
	b.events = append(b.events, event)
	close(b.changed)
	b.changed = make(chan struct{})
}

// ResourceVersion returns the number of the last event.
func (b *DiscoveryServer) ResourceVersion() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.events))
}

// Traffic is how many bytes were sent to all watchers so far, and how many watchers are connected.
func (b *DiscoveryServer) Traffic() (bytes int64, watchers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent, len(b.conns)
}

// Disconnect ends the connections of all watchers, which connect again.
func (b *DiscoveryServer) Disconnect() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for nc := range b.conns {
		nc.Close()
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
		if !b.admit(nc) {
			nc.Close()
			return
		}
		go b.serve(nc)
	}
}

// admit takes a watcher in; not once the server is closed.
func (b *DiscoveryServer) admit(nc net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.conns[nc] = true
	b.done.Add(1)
	return true
}

// serve sends a watch the events after the one it names, all later ones, and each second the latest resource version.
func (b *DiscoveryServer) serve(nc net.Conn) {
	defer b.done.Done()
	defer b.forget(nc)
	line, err := bufio.NewReader(nc).ReadString('\n')
	told := 0
	if _, scanned := fmt.Sscanf(line, "after %d", &told); err != nil || scanned != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	for {
		events, changed := b.after(told)
		for _, event := range events {
			if b.write(nc, event) != nil {
				return
			}
		}
		told += len(events)
		select {
		case <-changed:
		case <-heartbeat.C:
			if b.write(nc, fmt.Appendf(nil, `{"no":%d}`, told)) != nil {
				return
			}
		}
	}
}

func (b *DiscoveryServer) forget(nc net.Conn) {
	nc.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, nc)
}

// after is the events behind a number, and what is closed when there are more.
func (b *DiscoveryServer) after(number int) ([]json.RawMessage, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events[min(max(0, number), len(b.events)):], b.changed
}

// write sends a line.
func (b *DiscoveryServer) write(nc net.Conn, line []byte) error {
	nc.SetWriteDeadline(time.Now().Add(watcherPatient))
	parts := net.Buffers{line, []byte("\n")}
	n, err := parts.WriteTo(nc)
	b.mu.Lock()
	b.sent += n
	b.mu.Unlock()
	return err
}
