package emulator

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// answerSlack is how long after its timeout a request may still be answered.
const answerSlack = 500 * time.Millisecond

// Clients are open-loop clients: they send requests at the times that the traffic gives, over one connection to each
// gateway, and record every outcome. A gateway that fails its health check gets no requests until it passes one.
type Clients struct {
	addrs        []string
	clock        func() time.Duration
	classes      []Class
	mu           sync.Mutex
	conns        []*clientConn
	serving      []bool
	random       *rand.Rand
	outcomes     []*Outcome
	inFlight     sync.WaitGroup
	closing      chan struct{}
	healthChecks sync.WaitGroup
}

// clientConn is the connection to a gateway.
type clientConn struct {
	conn     net.Conn
	lastID   int
	pending  map[int]*pendingRequest
	answered map[int]*Outcome // recent ones, to count second answers
}

// pendingRequest is a request, or a health check, that has no answer yet.
type pendingRequest struct {
	request Request
	outcome *Outcome
	timer   *time.Timer
	ping    bool
	retried bool // sent a second time, since its connection was closed at once
	sent    time.Duration
}

// Limits of a connection to a gateway.
const (
	pingInterval      = 500 * time.Millisecond // between two health checks of a gateway
	unansweredPings   = 2                      // with more a gateway is out of service: it accepts connections and never answers
	maxPendingPings   = 5                      // with so many no further one is sent
	dialTimeout       = time.Second
	closeRaceWindow   = 50 * time.Millisecond // a request sent less than this before its connection closed is retried
	answersRemembered = 1000                  // for each connection
	maxReplyBytes     = 1 << 20
)

// NewClients makes clients of the gateways at the addresses and starts their health checks, which Close ends. The seed
// decides which other gateway serves a request whose own is out of service.
func NewClients(addrs []string, classes []Class, seed uint64, clock func() time.Duration) *Clients {
	c := &Clients{
		addrs:   addrs,
		clock:   clock,
		classes: classes,
		conns:   make([]*clientConn, len(addrs)),
		serving: make([]bool, len(addrs)),
		random:  rand.New(rand.NewPCG(seed, 41)),
		closing: make(chan struct{}),
	}
	for i := range addrs {
		c.serving[i] = true
		c.healthChecks.Add(1)
		go c.checkHealth(i)
	}
	return c
}

// Run sends the requests at their times and returns once all have ended. Once stop is closed it sends no more.
func (c *Clients) Run(requests []Request, stop <-chan struct{}) {
	start := c.clock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, r := range requests {
		if wait := start + r.At - c.clock(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-stop:
				c.inFlight.Wait()
				return
			}
		}
		c.send(r)
	}
	c.inFlight.Wait()
}

// Close ends the health checks and all connections.
func (c *Clients) Close() {
	close(c.closing)
	c.mu.Lock()
	for _, k := range c.conns {
		if k != nil {
			_ = k.conn.Close()
		}
	}
	c.mu.Unlock()
	c.healthChecks.Wait()
}

// Outcomes returns the outcomes of the requests that have ended, from mark on, and the mark to continue from.
func (c *Clients) Outcomes(mark int) ([]Outcome, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Outcome
	for _, o := range c.outcomes[mark:] {
		out = append(out, *o)
	}
	return out, len(c.outcomes)
}

// chooseGateway returns the request's own gateway, or while that is out of service any other; the lock is held.
func (c *Clients) chooseGateway(own int) int {
	if c.serving[own] {
		return own
	}
	first := c.random.IntN(len(c.serving))
	for k := range c.serving {
		if i := (first + k) % len(c.serving); c.serving[i] {
			return i
		}
	}
	return own
}

// send sends a request; the lock is not held during a dial.
func (c *Clients) send(r Request) {
	c.inFlight.Add(1)
	c.mu.Lock()
	gateway := c.chooseGateway(r.Gateway)
	c.mu.Unlock()
	p := &pendingRequest{request: r, outcome: &Outcome{At: c.clock(), Gateway: gateway, Class: r.Class}, sent: c.clock()}
	c.transmit(gateway, p)
}

// transmit writes a request to a gateway, over a new connection where there is none.
func (c *Clients) transmit(gateway int, p *pendingRequest) {
	k, err := c.connection(gateway)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.serving[gateway] = false
		c.complete(p, Unreachable)
		return
	}
	if c.conns[gateway] != k {
		// The connection ended between the two locks. Its pending requests have been dealt with, so that nobody would
		// find this one there.
		c.retryOnce(gateway, p)
		return
	}
	id := k.lastID + 1
	line, err := c.requestLine(id, p.request)
	k.lastID = id
	if err != nil {
		c.complete(p, Failed)
		return
	}
	k.pending[id] = p
	if p.timer == nil {
		p.timer = c.startTimeout(k, id, p)
	}
	_, _ = k.conn.Write(append(line, '\n')) // a failed write shows as the end of the connection
}

