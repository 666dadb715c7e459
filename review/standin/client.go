package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// client is one connection of a JSON-RPC client.
type client struct {
	rec     *record
	conn    net.Conn
	mu      sync.Mutex
	lastID  int
	waiting map[int]*call
}

// call is a request and its answer.
type call struct {
	rid, class string
	sent       time.Time
	answered   time.Time
	answers    int
	verdict    string // "served", "refused", "failed", or "" without an answer
	body       string
	done       chan struct{}
}

func dialClient(rec *record, addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, conn: conn, waiting: map[int]*call{}}
	go c.read()
	return c, nil
}

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// send sends a request. budget is how long the client waits, work its estimate of the work on one core.
func (c *client) send(class, text string, budget, work time.Duration) *call {
	k := &call{rid: randomHex(8), class: class, done: make(chan struct{})}
	params := map[string]any{"rid": k.rid, "budget": budget.Milliseconds(), "est": float64(work.Milliseconds()), "ram": 96,
		"blob": base64.StdEncoding.EncodeToString([]byte(text))}
	if class == "form-load" {
		params["token"] = randomHex(16)
	}
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.waiting[id] = k
	c.mu.Unlock()
	line, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": class, "params": params})
	k.sent = time.Now()
	c.rec.add("client: sends %s %s, waits %v", class, k.rid, budget)
	_, _ = c.conn.Write(append(line, '\n'))
	return k
}

func (c *client) read() {
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				c.rec.add("client: connection ended: %v", err)
			}
			return
		}
		var m struct {
			ID     int `json:"id"`
			Result *struct {
				Blob string `json:"blob"`
			} `json:"result"`
			Error *struct {
				Code    int    `json:"code"`
				Message string `json:"message"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			c.rec.add("client: unreadable answer %.80q", line)
			continue
		}
		c.mu.Lock()
		k := c.waiting[m.ID]
		if k == nil {
			c.mu.Unlock()
			continue
		}
		k.answers++
		first := k.answers == 1
		if first {
			k.answered = time.Now()
			switch {
			case m.Result != nil:
				body, _ := base64.StdEncoding.DecodeString(m.Result.Blob)
				k.verdict, k.body = "served", string(body)
			case m.Error != nil && m.Error.Code == -32008:
				k.verdict = "refused"
			case m.Error != nil:
				k.verdict = "failed"
			}
		}
		c.mu.Unlock()
		c.rec.add("client: answer to %s %s after %.3f s: %s %s", k.class, k.rid, time.Since(k.sent).Seconds(), k.verdict, trimmed(k.body))
		if first {
			close(k.done)
		}
	}
}

func trimmed(s string) string { return fmt.Sprintf("%.60q", s) }
