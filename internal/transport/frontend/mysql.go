package frontend

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/protocol/mysql"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
)

const (
	relayAhead = 256 << 10 // bytes of an answer that wait for its client before the engine's side is not read on
	loginWait  = 10 * time.Second
	mysqlQueue = relayAhead + 2<<20
)

// MySQLConfig is how the front is to be.
type MySQLConfig struct {
	Listen     string
	MostOpen   int
	Accounts   map[string]*mysql.Account
	User       string // at the engines
	Password   string
	EnginePort string
	Engines    map[string]string // addresses by the engine's name, where the port alone does not tell
}

// MySQLListener is the front for clients that speak MySQL.
type MySQLListener struct {
	dispatcher *dispatcher.Dispatcher
	pool       *enginepool.Pool
	log        *slog.Logger
	setup      MySQLConfig
	ln         net.Listener
	open       map[*mysqlClient]bool
	lingering  *lingerSet // beside those that are open
	threads    uint32
	again      *eventloop.Timer
	patient    time.Duration // how long a client may take to log in
}

// NewMySQLListener makes the front; pool is for its connections to engines alone.
func NewMySQLListener(d *dispatcher.Dispatcher, pool *enginepool.Pool, log *slog.Logger, setup MySQLConfig) *MySQLListener {
	f := &MySQLListener{dispatcher: d, pool: pool, log: log, setup: setup, open: map[*mysqlClient]bool{}, patient: loginWait}
	f.lingering = newLingerSet(setup.MostOpen, func() int { return len(f.open) })
	return f
}

// Listen opens the listener; it is called on the loop. A second call while it is open does nothing.
func (f *MySQLListener) Listen() error {
	if f.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", f.setup.Listen)
	if err != nil {
		return fmt.Errorf("listen for MySQL clients: %w", err)
	}
	f.ln = ln
	f.log.Info("mysql front listens", "listen", ln.Addr().String())
	go accept(f.dispatcher.Loop, f.log, ln, f.take, func() {})
	return nil
}

// Addr is where it listens; nil while it does not.
func (f *MySQLListener) Addr() net.Addr {
	if f.ln == nil {
		return nil
	}
	return f.ln.Addr()
}

// StopAccepting closes the listener; connections that are open stay, and those that the machine has accepted are still taken.
func (f *MySQLListener) StopAccepting() {
	f.again.Stop()
	if f.ln != nil {
		stopAccepting(f.ln)
		f.ln = nil
		f.log.Info("mysql front listens no more")
	}
}

// Retry has f run later, unless the listener is to be closed before.
func (f *MySQLListener) Retry(after time.Duration, try func()) {
	f.again = f.dispatcher.Loop.After(after, try)
}

// CloseIdle shuts the connections on which no query runs and nothing has come, and reports whether that were all of them.
func (f *MySQLListener) CloseIdle() bool {
	for c := range f.open {
		if c.conn.DeliverPending() && c.call == nil {
			c.end()
		}
	}
	return len(f.open) == 0
}

// WhenEmpty sets what runs once no connection is open or being shut.
func (f *MySQLListener) WhenEmpty(run func()) { f.lingering.whenEmpty(run) }

// Finish shuts the connections once what they were to get is written.
func (f *MySQLListener) Finish() {
	for c := range f.open {
		c.end()
	}
}

func (f *MySQLListener) take(nc net.Conn) {
	if len(f.open) >= f.setup.MostOpen {
		f.log.Warn("too many mysql clients", "open", len(f.open))
		nc.Close()
		return
	}
	f.threads++
	c := &mysqlClient{front: f}
	machine, greeting := mysql.NewFront(f.setup.Accounts, f.threads, scramble())
	c.machine = machine
	f.open[c] = true
	c.conn = eventloop.NewConn(f.dispatcher.Loop, nc, c, mysqlQueue)
	c.conn.OnDrained(c.drained)
	c.conn.Write(greeting)
	c.login = f.dispatcher.Loop.After(f.patient, func() {
		if !machine.LoggedIn() {
			f.log.Warn("mysql client did not log in")
			c.end()
		}
	})
}

// scramble is 20 bytes of chance, none of them zero or a dollar sign, as clients expect.
func scramble() []byte {
	b := make([]byte, 20)
	rand.Read(b)
	for i := range b {
		b[i] = 'A' + b[i]%26 + 32*(b[i]>>7)
	}
	return b
}

