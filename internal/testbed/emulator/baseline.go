package emulator

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// BaselinePolicy is the load balancing policy of baseline gateways.
type BaselinePolicy uint8

// Load balancing policies that the program's own policy is compared with.
const (
	RandomEngine    BaselinePolicy = iota // a uniformly random engine
	MinReportedLoad                       // the engine with the lowest sum of the queries in its latest load report and the gateway's own in flight
)

// BaselineGateways are gateways without admission control, queues or retries: each query is sent to an engine
// immediately. A gateway sees only the load reports in the responses that it receives itself. It reuses idle connections
// for as long as the program's gateways do.
type BaselineGateways struct {
	policy            BaselinePolicy
	engines           func() []*Engine
	clock             func() time.Duration
	mu                sync.Mutex
	gateways          []baselineGateway
	outcomes          []Outcome
	connectionsOpened int
	inFlight          sync.WaitGroup
}

// baselineGateway is the state of one gateway. Its maps are keyed by engine name.
type baselineGateway struct {
	random       *rand.Rand
	reportedLoad map[string]int
	inFlight     map[string]int
	idle         map[string][]*engineConn
}

// engineConn is a connection to an engine, used by one query at a time.
type engineConn struct {
	conn     net.Conn
	reader   *textproto.Reader
	lastUsed time.Duration
}

// connIdleTimeout is how long a connection may stay idle and still be reused.
const connIdleTimeout = 10 * time.Second

// NewBaselineGateways returns the given number of gateways. The seed determines their random choices; engines returns the
// running engines.
func NewBaselineGateways(gateways int, policy BaselinePolicy, seed uint64, engines func() []*Engine,
	clock func() time.Duration) *BaselineGateways {
	b := &BaselineGateways{policy: policy, engines: engines, clock: clock, gateways: make([]baselineGateway, gateways)}
	for i := range b.gateways {
		b.gateways[i] = baselineGateway{
			random:       rand.New(rand.NewPCG(seed, uint64(i))),
			reportedLoad: map[string]int{},
			inFlight:     map[string]int{},
			idle:         map[string][]*engineConn{},
		}
	}
	return b
}

// Run sends each request at its arrival time and returns when all have completed.
func (b *BaselineGateways) Run(requests []Request) {
	start := b.clock()
	for _, r := range requests {
		time.Sleep(start + r.At - b.clock())
		b.inFlight.Add(1)
		go b.send(r)
	}
	b.inFlight.Wait()
}

// Outcomes returns the outcomes of all completed requests, and the number of connections opened so far.
func (b *BaselineGateways) Outcomes() (outcomes []Outcome, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Outcome(nil), b.outcomes...), b.connectionsOpened
}

// chooseEngine returns the engine for a gateway's next query, or nil if no engine is running. The caller holds the lock.
func (b *BaselineGateways) chooseEngine(g *baselineGateway) *Engine {
	engines := b.engines()
	if len(engines) == 0 {
		return nil
	}
	best := engines[g.random.IntN(len(engines))]
	if b.policy == RandomEngine {
		return best
	}
	first := g.random.IntN(len(engines)) // a random start, so that ties are spread over the engines
	for k := range engines {
		if e := engines[(first+k)%len(engines)]; g.load(e) < g.load(best) {
			best = e
		}
	}
	return best
}

// load returns the gateway's estimate of the number of queries at an engine.
func (g *baselineGateway) load(e *Engine) int { return g.reportedLoad[e.Name()] + g.inFlight[e.Name()] }

// send sends a request to an engine and records the outcome.
func (b *BaselineGateways) send(r Request) {
	defer b.inFlight.Done()
	g := &b.gateways[r.Gateway]
	b.mu.Lock()
	e := b.chooseEngine(g)
	if e == nil {
		b.outcomes = append(b.outcomes, Outcome{At: b.clock(), Gateway: r.Gateway, Class: r.Class, Verdict: Failed})
		b.mu.Unlock()
		return
	}
	g.inFlight[e.Name()]++
	b.mu.Unlock()
	o := Outcome{At: b.clock(), Gateway: r.Gateway, Class: r.Class}
	o.Verdict = b.execute(g, e, r, o.At)
	o.Latency = b.clock() - o.At
	o.InTime = o.Verdict == Served && o.Latency <= r.Objective
	b.mu.Lock()
	g.inFlight[e.Name()]--
	b.outcomes = append(b.outcomes, o)
	b.mu.Unlock()
}

