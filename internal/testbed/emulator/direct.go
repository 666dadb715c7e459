package emulator

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Choice is how a plain gateway chooses among the engines.
type Choice uint8

// The choices: what gateways are compared with.
const (
	Random        Choice = iota
	LeastReported        // fewest queries by the latest report of its own, plus those it has out there since
)

// Direct stands in for gateways that choose plainly and send at once: each sees only the reports in its own answers. They
// admit everything, send everything once, and use connections again for as long as a gateway of the program does.
type Direct struct {
	choice  Choice
	engines func() []*Engine
	clock   func() time.Duration
	mu      sync.Mutex
	seers   []seer
	found   []Outcome
	opened  int
	open    sync.WaitGroup
}

type seer struct {
	rnd    *rand.Rand
	report map[string]int // by engine
	out    map[string]int
	idle   map[string][]*directConn
}

type directConn struct {
	nc   net.Conn
	text *textproto.Reader
	used time.Duration
}

const directIdle = 10 * time.Second

// NewDirect makes so many plain gateways.
func NewDirect(gateways int, choice Choice, seed uint64, engines func() []*Engine, clock func() time.Duration) *Direct {
	d := &Direct{choice: choice, engines: engines, clock: clock, seers: make([]seer, gateways)}
	for i := range d.seers {
		d.seers[i] = seer{rnd: rand.New(rand.NewPCG(seed, uint64(i))), report: map[string]int{}, out: map[string]int{},
			idle: map[string][]*directConn{}}
	}
	return d
}

// Play sends the requests, each in its time, and returns once all have ended.
func (d *Direct) Play(requests []Request) {
	began := d.clock()
	for _, r := range requests {
		time.Sleep(began + r.At - d.clock())
		d.open.Add(1)
		go d.send(r)
	}
	d.open.Wait()
}

// Outcomes are those of all requests, and how many connections were opened.
func (d *Direct) Outcomes() ([]Outcome, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Outcome(nil), d.found...), d.opened
}

func (d *Direct) choose(s *seer) *Engine {
	list := d.engines()
	if len(list) == 0 {
		return nil
	}
	best := list[s.rnd.IntN(len(list))]
	if d.choice == Random {
		return best
	}
	from := s.rnd.IntN(len(list))
	for k := range list {
		e := list[(from+k)%len(list)]
		if s.report[e.Name()]+s.out[e.Name()] < s.report[best.Name()]+s.out[best.Name()] {
			best = e
		}
	}
	return best
}

func (d *Direct) send(r Request) {
	defer d.open.Done()
	s := &d.seers[r.Gateway]
	d.mu.Lock()
	e := d.choose(s)
	if e == nil {
		d.found = append(d.found, Outcome{At: d.clock(), Gateway: r.Gateway, Class: r.Class, Verdict: Failed})
		d.mu.Unlock()
		return
	}
	s.out[e.Name()]++
	d.mu.Unlock()
	o := Outcome{At: d.clock(), Gateway: r.Gateway, Class: r.Class}
	o.Verdict = d.ask(s, e, r, o.At)
	o.Took = d.clock() - o.At
	o.InTime = o.Verdict == Served && o.Took <= r.Aim
	d.mu.Lock()
	s.out[e.Name()]--
	d.found = append(d.found, o)
	d.mu.Unlock()
}

// ask carries one query to its end.
func (d *Direct) ask(s *seer, e *Engine, r Request, at time.Duration) Verdict {
	c, err := d.conn(s, e)
	if err != nil {
		return Failed
	}
	statement := Statement(r.Query)
	head := fmt.Sprintf("X-Hop-Id: %s\r\nX-Sort: c%d\r\nX-Budget: %d\r\n", r.ID, r.Class, r.Budget.Milliseconds())
	call := fmt.Sprintf("POST /v2/q HTTP/1.1\r\nHost: e\r\n%sContent-Length: %d\r\n\r\n%s", head, len(statement), statement)
	for {
		status, body, err := c.call(call)
		if err != nil {
			c.nc.Close()
			return Failed
		}
		if n, ok := inflight(status.head); ok {
			d.mu.Lock()
			s.report[e.Name()] = n
			d.mu.Unlock()
		}
		switch {
		case status.code == 202 && d.clock()-at < r.Budget:
			call = fmt.Sprintf("GET /v2/q/%s/0 HTTP/1.1\r\nHost: e\r\n\r\n", r.ID)
			continue
		case status.code == 202:
			c.call(fmt.Sprintf("DELETE /v2/q/%s HTTP/1.1\r\nHost: e\r\n\r\n", r.ID))
		}
		d.release(s, e, c)
		switch {
		case status.code == 200 && body == Rows(r.ID):
			return Served
		case status.code == 200:
			return Spoilt
		case status.code == 503:
			return Refused
		}
		return Failed
	}
}

func (d *Direct) conn(s *seer, e *Engine) (*directConn, error) {
	d.mu.Lock()
	for list := s.idle[e.Name()]; len(list) > 0; list = s.idle[e.Name()] {
		c := list[len(list)-1]
		s.idle[e.Name()] = list[:len(list)-1]
		if d.clock()-c.used < directIdle {
			d.mu.Unlock()
			return c, nil
		}
		c.nc.Close()
	}
	d.opened++
	d.mu.Unlock()
	nc, err := net.DialTimeout("tcp", e.Addr(), time.Second)
	if err != nil {
		return nil, err
	}
	return &directConn{nc: nc, text: textproto.NewReader(bufio.NewReaderSize(nc, 1024))}, nil
}

func (d *Direct) release(s *seer, e *Engine, c *directConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.used = d.clock()
	s.idle[e.Name()] = append(s.idle[e.Name()], c)
}

// Close closes the connections that are idle.
func (d *Direct) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.seers {
		for _, list := range s.idle {
			for _, c := range list {
				c.nc.Close()
			}
		}
	}
}

type status struct {
	code int
	head textproto.MIMEHeader
}

func (c *directConn) call(text string) (status, string, error) {
	if _, err := io.WriteString(c.nc, text); err != nil {
		return status{}, "", err
	}
	line, err := c.text.ReadLine()
	if err != nil {
		return status{}, "", err
	}
	head, err := c.text.ReadMIMEHeader()
	if err != nil {
		return status{}, "", err
	}
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return status{}, "", fmt.Errorf("status line %q", line)
	}
	code, err := strconv.Atoi(fields[1])
	if err != nil {
		return status{}, "", fmt.Errorf("status line %q: %w", line, err)
	}
	n, _ := strconv.Atoi(head.Get("Content-Length"))
	body := make([]byte, n)
	_, err = io.ReadFull(c.text.R, body)
	return status{code, head}, string(body), err
}

func inflight(head textproto.MIMEHeader) (int, bool) {
	for part := range strings.SplitSeq(head.Get("X-Report"), ";") {
		if text, ok := strings.CutPrefix(part, "inflight:"); ok {
			n, err := strconv.Atoi(text)
			return n, err == nil
		}
	}
	return 0, false
}
