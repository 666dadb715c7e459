package emulator

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Verdict is what became of a request, as its client saw it.
type Verdict uint8

// The verdicts.
const (
	Served     Verdict = iota
	Refused            // trying again is harmless
	Failed             // any other error
	Lost               // its connection ended without an answer
	Spoilt             // served with something that no engine made for it
	Unanswered         // no answer half a second after the client's time
	Unreached          // no gateway took it
)

// String names a verdict.
func (v Verdict) String() string {
	return [...]string{"served", "refused", "failed", "lost", "spoilt", "unanswered", "unreached", ""}[v&7]
}

// Outcome is a request's end.
type Outcome struct {
	At      time.Duration // when it was sent
	Gateway int
	Class   int
	Verdict Verdict
	Took    time.Duration
	InTime  bool // served within its aim
	Twice   int  // answers beyond the first
}

// answerSlack is how long after its time a request may still be answered.
const answerSlack = 500 * time.Millisecond

// Clients send traffic to gateways, over one connection to each, and take note of every answer. A plain front layer
// spreads them: who does not answer its ping is left out until it does.
type Clients struct {
	addr    []string
	clock   func() time.Duration
	classes []Class
	mu      sync.Mutex
	conns   []*clientConn
	serving []bool
	rnd     *rand.Rand
	found   []*Outcome
	open    sync.WaitGroup
	quit    chan struct{}
	pings   sync.WaitGroup
}

type clientConn struct {
	nc      net.Conn
	next    int
	pending map[int]*asked
	answers map[int]*Outcome // of what was answered, to see second answers
}

type asked struct {
	request Request
	out     *Outcome
	timer   *time.Timer
	ping    bool
	again   bool // sent once more since its connection was closed at once
	sent    time.Duration
}

// pingEvery is the time between two looks of the front at a gateway.
const pingEvery = 500 * time.Millisecond

// NewClients makes clients of the gateways at the addresses.
func NewClients(addr []string, classes []Class, seed uint64, clock func() time.Duration) *Clients {
	c := &Clients{addr: addr, clock: clock, classes: classes, conns: make([]*clientConn, len(addr)),
		serving: make([]bool, len(addr)), rnd: rand.New(rand.NewPCG(seed, 41)), quit: make(chan struct{})}
	for i := range addr {
		c.serving[i] = true
		c.pings.Add(1)
		go c.watch(i)
	}
	return c
}

// Serving reports whether the front takes a gateway to be in service.
func (c *Clients) Serving(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving[i]
}

// Play sends the requests, each in its time, and returns once all have ended. Stop ends it early.
func (c *Clients) Play(requests []Request, stop <-chan struct{}) {
	began := c.clock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, r := range requests {
		if wait := began + r.At - c.clock(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-stop:
				c.open.Wait()
				return
			}
		}
		c.send(r)
	}
	c.open.Wait()
}

// Close ends the front and all connections.
func (c *Clients) Close() {
	close(c.quit)
	c.mu.Lock()
	for _, k := range c.conns {
		if k != nil {
			k.nc.Close()
		}
	}
	c.mu.Unlock()
	c.pings.Wait()
}

// Outcomes are those of the requests that ended so far, from a mark on.
func (c *Clients) Outcomes(mark int) ([]Outcome, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Outcome
	for _, o := range c.found[mark:] {
		out = append(out, *o)
	}
	return out, len(c.found)
}

// pick is the gateway that a request goes to: its own, or while that is out of service any other.
func (c *Clients) pick(i int) int {
	if c.serving[i] {
		return i
	}
	from := c.rnd.IntN(len(c.serving))
	for k := range c.serving {
		if j := (from + k) % len(c.serving); c.serving[j] {
			return j
		}
	}
	return i
}

// send sends a request; the lock is not held during a dial.
func (c *Clients) send(r Request) {
	c.open.Add(1)
	c.mu.Lock()
	i := c.pick(r.Gateway)
	c.mu.Unlock()
	a := &asked{request: r, out: &Outcome{At: c.clock(), Gateway: i, Class: r.Class}, sent: c.clock()}
	c.transmit(i, a)
}

