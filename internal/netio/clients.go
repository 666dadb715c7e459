package netio

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/httpq"
	"frostpier/internal/jsonrpc"
)

const (
	clientQueue = 4 << 20          // the answers of all calls that a connection may have open
	clientIdle  = 30 * time.Second // clients close theirs after 4 s
	acceptPause = 20 * time.Millisecond
)

// Clients is the platform's front.
type Clients struct {
	gateway *Gateway
	log     *slog.Logger
	most    int
	open    map[*client]bool
	serving bool
	ln      net.Listener
}

// client is one connection.
type client struct {
	front   *Clients
	conn    *Conn
	session *jsonrpc.Session
	calls   map[string]core.ID
	idle    *Timer
}

// NewClients makes the front for at most so many connections.
func NewClients(g *Gateway, log *slog.Logger, most int) *Clients {
	return &Clients{gateway: g, log: log, most: most, open: map[*client]bool{}, serving: true}
}

// Serve listens and accepts until Stop.
func (f *Clients) Serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	f.ln = ln
	go accept(f.gateway.Loop, f.log, ln, f.take)
	return nil
}

// accept hands every connection to the loop; want of descriptors is waited out.
func accept(loop *Loop, log *slog.Logger, ln net.Listener, take func(net.Conn)) {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn("accept failed", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		loop.Post(func() { take(nc) })
	}
}

// Drain makes ping say that this gateway stops serving; all else goes on.
func (f *Clients) Drain() { f.serving = false }

// Stop takes no more connections.
func (f *Clients) Stop() {
	if f.ln != nil {
		f.ln.Close()
	}
}

// Finish closes the connections once what they were to get is written.
func (f *Clients) Finish() {
	for c := range f.open {
		c.conn.Finish()
	}
}

func (f *Clients) take(nc net.Conn) {
	if len(f.open) >= f.most && !f.closeOneIdle() {
		f.log.Warn("too many client connections", "open", len(f.open))
		nc.Close()
		return
	}
	c := &client{front: f, session: jsonrpc.NewSession(f.gateway.Core), calls: map[string]core.ID{}}
	f.open[c] = true
	c.conn = NewConn(f.gateway.Loop, nc, c, clientQueue)
	c.rest()
}

func (f *Clients) closeOneIdle() bool {
	for c := range f.open {
		if len(c.calls) == 0 {
			c.end()
			return true
		}
	}
	return false
}

// rest starts the wait of a connection that has no call open.
func (c *client) rest() {
	c.idle.Stop()
	if len(c.calls) == 0 {
		c.idle = c.front.gateway.Loop.After(clientIdle, c.end)
	}
}

func (c *client) end() {
	c.idle.Stop()
	c.conn.Close()
	delete(c.front.open, c)
}

// Data feeds the session and does what its lines ask for.
func (c *client) Data(b []byte) {
	events, err := c.session.Feed(b)
	for _, e := range events {
		switch {
		case e.Call != nil:
			c.call(e.Call)
		case e.Ping != "":
			c.conn.Write(jsonrpc.Pong(e.Ping, c.front.serving))
		case e.Abort != "":
			c.abort(e.Abort)
		case e.Reply != nil:
			c.conn.Write(e.Reply)
		}
	}
	if err != nil {
		c.front.log.Warn("client connection closed", "error", err)
		c.end()
		c.leaveAll()
		return
	}
	c.rest()
}

// Closed calls off all that the client had open.
func (c *client) Closed(error) {
	c.idle.Stop()
	delete(c.front.open, c)
	c.leaveAll()
}

func (c *client) leaveAll() {
	for id, number := range c.calls {
		delete(c.calls, id)
		c.front.gateway.Leave(number)
	}
}

func (c *client) abort(id string) {
	number, open := c.calls[id]
	if open {
		c.session.Done(id)
		delete(c.calls, id)
		c.front.gateway.Leave(number)
	}
}

func (c *client) call(call *jsonrpc.Call) {
	ask := core.Ask{Class: call.Class, TableGroup: core.TableGroup(string(call.Statement)), Cost: call.Cost,
		NeedMB: call.NeedMB, Remaining: call.Budget, Repeat: call.Repeat}
	c.front.gateway.Take(ask, &request{client: c, call: call}, func(id core.ID) { c.calls[call.ID] = id })
}

// request is a call of a client.
type request struct {
	client *client
	call   *jsonrpc.Call
}

// Attempt sends the query to an engine.
func (r *request) Attempt(a core.Start) Attempt {
	machine, steps := httpq.NewQuery(httpq.Request{Host: a.Engine.Addr, ID: r.call.RID,
		Class: r.client.front.gateway.Core.ClassName(r.call.Class), Key: r.call.Token, Statement: r.call.Statement})
	g := r.client.front.gateway
	return fly(g, g.Pool, a, a.Engine.Addr, machine, steps, func([]byte) {})
}

// Answer writes the one answer of the call.
func (r *request) Answer(reply core.Reply, result any) {
	c := r.client
	c.session.Done(r.call.ID)
	delete(c.calls, r.call.ID)
	switch reply.Verdict {
	case core.Served:
		body, _ := result.([]byte)
		c.conn.Write(jsonrpc.Result(r.call.ID, body))
	case core.Refused:
		c.conn.Write(jsonrpc.Refused(r.call.ID, reply.ComeBack))
	default:
		why := "the query failed"
		if reply.Late {
			why = "no answer in time"
		}
		c.conn.Write(jsonrpc.Failed(r.call.ID, why))
	}
	c.rest()
}