// execute runs a query on an engine and polls until it ends. If the client's timeout expires first, it cancels the query.
func (b *BaselineGateways) execute(g *baselineGateway, e *Engine, r Request, start time.Duration) Verdict {
	c, err := b.acquireConn(g, e)
	if err != nil {
		return Failed
	}
	request := submitRequest(r)
	for {
		resp, err := c.roundTrip(request)
		if err != nil {
			_ = c.conn.Close()
			return Failed
		}
		b.recordReport(g, e, resp)
		if resp.code != http.StatusAccepted {
			b.releaseConn(g, e, c)
			return resp.verdict(r)
		}
		if b.clock()-start >= r.Budget {
			_, _ = c.roundTrip(fmt.Sprintf("DELETE %s%s HTTP/1.1\r\nHost: e\r\n\r\n", queryPath, r.ID))
			b.releaseConn(g, e, c)
			return Failed
		}
		request = fmt.Sprintf("GET %s%s/0 HTTP/1.1\r\nHost: e\r\n\r\n", queryPath, r.ID)
	}
}

// submitRequest returns the HTTP request that submits a query.
func submitRequest(r Request) string {
	statement := Statement(r.Query)
	header := fmt.Sprintf("X-Hop-Id: %s\r\nX-Sort: c%d\r\nX-Budget: %d\r\n", r.ID, r.Class, r.Budget.Milliseconds())
	return fmt.Sprintf("POST /v2/q HTTP/1.1\r\nHost: e\r\n%sContent-Length: %d\r\n\r\n%s", header, len(statement), statement)
}

// recordReport stores the load report of a response, if there is one.
func (b *BaselineGateways) recordReport(g *baselineGateway, e *Engine, resp response) {
	inFlight, ok := reportedInFlight(resp.header)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g.reportedLoad[e.Name()] = inFlight
}

// acquireConn returns an idle connection to an engine, or opens one.
func (b *BaselineGateways) acquireConn(g *baselineGateway, e *Engine) (*engineConn, error) {
	if c := b.takeIdle(g, e); c != nil {
		return c, nil
	}
	conn, err := net.DialTimeout("tcp", e.Addr(), dialTimeout)
	if err != nil {
		return nil, err
	}
	return &engineConn{conn: conn, reader: textproto.NewReader(bufio.NewReaderSize(conn, 1024))}, nil
}

// takeIdle returns the most recently used idle connection to an engine, and closes expired ones. If there is none, it
// returns nil and counts the connection that the caller then opens.
func (b *BaselineGateways) takeIdle(g *baselineGateway, e *Engine) *engineConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	for idle := g.idle[e.Name()]; len(idle) > 0; idle = g.idle[e.Name()] {
		c := idle[len(idle)-1]
		g.idle[e.Name()] = idle[:len(idle)-1]
		if b.clock()-c.lastUsed < connIdleTimeout {
			return c
		}
		_ = c.conn.Close()
	}
	b.connectionsOpened++
	return nil
}

// releaseConn returns a connection to the idle pool.
func (b *BaselineGateways) releaseConn(g *baselineGateway, e *Engine, c *engineConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.lastUsed = b.clock()
	g.idle[e.Name()] = append(g.idle[e.Name()], c)
}

// Close closes the idle connections.
func (b *BaselineGateways) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range b.gateways {
		for _, idle := range g.idle {
			for _, c := range idle {
				_ = c.conn.Close()
			}
		}
	}
}

// response is an HTTP response of an engine.
type response struct {
	code   int
	header textproto.MIMEHeader
	body   string
}

// verdict returns the verdict on a request that got this final response.
func (r response) verdict(request Request) Verdict {
	switch {
	case r.code == http.StatusOK && r.body == Rows(request.ID):
		return Served
	case r.code == http.StatusOK:
		return Corrupted
	case r.code == http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// roundTrip writes a request and reads its response.
func (c *engineConn) roundTrip(request string) (resp response, err error) {
	if _, err := io.WriteString(c.conn, request); err != nil {
		return resp, err
	}
	line, err := c.reader.ReadLine()
	if err != nil {
		return resp, err
	}
	if resp.header, err = c.reader.ReadMIMEHeader(); err != nil {
		return resp, err
	}
	if resp.code, err = statusCode(line); err != nil {
		return resp, err
	}
	length, _ := strconv.Atoi(resp.header.Get("Content-Length"))
	body := make([]byte, length)
	_, err = io.ReadFull(c.reader.R, body)
	resp.body = string(body)
	return resp, err
}

// statusCode parses the status code of an HTTP status line.
func statusCode(line string) (int, error) {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return 0, fmt.Errorf("status line %q has no status code", line)
	}
	code, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, fmt.Errorf("status line %q: %w", line, err)
	}
	return code, nil
}

// reportedInFlight returns the number of queries in a response's load report; false if there is none.
func reportedInFlight(header textproto.MIMEHeader) (int, bool) {
	for field := range strings.SplitSeq(header.Get("X-Report"), ";") {
		if text, found := strings.CutPrefix(field, "inflight:"); found {
			queries, err := strconv.Atoi(text)
			return queries, err == nil
		}
	}
	return 0, false
}
