package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// rpcClient is a client of the platform's protocol with one connection.
type rpcClient struct {
	conn   net.Conn
	mu     sync.Mutex
	lastID int
	open   map[int]chan rpcAnswer
	ended  chan struct{} // closed when the connection has ended
}

// rpcAnswer is the answer to a query.
type rpcAnswer struct {
	Served bool
	Body   []byte
	Code   int
	Text   string
	at     time.Time
}

func dialRPC(addr string) (*rpcClient, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &rpcClient{conn: conn, open: map[int]chan rpcAnswer{}, ended: make(chan struct{})}
	go c.read()
	return c, nil
}

func (c *rpcClient) read() {
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			close(c.ended)
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
		if json.Unmarshal(line, &m) != nil {
			continue
		}
		a := rpcAnswer{at: time.Now()}
		if m.Result != nil {
			a.Served = true
			a.Body, _ = base64.StdEncoding.DecodeString(m.Result.Blob)
		} else if m.Error != nil {
			a.Code, a.Text = m.Error.Code, m.Error.Message
		}
		c.mu.Lock()
		ch := c.open[m.ID]
		delete(c.open, m.ID)
		c.mu.Unlock()
		if ch != nil {
			ch <- a
		}
	}
}

// send sends a query and returns its request id and the channel of its answer.
func (c *rpcClient) send(method, statement string, budget time.Duration) (rid string, answer chan rpcAnswer, err error) {
	random := make([]byte, 8)
	_, _ = rand.Read(random)
	rid = hex.EncodeToString(random)
	answer = make(chan rpcAnswer, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.open[id] = answer
	c.mu.Unlock()
	params := map[string]any{
		"rid": rid, "budget": budget.Milliseconds(), "est": 150.0, "ram": 64, "blob": base64.StdEncoding.EncodeToString([]byte(statement)),
	}
	if method == "form-load" {
		params["token"] = rid + rid
	}
	text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": method, "params": params})
	_, err = fmt.Fprintf(c.conn, "%s\n", text)
	return rid, answer, err
}
