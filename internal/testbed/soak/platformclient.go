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

// Behavior of the platform's clients.
const (
	dialTimeout        = time.Second
	meanPause          = 30 * time.Millisecond
	meanLongPause      = 400 * time.Millisecond
	maxPartialPause    = 250 * time.Millisecond // between the two parts of a line
	maxAbortDelay      = 300 * time.Millisecond
	maxPipelined       = 6
	longPauseOneIn     = 8   // one client in 8 pauses for meanLongPause between its requests
	pipeliningOneIn    = 8   // one client in 8 pipelines requests
	partialLineOneIn   = 20  // one request in 20 is sent in two parts
	abortOneIn         = 40  // one request in 40 is aborted
	rejectedQueryOneIn = 12  // one statement in 12 is rejected by every engine
	rejectedMemory     = 1e9 // MB, more than any engine has
)

// platformClient is a JSON-RPC client that uses one connection at a time.
type platformClient struct {
	number   int
	gateway  *gateway
	addr     string
	classes  []emulator.Class
	random   *rand.Rand
	recorder *recorder
	engines  *engines
	pause    time.Duration // mean pause before the next request
	maxOpen  int           // maximum number of pipelined requests
}

func newPlatformClient(number int, g *gateway, addr string, classes []emulator.Class, seed uint64, r *recorder,
	e *engines) *platformClient {
	random := rand.New(rand.NewPCG(seed, uint64(100+number)))
	c := &platformClient{number: number, gateway: g, addr: addr, classes: classes, random: random, recorder: r, engines: e,
		pause: meanPause, maxOpen: 1}
	if random.IntN(longPauseOneIn) == 0 {
		c.pause = meanLongPause
	}
	if random.IntN(pipeliningOneIn) == 0 {
		c.maxOpen = 1 + random.IntN(maxPipelined)
	}
	return c
}

// run sends requests over one connection after the other. It stops reconnecting when the gateway stops accepting clients.
func (c *platformClient) run() {
	for c.gateway.acceptsClients() {
		conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
		if err != nil {
			c.wait()
			continue
		}
		c.sendRequests(newPlatformConn(conn.(*net.TCPConn), c))
	}
}

// sendRequests sends requests until the connection is closed.
func (c *platformClient) sendRequests(conn *platformConn) {
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

// send sends one request and schedules an abort of one request in abortOneIn.
func (c *platformClient) send(conn *platformConn) {
	request, line := c.newRequest(conn)
	c.writeRequest(conn, request, line)
	if c.random.IntN(abortOneIn) == 0 {
		time.AfterFunc(randomDuration(c.random, 0, maxAbortDelay), func() { conn.abort(request) })
	}
}

// writeRequest writes the line of a request, sometimes in two parts. The reader detects a failed write as a closed connection.
func (c *platformClient) writeRequest(conn *platformConn, request *Request, line []byte) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	if c.random.IntN(partialLineOneIn) == 0 {
		half := len(line) / 2
		_ = conn.write(line[:half])
		time.Sleep(randomDuration(c.random, 0, maxPartialPause))
		line = line[half:]
		if conn.hasEnded() { // the gateway has not accepted the incomplete request
			return
		}
	}
	conn.send(request, line)
}

// newRequest generates the next request of a connection and its encoded line.
func (c *platformClient) newRequest(conn *platformConn) (*Request, []byte) {
	conn.lastNumber++
	class := c.classes[c.random.IntN(len(c.classes))]
	r := &Request{
		Gateway: c.gateway.number, Client: c.number, Number: conn.lastNumber,
		ID:         fmt.Sprintf("%016x", c.random.Uint64()),
		Class:      class.Name,
		Budget:     min(class.Timeout, maxStopDeadline),
		IsRejected: c.random.IntN(rejectedQueryOneIn) == 0,
	}
	params := map[string]any{
		"rid":    r.ID,
		"budget": r.Budget.Milliseconds(),
		"blob":   base64.StdEncoding.EncodeToString([]byte(randomStatement(c.random, class, r.IsRejected))),
	}
	if class.IsDataLoad {
		params["token"] = r.ID + r.ID
	}
	line, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": r.Number, "method": class.Name, "params": params})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return r, append(line, '\n')
}

// Work of the statements, in seconds of one thread.
const (
	shortWork      = 0.008
	longWork       = 0.3
	maxLongFactor  = 8  // bounds the random multiple of longWork
	longQueryOneIn = 10 // one statement in 10 takes a random multiple of longWork
)

// randomStatement generates the text of a query.
func randomStatement(random *rand.Rand, class emulator.Class, rejected bool) string {
	q := emulator.Query{Work: shortWork * (0.2 + random.ExpFloat64()), Threads: 1, MemoryMB: 1, Group: 1 + random.IntN(4), IsDataLoad: class.IsDataLoad}
	if random.IntN(longQueryOneIn) == 0 {
		q.Work = longWork * (0.2 + min(maxLongFactor, random.ExpFloat64()))
	}
	if rejected {
		q.MemoryMB = rejectedMemory
	}
	return emulator.Statement(q)
}
