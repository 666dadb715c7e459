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

// maxConns is the maximum number of connections to an Engine that the test has not accepted yet.
const maxConns = 64

// Engine is a scripted engine: the test accepts its connections, reads the requests and writes the responses.
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
	Reader *textproto.Reader // buffered reader of Conn
}

// NewEngine starts an engine that is closed at the end of the test.
func NewEngine(t testing.TB, id string) *Engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
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
		e.t.Cleanup(func() { _ = nc.Close() })
		_ = nc.SetDeadline(time.Now().Add(Timeout)) // fails only if the connection is closed
		e.conns <- &EngineConn{nc, e.t, textproto.NewReader(bufio.NewReader(nc))}
	}
}

// Addr returns the engine's address.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// ListEntry returns an engine list entry for the engine with the given health.
func (e *Engine) ListEntry(health policy.Health) core.ListedEngine {
	return core.ListedEngine{Name: e.ID, Addr: e.Addr(), Zone: "z", MachineType: "m", Health: health, Weight: 1}
}

// PendingConns returns the number of connections that the test has not accepted yet.
func (e *Engine) PendingConns() int { return len(e.conns) }

// Accept waits for the next connection to the engine and returns it.
func (e *Engine) Accept() *EngineConn {
	e.t.Helper()
	select {
	case c := <-e.conns:
		return c
	case <-time.After(Timeout):
		e.t.Fatalf("engine %s: timeout waiting for a connection", e.ID)
		return nil
	}
}

// ReadRequest reads the next HTTP request with its body and returns the method and path.
func (c *EngineConn) ReadRequest() string {
	c.t.Helper()
	line, err := c.Reader.ReadLine()
	if err != nil {
		c.t.Fatalf("reading a request: %v", err)
	}
	header, err := c.Reader.ReadMIMEHeader()
	if err != nil {
		c.t.Fatal(err)
	}
	n, _ := strconv.Atoi(header.Get("Content-Length"))
	if _, err := io.ReadFull(c.Reader.R, make([]byte, n)); err != nil {
		c.t.Fatal(err)
	}
	return strings.TrimSuffix(line, " HTTP/1.1")
}

// ExpectClosed waits until the gateway closes the connection, and fails the test if any bytes arrive before.
func (c *EngineConn) ExpectClosed() {
	c.t.Helper()
	n, err := c.Reader.R.Read(make([]byte, 1))
	if n > 0 || err == nil {
		c.t.Errorf("the engine received bytes before the connection was closed")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Errorf("the connection was not closed")
	}
}