// retryOnce sends a request a second time; one that has been is lost. The lock is held.
func (c *Clients) retryOnce(gateway int, p *pendingRequest) {
	if p.retried {
		c.complete(p, Lost)
		return
	}
	p.retried = true
	go c.transmit(gateway, p)
}

// requestLine is a request as the gateways' JSON-RPC protocol has it, without the line's end.
func (c *Clients) requestLine(id int, r Request) ([]byte, error) {
	params := map[string]any{
		"rid":    r.ID,
		"budget": r.Budget.Milliseconds(),
		"est":    math.Round(r.Estimate*1e4) / 10, // milliseconds
		"ram":    r.Query.MemoryMB,
		"blob":   base64.StdEncoding.EncodeToString([]byte(Statement(r.Query))),
	}
	if r.Query.IsDataLoad {
		params["token"] = r.ID + r.ID
	}
	return json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": c.classes[r.Class].Name, "params": params})
}

// startTimeout starts the timer that ends a request without an answer.
func (c *Clients) startTimeout(k *clientConn, id int, p *pendingRequest) *time.Timer {
	return time.AfterFunc(p.request.Budget+answerSlack, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if k.pending[id] == p {
			delete(k.pending, id)
			c.complete(p, Unanswered)
		}
	})
}

// complete records the outcome of a request; the lock is held.
func (c *Clients) complete(p *pendingRequest, verdict Verdict) {
	if p.timer != nil {
		p.timer.Stop()
	}
	o := p.outcome
	o.Verdict = verdict
	o.Latency = c.clock() - o.At
	o.InTime = verdict == Served && o.Latency <= p.request.Objective
	c.outcomes = append(c.outcomes, o)
	c.inFlight.Done()
}

// connection returns the connection to a gateway, a new one where there is none.
func (c *Clients) connection(gateway int) (*clientConn, error) {
	c.mu.Lock()
	k := c.conns[gateway]
	c.mu.Unlock()
	if k != nil {
		return k, nil
	}
	conn, err := net.DialTimeout("tcp", c.addrs[gateway], dialTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[gateway] != nil {
		_ = conn.Close()
		return c.conns[gateway], nil
	}
	k = &clientConn{conn: conn, pending: map[int]*pendingRequest{}, answered: map[int]*Outcome{}}
	c.conns[gateway] = k
	go c.readReplies(gateway, k)
	return k, nil
}

// reply is a line of a gateway.
type reply struct {
	ID     int `json:"id"`
	Result *struct {
		Blob    string `json:"blob"`
		Serving *bool  `json:"serving"`
	} `json:"result"`
	Error *struct {
		Code int `json:"code"`
	} `json:"error"`
}

// codeRejected is the JSON-RPC error code of a request that was rejected without effect.
const codeRejected = -32008

// readReplies handles a gateway's lines until its connection ends.
func (c *Clients) readReplies(gateway int, k *clientConn) {
	lines := bufio.NewScanner(k.conn)
	lines.Buffer(make([]byte, 0, 4096), maxReplyBytes)
	for lines.Scan() {
		var r reply
		err := json.Unmarshal(lines.Bytes(), &r)
		c.mu.Lock()
		c.handleReply(gateway, k, r, err)
		c.mu.Unlock()
	}
	_ = k.conn.Close()
	for _, p := range c.dropConnection(gateway, k) {
		c.transmit(gateway, p)
	}
}

// dropConnection ends what is pending on a connection that has closed, and returns the requests to send again: those
// that were on their way when it closed.
func (c *Clients) dropConnection(gateway int, k *clientConn) (retries []*pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[gateway] == k {
		c.conns[gateway] = nil
	}
	for id, p := range k.pending {
		delete(k.pending, id)
		switch {
		case p.ping:
			c.serving[gateway] = false
		case !p.retried && c.clock()-p.sent < closeRaceWindow:
			p.retried = true
			retries = append(retries, p)
		default:
			c.complete(p, Lost)
		}
	}
	return retries
}

// handleReply handles a line of a gateway, which err says could not be decoded; the lock is held.
func (c *Clients) handleReply(gateway int, k *clientConn, r reply, err error) {
	p := k.pending[r.ID]
	if p == nil || err != nil {
		if o := k.answered[r.ID]; o != nil {
			o.DuplicateAnswers++
		}
		return
	}
	delete(k.pending, r.ID)
	if p.ping {
		c.serving[gateway] = r.Result != nil && r.Result.Serving != nil && *r.Result.Serving
		return
	}
	k.answered[r.ID] = p.outcome
	delete(k.answered, r.ID-answersRemembered)
	c.complete(p, verdictOf(r, p.request))
}

// verdictOf compares a reply with what the request is to be answered with.
func verdictOf(r reply, request Request) Verdict {
	switch {
	case r.Error != nil && r.Error.Code == codeRejected:
		return Rejected
	case r.Error != nil || r.Result == nil:
		return Failed
	case r.Result.Blob != base64.StdEncoding.EncodeToString([]byte(Rows(request.ID))):
		return Corrupted
	}
	return Served
}
