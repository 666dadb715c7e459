// Package frontend accepts clients: those of the platform, who speak JSON-RPC, and those who speak MySQL. It owns their
// connections and bounds how many there are and what they may leave unfinished. Which engine serves a request is decided by the
// core, behind the dispatcher. Only accepting runs on goroutines of its own; all else runs on the event loop.
package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/enginehttp"
	"frostpier/internal/protocol/jsonrpc"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/eventloop"
)

const (
	clientQueue = 4 << 20                // the answers of all calls that a connection may have open
	clientIdle  = 30 * time.Second       // clients close theirs after 4 s
	askWait     = 2 * time.Second        // for the first call, and for a line's end: an end is owed within 3 s of connecting
	callGrace   = 250 * time.Millisecond // in which a call may be on its way
	fairLine    = 16 << 10               // of a line that is not whole, if all together fill what there is for them
	acceptPause = 20 * time.Millisecond
)

// PlatformListener is the platform's front.
type PlatformListener struct {
	dispatcher *dispatcher.Dispatcher
	log        *slog.Logger
	most       int // connections, those that are being shut included
	lingering  *lingerSet
	lines      int // bytes of lines that are not whole, over all connections
	unread     int // and how many there are
	open       map[*client]bool
	serving    bool
	ln         net.Listener
	patient    time.Duration // how long a client may take to ask for something, or to end a line
	stopped    func()        // runs once no more connections are taken
}

// client is one connection.
type client struct {
	front       *PlatformListener
	conn        *eventloop.Conn
	session     *jsonrpc.Session
	calls       map[string]core.ID
	asked       bool // it has said something that got an answer, or will
	called      bool // a call of it was taken
	stopReading bool // its framing is lost: what is open is answered, and nothing more is read
	unread      int  // bytes of a line that is not whole
	since       time.Duration
	idle        *eventloop.Timer
	half        *eventloop.Timer // the wait for a line's end; nil while none has begun
}

// NewPlatformListener makes the front for at most so many connections, whose unfinished lines may hold so many bytes.
func NewPlatformListener(d *dispatcher.Dispatcher, log *slog.Logger, most, lines int) *PlatformListener {
	f := &PlatformListener{dispatcher: d, log: log, most: most, lines: lines, open: map[*client]bool{}, serving: true,
		patient: askWait}
	f.lingering = newLingerSet(most, func() int { return len(f.open) })
	return f
}

// Serve listens and accepts until Stop.
func (f *PlatformListener) Serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	f.ln = ln
	go accept(f.dispatcher.Loop, f.log, ln, f.take, func() {
		if f.stopped != nil {
			f.stopped()
		}
	})
	return nil
}

// accept hands every connection to the loop, one at a time: what is accepted and not yet taken holds a descriptor that
// no share counts. Want of descriptors is waited out. Where the listener has been given an end, it takes what came until
// then and tells done.
func accept(loop *eventloop.Loop, log *slog.Logger, ln net.Listener, take func(net.Conn), done func()) {
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			loop.Do(func() { take(nc) })
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			ln.Close()
			loop.Post(done)
			return
		default:
			log.Warn("accept failed", "error", err)
			time.Sleep(acceptPause)
		}
	}
}

// Drain makes ping say that this gateway stops serving; all else goes on.
func (f *PlatformListener) Drain() { f.serving = false }

// Stop takes no more connections. Those that the machine has accepted are still taken, since their clients may have
// asked already; then done runs. Both on the loop.
func (f *PlatformListener) Stop(done func()) {
	f.stopped = done
	if f.ln == nil {
		done()
		return
	}
	stopAccepting(f.ln)
}

// stopAccepting closes a listener behind what the machine has accepted by now.
func stopAccepting(ln net.Listener) {
	if tcp, ok := ln.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(acceptPause)) == nil {
		return
	}
	ln.Close()
}

// CloseIdle shuts the connections on which nothing is open and nothing has come, and reports whether that were all of them.
func (f *PlatformListener) CloseIdle() bool {
	for c := range f.open {
		if c.unread == 0 { // else its line may still end
			c.retire("stopped")
		}
	}
	return len(f.open) == 0
}