func (c *Clients) transmit(i int, a *asked) {
	k, err := c.conn(i)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.serving[i] = false
		c.end(a, Unreached)
		return
	}
	if c.conns[i] != k { // it ended between the two locks: what it left open has been looked through, and nobody would again
		if a.again {
			c.end(a, Lost)
			return
		}
		a.again = true
		go c.transmit(i, a)
		return
	}
	k.next++
	r := a.request
	params := map[string]any{"rid": r.ID, "budget": r.Budget.Milliseconds(), "est": math.Round(r.Estimate*1e4) / 10, "ram": r.Query.NeedMB,
		"blob": base64.StdEncoding.EncodeToString([]byte(Statement(r.Query)))}
	if r.Query.Load {
		params["token"] = r.ID + r.ID
	}
	line, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": k.next, "method": c.classes[r.Class].Name, "params": params})
	if err != nil {
		c.end(a, Failed)
		return
	}
	k.pending[k.next] = a
	id := k.next
	if a.timer == nil {
		a.timer = time.AfterFunc(r.Budget+answerSlack, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if k.pending[id] == a {
				delete(k.pending, id)
				c.end(a, Unanswered)
			}
		})
	}
	k.nc.Write(append(line, '\n'))
}

// end closes a request; the lock is held.
func (c *Clients) end(a *asked, v Verdict) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.out.Verdict, a.out.Took = v, c.clock()-a.out.At
	a.out.InTime = v == Served && a.out.Took <= a.request.Aim
	c.found = append(c.found, a.out)
	c.open.Done()
}

// conn is the connection to a gateway, a new one if need be.
func (c *Clients) conn(i int) (*clientConn, error) {
	c.mu.Lock()
	k := c.conns[i]
	c.mu.Unlock()
	if k != nil {
		return k, nil
	}
	nc, err := net.DialTimeout("tcp", c.addr[i], time.Second)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[i] != nil {
		nc.Close()
		return c.conns[i], nil
	}
	k = &clientConn{nc: nc, pending: map[int]*asked{}, answers: map[int]*Outcome{}}
	c.conns[i] = k
	go c.read(i, k)
	return k, nil
}

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

const refused = -32008

func (c *Clients) read(i int, k *clientConn) {
	lines := bufio.NewScanner(k.nc)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	for lines.Scan() {
		var r reply
		err := json.Unmarshal(lines.Bytes(), &r)
		c.mu.Lock()
		c.answered(i, k, r, err)
		c.mu.Unlock()
	}
	k.nc.Close()
	c.mu.Lock()
	if c.conns[i] == k {
		c.conns[i] = nil
	}
	var again []*asked
	for id, a := range k.pending {
		delete(k.pending, id)
		switch {
		case a.ping:
			c.serving[i] = false
		case !a.again && c.clock()-a.sent < 50*time.Millisecond: // it crossed the close
			a.again = true
			again = append(again, a)
		default:
			c.end(a, Lost)
		}
	}
	c.mu.Unlock()
	for _, a := range again {
		c.transmit(i, a)
	}
}

// answered takes a line of a gateway; the lock is held.
func (c *Clients) answered(i int, k *clientConn, r reply, err error) {
	a := k.pending[r.ID]
	if a == nil || err != nil {
		if o := k.answers[r.ID]; o != nil {
			o.Twice++
		}
		return
	}
	delete(k.pending, r.ID)
	if a.ping {
		c.serving[i] = r.Result != nil && r.Result.Serving != nil && *r.Result.Serving
		return
	}
	k.answers[r.ID] = a.out
	delete(k.answers, r.ID-1000)
	switch {
	case r.Error != nil && r.Error.Code == refused:
		c.end(a, Refused)
	case r.Error != nil || r.Result == nil:
		c.end(a, Failed)
	case r.Result.Blob != base64.StdEncoding.EncodeToString([]byte(Rows(a.request.ID))):
		c.end(a, Spoilt)
	default:
		c.end(a, Served)
	}
}

// watch is the front's look at a gateway.
func (c *Clients) watch(i int) {
	defer c.pings.Done()
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.quit:
			return
		case <-tick.C:
		}
		k, err := c.conn(i)
		c.mu.Lock()
		switch {
		case err != nil:
			c.serving[i] = false
		default:
			stuck := 0
			for _, a := range k.pending {
				if a.ping {
					stuck++
				}
			}
			if stuck > 2 { // it takes connections and says nothing
				c.serving[i] = false
			}
			if stuck < 5 {
				k.next++
				k.pending[k.next] = &asked{ping: true, sent: c.clock()}
				fmt.Fprintf(k.nc, "{\"jsonrpc\":\"2.0\",\"id\":%d,\"method\":\"ping\"}\n", k.next)
			}
		}
		c.mu.Unlock()
	}
}
