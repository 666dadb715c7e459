package soak

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"frostpier/internal/testbed/emulator"
)

// Habits of clients.
const (
	dialTimeout       = time.Second
	meanPause         = 30 * time.Millisecond
	meanLongPause     = 400 * time.Millisecond
	maxPartialPause   = 250 * time.Millisecond // in the middle of a line
	maxAbortDelay     = 300 * time.Millisecond
	maxPipelined      = 6
	pausingClients    = 8  // one client in so many pauses for longer between its requests
	pipeliningClients = 8  // one client in so many has several requests open
	partialLines      = 20 // one request in so many is sent in two parts
	abortedRequests   = 40 // one request in so many is aborted
	rejectedQueries   = 12 // one statement in so many is rejected by every engine
	rejectedMemory    = 1e9
)

// platformClient is a client of the platform: it uses one connection at a time.
type platformClient struct {
	number   int
	gateway  *gateway
	addr     string
	classes  []emulator.Class
	random   *rand.Rand
	recorder *recorder
	engines  *engines
	pause    time.Duration // mean, between the end of a request and the next one
	openMax  int           // requests that it has open
}

func newPlatformClient(number int, g *gateway, addr string, classes []emulator.Class, seed uint64, r *recorder,
	e *engines) *platformClient {
	random := rand.New(rand.NewPCG(seed, uint64(100+number)))
	c := &platformClient{number: number, gateway: g, addr: addr, classes: classes, random: random, recorder: r, engines: e,
		pause: meanPause, openMax: 1}
	if random.IntN(pausingClients) == 0 {
		c.pause = meanLongPause
	}
	if random.IntN(pipeliningClients) == 0 {
		c.openMax = 1 + random.IntN(maxPipelined)
	}
	return c
}

// run connects again and again while the platform does, and uses each connection until its end.
func (c *platformClient) run() {
	for c.gateway.acceptsClients() {
		conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
		if err != nil {
			c.wait()
			continue
		}
		c.use(newPlatformConn(conn.(*net.TCPConn), c))
	}
}

// use sends requests over a connection until its end.
func (c *platformClient) use(conn *platformConn) {
	defer conn.close()
	for {
		select {
		case <-conn.ended:
			return
		case conn.slots <- struct{}{}:
		}
		c.wait()
		if conn.hasEnded() {
			return
		}
		c.send(conn)
	}
}

func (c *platformClient) wait() {
	time.Sleep(time.Duration(c.random.ExpFloat64() * float64(c.pause)))
}

// send sends one request, sometimes in two parts, and sometimes aborts it.
func (c *platformClient) send(conn *platformConn) {
	request, line := c.draw(conn)
	c.write(conn, request, line)
	if c.random.IntN(abortedRequests) == 0 {
		time.AfterFunc(between(c.random, 0, maxAbortDelay), func() { conn.abort(request) })
	}
}

// write writes the line of a request. A failed write shows as the end of the connection.
func (c *platformClient) write(conn *platformConn, request *Request, line []byte) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	if c.random.IntN(partialLines) == 0 {
		half := len(line) / 2
		_ = conn.write(line[:half])
		time.Sleep(between(c.random, 0, maxPartialPause))
		line = line[half:]
		if conn.hasEnded() { // before it was accepted
			return
		}
	}
	conn.send(request, line)
}

// draw draws the next request of a connection, and returns it with its line.
func (c *platformClient) draw(conn *platformConn) (*Request, []byte) {
	conn.lastNumber++
	class := c.classes[c.random.IntN(len(c.classes))]
	r := &Request{
		Gateway: c.gateway.number, Client: c.number, Number: conn.lastNumber,
		ID:         fmt.Sprintf("%016x", c.random.Uint64()),
		Class:      class.Name,
		Budget:     min(class.Timeout, maxStopDeadline),
		IsRejected: c.random.IntN(rejectedQueries) == 0,
	}
	params := map[string]any{
		"rid":    r.ID,
		"budget": r.Budget.Milliseconds(),
		"blob":   base64.StdEncoding.EncodeToString([]byte(drawStatement(c.random, class, r.IsRejected))),
	}
	if class.Load {
		params["token"] = r.ID + r.ID
	}
	line, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": r.Number, "method": class.Name, "params": params})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return r, append(line, '\n')
}

// Work of the statements, in seconds on one thread.
const (
	shortWork  = 0.008
	longWork   = 0.3
	longestMul = 8  // times longWork
	longShare  = 10 // one statement in so many takes some longWork
)

// drawStatement draws the text of a query.
func drawStatement(random *rand.Rand, class emulator.Class, rejected bool) string {
	q := emulator.Query{Work: shortWork * (0.2 + random.ExpFloat64()), Threads: 1, NeedMB: 1, Group: 1 + random.IntN(4), Load: class.Load}
	if random.IntN(longShare) == 0 {
		q.Work = longWork * (0.2 + min(longestMul, random.ExpFloat64()))
	}
	if rejected {
		q.NeedMB = rejectedMemory
	}
	return emulator.Statement(q)
}