// WhenEmpty sets what runs once no connection is open or being shut.
func (f *PlatformListener) WhenEmpty(run func()) { f.lingering.whenEmpty(run) }

// Finish shuts the connections once what they were to get is written.
func (f *PlatformListener) Finish() {
	for c := range f.open {
		c.end("stopped")
	}
}

func (f *PlatformListener) take(nc net.Conn) {
	if len(f.open) >= max(1, f.most-f.lingering.limit) && !f.closeOneIdle() {
		f.log.Warn("too many client connections", "open", len(f.open))
		nc.Close()
		return
	}
	c := &client{front: f, session: jsonrpc.NewSession(f.dispatcher.Core), calls: map[string]core.ID{}}
	f.open[c] = true
	c.conn = eventloop.NewConn(f.dispatcher.Loop, nc, c, clientQueue)
	c.since = f.dispatcher.Loop.Now()
	c.idle = f.dispatcher.Loop.After(f.patient, c.askedNothing)
}

// closeOneIdle makes room for a new connection: of those with nothing open the one goes that is missed least, and
// among equals the one that was quiet for longest.
func (f *PlatformListener) closeOneIdle() bool {
	now := f.dispatcher.Loop.Now()
	for range f.most { // one that has just asked for something after all stays, and another goes
		var next *client
		for c := range f.open {
			if len(c.calls) == 0 && (next == nil || c.missed(now) < next.missed(now) ||
				c.missed(now) == next.missed(now) && c.since < next.since) {
				next = c
			}
		}
		if next == nil {
			return false
		}
		if next.retire("others came") || !f.open[next] { // or it had gone by itself
			return true
		}
	}
	return false
}

// missed ranks a connection with nothing open, from those that come by the hundreds and make no call to the one whose
// first call is on its way: that would be lost.
func (c *client) missed(now time.Duration) int {
	quiet := now-c.since > callGrace
	switch {
	case quiet && !c.called:
		return 0
	case quiet:
		return 1
	case c.asked && !c.called: // it got the answer that it is owed
		return 2
	case c.called: // it can send its next call again on a new connection
		return 3
	}
	return 4
}

// rest starts the wait of a connection that has asked and has no call open. One that has not has its first wait.
func (c *client) rest() {
	if !c.asked {
		return
	}
	c.idle.Stop()
	c.since = c.front.dispatcher.Loop.Now()
	if len(c.calls) == 0 {
		if c.stopReading {
			c.end("no more lines can be read")
			return
		}
		c.idle = c.front.dispatcher.Loop.After(clientIdle, func() { c.retire("idle") })
	}
}

// awaitLineEnd keeps the wait for the end of a line that has begun. Every line has its own: lineEnded tells that the bytes
// just read ended one, so that what stands there now is the begin of another.
func (c *client) awaitLineEnd(lineEnded bool) {
	c.front.unread += c.session.Unread() - c.unread
	c.unread = c.session.Unread()
	if lineEnded || c.unread == 0 {
		c.half.Stop()
		c.half = nil
	}
	if c.unread > 0 && c.half == nil {
		c.half = c.front.dispatcher.Loop.After(c.front.patient, c.lineLate)
	}
}

// lineLate ends a connection whose line does not, once its calls are answered.
func (c *client) lineLate() {
	c.half = nil
	c.conn.DeliverPending() // its end may have come
	switch {
	case !c.conn.IsOpen() || c.unread == 0:
	case len(c.calls) == 0:
		c.end("half a line")
	case c.half == nil:
		c.half = c.front.dispatcher.Loop.After(c.front.patient, c.lineLate)
	}
}

// askedNothing ends a connection that has not asked for anything in its time.
func (c *client) askedNothing() {
	if c.conn.DeliverPending(); c.conn.IsOpen() && !c.asked {
		c.end("it asked for nothing")
	}
}

// retire shuts a connection that rests, unless something has come on it that is not read yet: a request that was there
// before the shutdown is owed an answer. It reports whether it did.
func (c *client) retire(why string) bool {
	if !c.conn.DeliverPending() || len(c.calls) > 0 {
		return false
	}
	c.end(why)
	return true
}

