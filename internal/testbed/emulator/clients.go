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

// answerSlack is how long clients wait for an answer beyond a request's timeout.
const answerSlack = 500 * time.Millisecond

// Clients are open-loop clients: they send requests at the arrival times of the workload, over one connection to each
// gateway, and record every outcome. A gateway that fails a health check gets no requests until it passes one.
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

// clientConn is a connection to a gateway.
type clientConn struct {
	conn     net.Conn
	lastID   int
	pending  map[int]*pendingRequest
	answered map[int]*Outcome // recently answered requests by ID, to count duplicate answers
}

// pendingRequest is a request or health check that is waiting for its answer.
type pendingRequest struct {
	request Request
	outcome *Outcome
	timer   *time.Timer
	ping    bool // the request is a health check
	retried bool // sent a second time, because the connection closed immediately after the first
	sent    time.Duration
}

// Limits of a connection to a gateway.
const (
	pingInterval       = 500 * time.Millisecond // between health checks of a gateway
	maxUnansweredPings = 2                      // with more unanswered health checks, a gateway counts as out of service
	maxPendingPings    = 5                      // no further health check is sent while this many are pending
	dialTimeout        = time.Second
	closeRaceWindow    = 50 * time.Millisecond // a request sent less than this before its connection closes is retried
	maxAnsweredPerConn = 1000                  // answered requests remembered for each connection
	maxReplyBytes      = 1 << 20
)

// NewClients returns clients of the gateways at these addresses and starts the health checks, which Close stops. The seed
// determines which other gateway gets a request whose preferred gateway is out of service.
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

// Run sends each request at its arrival time and returns when all have completed. When stop is closed, it sends no further
// requests.
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

// Close stops the health checks and closes all connections.
func (c *Clients) Close() {
	close(c.closing)
	c.mu.Lock()
	for _, cc := range c.conns {
		if cc != nil {
			_ = cc.conn.Close()
		}
	}
	c.mu.Unlock()
	c.healthChecks.Wait()
}

// Outcomes returns the outcomes of completed requests, starting at the given index, and the index for the next call.
func (c *Clients) Outcomes(from int) ([]Outcome, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Outcome
	for _, o := range c.outcomes[from:] {
		out = append(out, *o)
	}
	return out, len(c.outcomes)
}

// chooseGateway returns the preferred gateway, or a random gateway in service if the preferred one is out of service. If no
// gateway is in service, it returns the preferred one. The caller holds the lock.
func (c *Clients) chooseGateway(preferred int) int {
	if c.serving[preferred] {
		return preferred
	}
	first := c.random.IntN(len(c.serving))
	for k := range c.serving {
		if i := (first + k) % len(c.serving); c.serving[i] {
			return i
		}
	}
	return preferred
}

// send sends a request to a gateway. It does not hold the lock while dialing.
func (c *Clients) send(r Request) {
	c.inFlight.Add(1)
	c.mu.Lock()
	gateway := c.chooseGateway(r.Gateway)
	c.mu.Unlock()
	p := &pendingRequest{request: r, outcome: &Outcome{At: c.clock(), Gateway: gateway, Class: r.Class}, sent: c.clock()}
	c.transmit(gateway, p)
}

// transmit writes a request to a gateway, and opens a connection if there is none.
func (c *Clients) transmit(gateway int, p *pendingRequest) {
	cc, err := c.getOrDial(gateway)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.serving[gateway] = false
		c.complete(p, Unreachable)
		return
	}
	if c.conns[gateway] != cc {
		// The connection closed while the lock was released, and its pending requests have already been handled, so
		// adding this request to them would leave it without an outcome until its timeout.
		c.retryOnce(gateway, p)
		return
	}
	id := cc.lastID + 1
	line, err := c.encodeRequest(id, p.request)
	cc.lastID = id
	if err != nil {
		c.complete(p, Failed)
		return
	}
	cc.pending[id] = p
	if p.timer == nil {
		p.timer = c.startTimeout(cc, id, p)
	}
	_, _ = cc.conn.Write(append(line, '\n')) // after a failed write, readReplies sees the connection close
}

// retryOnce sends a request a second time, or records it as lost if it has been retried before. The caller holds the lock.
func (c *Clients) retryOnce(gateway int, p *pendingRequest) {
	if p.retried {
		c.complete(p, Lost)
		return
	}
	p.retried = true
	go c.transmit(gateway, p)
}

// encodeRequest encodes a request in the gateways' JSON-RPC protocol, without the trailing newline.
func (c *Clients) encodeRequest(id int, r Request) ([]byte, error) {
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

// startTimeout starts the timer after which a request counts as unanswered.
func (c *Clients) startTimeout(cc *clientConn, id int, p *pendingRequest) *time.Timer {
	return time.AfterFunc(p.request.Budget+answerSlack, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if cc.pending[id] == p {
			delete(cc.pending, id)
			c.complete(p, Unanswered)
		}
	})
}

// complete records the outcome of a request. The caller holds the lock.
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

// getOrDial returns the connection to a gateway, and opens one if there is none.
func (c *Clients) getOrDial(gateway int) (*clientConn, error) {
	c.mu.Lock()
	cc := c.conns[gateway]
	c.mu.Unlock()
	if cc != nil {
		return cc, nil
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
	cc = &clientConn{conn: conn, pending: map[int]*pendingRequest{}, answered: map[int]*Outcome{}}
	c.conns[gateway] = cc
	go c.readReplies(gateway, cc)
	return cc, nil
}

// reply is a JSON-RPC response of a gateway.
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

// codeRejected is the JSON-RPC error code of a request that was rejected without side effects.
const codeRejected = -32008

// readReplies handles the replies of a gateway until the connection closes, and then retries the requests that were sent
// immediately before.
func (c *Clients) readReplies(gateway int, cc *clientConn) {
	lines := bufio.NewScanner(cc.conn)
	lines.Buffer(make([]byte, 0, 4096), maxReplyBytes)
	for lines.Scan() {
		var r reply
		err := json.Unmarshal(lines.Bytes(), &r)
		c.mu.Lock()
		c.handleReply(gateway, cc, r, err)
		c.mu.Unlock()
	}
	_ = cc.conn.Close()
	for _, p := range c.dropConnection(gateway, cc) {
		c.transmit(gateway, p)
	}
}

// dropConnection completes the pending requests of a closed connection and returns the ones to retry: those sent within
// closeRaceWindow before the close.
func (c *Clients) dropConnection(gateway int, cc *clientConn) (retries []*pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[gateway] == cc {
		c.conns[gateway] = nil
	}
	for id, p := range cc.pending {
		delete(cc.pending, id)
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

// handleReply handles a reply of a gateway; err is the error of decoding it. The caller holds the lock.
func (c *Clients) handleReply(gateway int, cc *clientConn, r reply, err error) {
	p := cc.pending[r.ID]
	if p == nil || err != nil {
		if o := cc.answered[r.ID]; o != nil {
			o.DuplicateAnswers++
		}
		return
	}
	delete(cc.pending, r.ID)
	if p.ping {
		c.serving[gateway] = r.Result != nil && r.Result.Serving != nil && *r.Result.Serving
		return
	}
	cc.answered[r.ID] = p.outcome
	delete(cc.answered, r.ID-maxAnsweredPerConn)
	c.complete(p, verdictOf(r, p.request))
}

// verdictOf returns the verdict on a request that got this reply.
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
