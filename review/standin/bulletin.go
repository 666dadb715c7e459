package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// listed is an engine in an event of the bulletin.
type listed struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"startedAtMs"`
}

// bulletin is the server of the engine list: `after N`, then every later event, and each second a line with the last number.
type bulletin struct {
	rec  *record
	addr string
	mu   sync.Mutex
	// delay returns how late the lines that are written now arrive; it models a slow server.
	delay   func() time.Duration
	events  []json.RawMessage
	changed chan struct{}
	conns   int
}

func startBulletin(rec *record, first []listed) (*bulletin, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bulletin{rec: rec, addr: ln.Addr().String(), changed: make(chan struct{}), delay: func() time.Duration { return 0 }}
	b.publish(first)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

// setDelay makes all lines that are written until a time arrive late.
func (b *bulletin) setDelay(delay time.Duration, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = func() time.Duration {
		if time.Now().Before(until) {
			return delay
		}
		return 0
	}
}

// publish appends an event, which counts as told once it has reached the workload manager, 7 s later at the latest.
func (b *bulletin) publish(engines []listed) (at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	no := len(b.events) + 1
	text, _ := json.Marshal(map[string]any{"no": no, "roster": map[string]any{"generation": no, "reset": no == 1, "instances": engines}})
	b.events = append(b.events, text)
	close(b.changed)
	b.changed = make(chan struct{})
	return time.Now()
}

// known returns the events so far in the form of the configuration.
func (b *bulletin) known() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{"no": len(b.events), "items": append([]json.RawMessage(nil), b.events...)}
}

type delayed struct {
	at   time.Time
	line string
}

func (b *bulletin) serve(c net.Conn) {
	defer c.Close()
	line, err := bufio.NewReader(c).ReadString('\n')
	sent := 0
	if _, scanErr := fmt.Sscanf(line, "after %d", &sent); err != nil || scanErr != nil {
		return
	}
	b.mu.Lock()
	b.conns++
	number := b.conns
	b.mu.Unlock()
	b.rec.add("bulletin: watch %d opened, %s", number, strings.TrimSpace(line))
	gone := make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(gone)
	}()
	lines := make(chan delayed, 1000)
	go func() { // writes each line once its delay has passed, in order
		for d := range lines {
			time.Sleep(time.Until(d.at))
			if _, err := c.Write([]byte(d.line + "\n")); err == nil {
				b.rec.add("bulletin: watch %d wrote %.60s", number, d.line)
			}
		}
	}()
	defer close(lines)
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		b.mu.Lock()
		news, changed, delay := b.events[min(sent, len(b.events)):], b.changed, b.delay()
		sent = max(sent, len(b.events))
		b.mu.Unlock()
		for _, event := range news {
			lines <- delayed{time.Now().Add(delay), string(event)}
		}
		select {
		case <-gone:
			b.rec.add("bulletin: watch %d closed by the workload manager", number)
			return
		case <-changed:
		case <-heartbeat.C:
			b.mu.Lock()
			lines <- delayed{time.Now().Add(b.delay()), fmt.Sprint(len(b.events))}
			b.mu.Unlock()
		}
	}
}
