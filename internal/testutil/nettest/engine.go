package nettest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"frostpier/internal/core"
	"frostpier/policy"
)

// maxConns bounds the connections to an Engine that its test has not taken yet.
const maxConns = 64

// Engine listens as an engine of the platform: a test takes its connections and says what happens on them.
type Engine struct {
	ID       string
	t        testing.TB
	listener net.Listener
	conns    chan *EngineConn
}

// EngineConn is a connection to an Engine.
type EngineConn struct {
	net.Conn
	t      testing.TB
	Reader *textproto.Reader // reads what comes on it
}

// NewEngine starts an engine that ends with the test.
func NewEngine(t testing.TB, id string) *Engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &Engine{ID: id, t: t, listener: listener, conns: make(chan *EngineConn, maxConns)}
	go e.accept()
	return e
}

func (e *Engine) accept() {
	for {
		nc, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(Patience))
		e.conns <- &EngineConn{nc, e.t, textproto.NewReader(bufio.NewReader(nc))}
	}
}

// Addr is the engine's address.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Listed is the engine's entry in an engine list.
func (e *Engine) Listed(health policy.Health) core.ListedEngine {
	return core.ListedEngine{Name: e.ID, Addr: e.Addr(), Zone: "z", Kind: "m", Health: health, Weight: 1}
}

// Connections is how many connections the test has not taken yet.
func (e *Engine) Connections() int { return len(e.conns) }

// Accept returns the engine's next connection.
func (e *Engine) Accept() *EngineConn {
	e.t.Helper()
	select {
	case c := <-e.conns:
		return c
	case <-time.After(Patience):
		e.t.Fatalf("engine %s: nobody connects", e.ID)
		return nil
	}
}

// ReadCall reads the next call and returns its method and path.
func (c *EngineConn) ReadCall() string {
	c.t.Helper()
	line, err := c.Reader.ReadLine()
	if err != nil {
		c.t.Fatalf("no call: %v", err)
	}
	head, err := c.Reader.ReadMIMEHeader()
	if err != nil {
		c.t.Fatal(err)
	}
	n, _ := strconv.Atoi(head.Get("Content-Length"))
	if _, err := io.ReadFull(c.Reader.R, make([]byte, n)); err != nil {
		c.t.Fatal(err)
	}
	return strings.TrimSuffix(line, " HTTP/1.1")
}

// ExpectNothing waits for the connection's end, before which not a byte may come.
func (c *EngineConn) ExpectNothing() {
	c.t.Helper()
	n, err := c.Reader.R.Read(make([]byte, 1))
	if n > 0 || err == nil {
		c.t.Errorf("an engine that should get nothing got a call")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Errorf("a connection that should have been closed stays open")
	}
}
