package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
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
	budget     time.Duration
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
	k := &call{rid: randomHex(8), class: class, budget: budget, done: make(chan struct{})}
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

// answer is a line from the gateway.
type answer struct {
	ID     int `json:"id"`
	Result *struct {
		Blob string `json:"blob"`
	} `json:"result"`
	Error *struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// refused is the code of a refusal.
const refused = -32008

func (c *client) read() {
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			c.rec.add("client: connection ended: %v", err)
			return
		}
		var a answer
		if err := json.Unmarshal([]byte(line), &a); err != nil {
			c.rec.add("client: unreadable answer %.80q", line)
			continue
		}
		c.handle(a)
	}
}

// handle records an answer.
func (c *client) handle(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.waiting[a.ID]
	if k == nil {
		return
	}
	k.answers++
	verdict, body := "failed", ""
	switch {
	case a.Result != nil:
		text, _ := base64.StdEncoding.DecodeString(a.Result.Blob)
		verdict, body = "served", string(text)
	case a.Error != nil && a.Error.Code == refused:
		verdict = "refused"
	}
	c.rec.add("client: answer %d to %s %s after %.3f s: %s %.60q", k.answers, k.class, k.rid, time.Since(k.sent).Seconds(), verdict, body)
	if k.answers == 1 {
		k.answered, k.verdict, k.body = time.Now(), verdict, body
		close(k.done)
	}
}
