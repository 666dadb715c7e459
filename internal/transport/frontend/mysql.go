package frontend

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/memlimit"
	"frostpier/internal/protocol/mysql"
	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
)

const (
	relayBufferBytes    = 256 << 10                // if more is queued for a client, reading the engine's response is paused
	mysqlWriteLimit     = relayBufferBytes + 2<<20 // bytes; the margin is for the current read, after which reading is paused
	defaultLoginTimeout = 10 * time.Second
	scrambleBytes       = 20
)

// MySQLConfig configures a MySQLListener.
type MySQLConfig struct {
	Listen         string                    // address to listen on
	MaxConns       int                       // maximum number of open client connections
	Accounts       map[string]*mysql.Account // accounts of clients, by user name
	EngineUser     string                    // user name of the gateway's account on engines
	EnginePassword string                    // password of the gateway's account on engines
	EnginePort     string                    // MySQL port of engines that are not in EngineAddrs
	EngineAddrs    map[string]string         // MySQL addresses by engine name
	MaxMemory      int                       // bytes that all clients together may hold between queries
}

// MySQLListener accepts clients that speak MySQL. Its methods are called on the loop.
type MySQLListener struct {
	connSet[*mysqlClient]

	dispatcher   *dispatcher.Dispatcher
	pool         *enginepool.Pool
	log          *slog.Logger
	config       MySQLConfig
	memory       *memlimit.Limit // of what clients hold while no query runs, and of the metadata of results
	input        inputLimiter[*mysqlClient]
	acceptor     *acceptor // nil while not listening
	lastThreadID uint32    // thread ID (MySQL connection ID) of the newest connection
	retryTimer   *eventloop.Timer
	loginTimeout time.Duration
}

// NewMySQLListener returns a listener that is not listening yet. pool is used only for this listener's connections to engines.
func NewMySQLListener(d *dispatcher.Dispatcher, pool *enginepool.Pool, log *slog.Logger, config MySQLConfig) *MySQLListener {
	conns, memory := newConnSet[*mysqlClient](config.MaxConns), memlimit.New(config.MaxMemory, guaranteedBytes)
	return &MySQLListener{
		connSet:      conns,
		dispatcher:   d,
		pool:         pool,
		log:          log,
		config:       config,
		memory:       memory,
		input:        inputLimiter[*mysqlClient]{memory: memory, open: conns.open},
		loginTimeout: defaultLoginTimeout,
	}
}

// Listen starts accepting connections. It does nothing if the listener is already open.
func (l *MySQLListener) Listen() error {
	if l.acceptor != nil {
		return nil
	}
	ln, err := listen(l.config.Listen)
	if err != nil {
		return fmt.Errorf("listen for MySQL clients: %w", err)
	}
	l.log.Info("mysql listener opened", "listen", ln.Addr().String())
	l.acceptor = &acceptor{loop: l.dispatcher.Loop, log: l.log, ln: ln, handle: l.handleConn, done: func() {}}
	l.watchDepartures(l.dispatcher.Loop)
	go l.acceptor.run()
	return nil
}

// Addr returns the address of the listener, or nil if it is not open.
func (l *MySQLListener) Addr() net.Addr {
	if l.acceptor == nil {
		return nil
	}
	return l.acceptor.ln.Addr()
}

// StopAccepting closes the listener and cancels a scheduled retry. Open connections are kept, and those that the kernel has already accepted
// are still handled.
func (l *MySQLListener) StopAccepting() {
	l.retryTimer.Stop()
	if l.acceptor != nil {
		l.acceptor.stop()
		l.acceptor = nil
		l.log.Info("mysql listener closed")
	}
}

// ScheduleRetry calls retry after a delay, unless StopAccepting is called before.
func (l *MySQLListener) ScheduleRetry(delay time.Duration, retry func()) {
	l.retryTimer = l.dispatcher.Loop.After(delay, retry)
}

// handleConn handles an accepted connection.
func (l *MySQLListener) handleConn(nc net.Conn) {
	if len(l.open) >= l.config.MaxConns {
		l.log.Warn("too many mysql clients, closing new connection", "open", len(l.open))
		_ = nc.Close() // the connection is not used, so an error has no consequence
		return
	}
	l.lastThreadID++
	c := &mysqlClient{listener: l, idleSince: l.dispatcher.Loop.Now()}
	machine, greeting := mysql.NewServerConn(l.config.Accounts, l.lastThreadID, newScramble(), l.memory)
	c.machine = machine
	machine.OnMemoryExceeded(func() bool { return l.input.makeRoom(c) })
	l.open[c] = true
	c.conn = eventloop.NewConn(l.dispatcher.Loop, nc, c, mysqlWriteLimit)
	c.conn.ShareLoop()
	c.conn.OnDrained(c.resumeIfDrained)
	c.conn.Write(greeting)
	c.loginTimer = c.conn.After(l.loginTimeout, c.loginTimedOut)
}

// newScramble returns the random bytes of a server greeting. They must not contain a zero byte or a dollar sign, so all are letters.
func newScramble() []byte {
	b := make([]byte, scrambleBytes)
	_, _ = rand.Read(b) // never fails
	for i := range b {
		b[i] = 'A' + b[i]%26 + 32*(b[i]>>7)
	}
	return b
}

// engineAddr returns the address at which an engine speaks MySQL.
func (l *MySQLListener) engineAddr(e core.Engine) string {
	if addr, configured := l.config.EngineAddrs[e.Name]; configured {
		return addr
	}
	host, _, err := net.SplitHostPort(e.Addr)
	if err != nil {
		return e.Addr
	}
	return net.JoinHostPort(host, l.config.EnginePort)
}