// forget stops the waits; nothing is heard of the connection any more.
func (c *client) forget() {
	c.idle.Stop()
	c.half.Stop()
	c.front.unread -= c.unread
	c.unread = 0
	delete(c.front.open, c)
	c.front.lingering.check()
}

// end shuts a connection once what has been answered is written: the last answer may still be on its way.
func (c *client) end(why string) {
	c.front.log.Debug("client connection ended", "why", why)
	c.front.lingering.finish(c.conn)
	c.forget()
}

// Data feeds the session and does what its lines ask for.
func (c *client) Data(b []byte) {
	if c.stopReading {
		return
	}
	events, err := c.session.Feed(b)
	for _, e := range events {
		c.asked = c.asked || e.Call != nil || e.Ping != "" || e.Reply != nil
		switch {
		case e.Call != nil:
			c.called = true
			c.call(e.Call)
		case e.Ping != "":
			c.conn.Write(jsonrpc.Pong(e.Ping, c.front.serving))
		case e.Abort != "":
			c.abort(e.Abort)
		case e.Reply != nil:
			c.conn.Write(e.Reply)
		}
	}
	c.awaitLineEnd(bytes.IndexByte(b, '\n') >= 0)
	if err == nil && c.front.unread > c.front.lines && c.unread > fairLine {
		err = errFull
	}
	if err != nil { // what was asked before is no worse for it
		c.front.log.Warn("client connection closed", "error", err)
		c.stopReading, c.asked = true, true
		c.session.Abandon()
		c.awaitLineEnd(false)
		c.conn.Pause()
	}
	c.rest()
}

var errFull = errors.New("unfinished lines of all clients fill their memory")

// Closed calls off all that the client had open.
func (c *client) Closed(error) {
	c.forget()
	c.leaveAll()
}

func (c *client) leaveAll() {
	for id, number := range c.calls {
		delete(c.calls, id)
		c.front.dispatcher.Cancel(number)
	}
}

func (c *client) abort(id string) {
	number, open := c.calls[id]
	if open {
		c.session.Done(id)
		delete(c.calls, id)
		c.front.dispatcher.Cancel(number)
	}
}

func (c *client) call(call *jsonrpc.Call) {
	ask := core.Query{Name: call.RID, Class: call.Class, TableGroup: core.TableGroup(string(call.Statement)), EstimatedWork: call.EstimatedWork,
		EstimatedMemoryMB: call.EstimatedMemoryMB, Remaining: call.Budget, IsClientRetry: call.IsClientRetry}
	c.front.dispatcher.Submit(ask, &request{client: c, call: call}, func(id core.ID) { c.calls[call.ID] = id })
}

// request is a call of a client.
type request struct {
	client *client
	call   *jsonrpc.Call
}

// StartAttempt sends the query to an engine.
func (r *request) StartAttempt(a core.Start) dispatcher.Attempt {
	machine, steps := enginehttp.NewQuery(enginehttp.Request{Host: a.Engine.Addr, ID: r.call.RID,
		Class: r.client.front.dispatcher.Core.ClassName(r.call.Class), Key: r.call.Token, Statement: r.call.Statement})
	g := r.client.front.dispatcher
	return dispatcher.StartAttempt(g, g.Pool, a, a.Engine.Addr, machine, steps, func([]byte) {})
}

// ReadPending takes in what the client has sent by now.
func (r *request) ReadPending() { r.client.conn.DeliverPending() }

// Unread tells what of the client is not taken in yet.
func (r *request) Unread() (some, gone bool) { return r.client.conn.Peek() }

// Reply writes the one answer of the call.
func (r *request) Reply(reply core.Reply, result any) {
	c := r.client
	c.session.Done(r.call.ID)
	delete(c.calls, r.call.ID)
	switch reply.Verdict {
	case core.Served:
		body, _ := result.([]byte)
		c.conn.Write(jsonrpc.Result(r.call.ID, body))
	case core.Rejected:
		c.conn.Write(jsonrpc.Rejected(r.call.ID, reply.RetryAfter))
	default:
		why := "the query failed"
		if reply.DeadlineExceeded {
			why = "no answer in time"
		}
		c.conn.Write(jsonrpc.Failed(r.call.ID, why))
	}
	c.rest()
}