// engineAddr is where an engine speaks MySQL.
func (f *MySQLListener) engineAddr(e core.Engine) string {
	if addr, told := f.setup.Engines[e.Name]; told {
		return addr
	}
	host, _, err := net.SplitHostPort(e.Addr)
	if err != nil {
		return e.Addr
	}
	return net.JoinHostPort(host, f.setup.EnginePort)
}

// mysqlClient is one connection.
type mysqlClient struct {
	front   *MySQLListener
	conn    *eventloop.Conn
	machine *mysql.Front
	call    *mysql.Call // the query that runs
	id      core.ID
	flight  *dispatcher.AttemptDriver
	login   *eventloop.Timer
	held    bool // the engine's side is not read, as the client is behind
}

// Data feeds the machine.
func (c *mysqlClient) Data(b []byte) { c.carryOut(c.machine.Feed(b)) }

// Closed calls off what runs.
func (c *mysqlClient) Closed(error) {
	c.login.Stop()
	delete(c.front.open, c)
	c.leave()
	c.front.lingering.check()
}

func (c *mysqlClient) leave() {
	if c.call != nil {
		c.call = nil
		c.front.dispatcher.Cancel(c.id)
	}
}

func (c *mysqlClient) end() {
	c.login.Stop()
	c.front.lingering.finish(c.conn)
	delete(c.front.open, c)
	c.leave()
}

func (c *mysqlClient) carryOut(events []mysql.Event) {
	for _, e := range events {
		switch {
		case e.Write != nil:
			c.conn.Write(e.Write)
		case e.Call != nil:
			c.run(e.Call)
		case e.Close:
			c.end()
		}
	}
}

func (c *mysqlClient) run(call *mysql.Call) {
	group := core.TableGroup(call.Text)
	if group == 0 {
		group = core.SchemaGroup(call.Schema)
	}
	c.call = call
	c.front.dispatcher.Submit(core.Query{Class: call.Account.Class, TableGroup: group, Remaining: call.Account.Budget},
		c, func(id core.ID) { c.id = id })
}

// StartAttempt sends the query to an engine.
func (c *mysqlClient) StartAttempt(a core.Start) dispatcher.Attempt {
	f := c.front
	machine, steps := mysql.NewExchange(c.call, f.setup.User, f.setup.Password)
	c.flight = dispatcher.StartAttempt(f.dispatcher, f.pool, a, f.engineAddr(a.Engine), machine, steps, c.relay)
	return c.flight
}

// relay passes a part of the answer on; the engine's side waits while the client is behind.
func (c *mysqlClient) relay(b []byte) {
	c.conn.Write(b)
	if !c.held && c.conn.QueuedBytes() > relayAhead && c.flight != nil {
		c.held = true
		c.flight.Pause()
		c.drained() // in case all has been written meanwhile
	}
}

// drained goes on with the engine's side.
func (c *mysqlClient) drained() {
	if c.held && c.conn.QueuedBytes() <= relayAhead/2 && c.flight != nil {
		c.held = false
		c.flight.Resume()
	}
}

// ReadPending takes in what the client has sent by now.
func (c *mysqlClient) ReadPending() { c.conn.DeliverPending() }

// Unread tells what of the client is not taken in yet.
func (c *mysqlClient) Unread() (some, gone bool) { return c.conn.Peek() }

// Reply ends the query. An answer that broke off in the middle of a row can only be told by the connection's end.
func (c *mysqlClient) Reply(r core.Reply, result any) {
	last, _ := result.([]byte)
	c.call, c.flight, c.held = nil, nil, false
	switch {
	case r.Verdict == core.Served, r.Verdict == core.Broken && last != nil:
		c.conn.Write(last)
	case r.Verdict == core.Broken:
		c.end()
		return
	case r.DeadlineExceeded:
		c.conn.Write(mysql.Deadline())
	case r.Verdict == core.Rejected:
		c.conn.Write(mysql.Refusal(r.RetryAfter))
	default:
		c.conn.Write(mysql.Failure())
	}
	c.front.dispatcher.Loop.After(0, func() {
		if c.conn.IsOpen() {
			c.carryOut(c.machine.Done())
		}
	})
}

var _ dispatcher.Client = (*mysqlClient)(nil)
