package controller

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"frostpier/internal/control/rollout"
)

// answerGrace is how long the checker waits for an answer after the query's budget has run out.
const answerGrace = time.Second

// checker sends synthetic checks to gateways: queries with a known result, over the clients' protocol. It detects corrupted results,
// which the gateways' own counts cannot show.
//
// It runs one goroutine per gateway and check. Each sends its results to a channel and ends when the gateway is no longer a target.
type checker struct {
	checks   []rollout.Check
	targets  []checkTarget // indexed like checks
	gateways []Gateway
	results  chan<- checkResult

	mu      sync.Mutex
	running map[int]context.CancelFunc // by gateway index
	loops   sync.WaitGroup
}

// checkTarget is the query class of a check, with its latency objective.
type checkTarget struct {
	class            int
	latencyObjective time.Duration
}

// checkResult is the result of one check at one gateway.
type checkResult struct {
	gateway, class int
	results        rollout.CheckResults
}

func newChecker(c CheckedPlan, results chan<- checkResult) *checker {
	k := &checker{checks: c.Plan.Checks, gateways: c.Fleet.Gateways, results: results, running: map[int]context.CancelFunc{}}
	for _, check := range c.Plan.Checks {
		class := slices.Index(c.Fleet.Classes, check.Class)
		k.targets = append(k.targets, checkTarget{class, c.Fleet.LatencyObjectives[class]})
	}
	return k
}

// setTargets makes the checker check exactly these gateways.
func (k *checker) setTargets(gateways []int) {
	if len(k.checks) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	wanted := map[int]bool{}
	for _, gateway := range gateways {
		wanted[gateway] = true
		if k.running[gateway] == nil {
			k.running[gateway] = k.start(gateway)
		}
	}
	for gateway, cancel := range k.running {
		if !wanted[gateway] {
			cancel()
			delete(k.running, gateway)
		}
	}
}

// start starts the goroutines that check a gateway, and returns a function that stops them.
func (k *checker) start(gateway int) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	for check := range k.checks {
		k.loops.Add(1)
		go func() {
			defer k.loops.Done()
			k.run(ctx, gateway, check)
		}()
	}
	return cancel
}

// close stops all checks and waits for their goroutines.
func (k *checker) close() {
	k.setTargets(nil)
	k.loops.Wait()
}

// run sends one check to one gateway at the check's interval. It reuses one connection and reconnects after a failure.
func (k *checker) run(ctx context.Context, gateway, check int) {
	ticker := time.NewTicker(time.Duration(k.checks[check].IntervalMS) * time.Millisecond)
	defer ticker.Stop()
	var conn *checkConn // nil = not connected
	defer func() {
		if conn != nil {
			conn.close()
		}
	}()
	for id := 1; ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if conn == nil {
			var err error
			if conn, err = dialGateway(k.gateways[gateway].Listen); err != nil {
				continue // not counted: Controller.tick observes whether the process runs
			}
		}
		result, reusable := conn.timedExchange(id, k.checks[check], k.targets[check].latencyObjective)
		if !reusable {
			conn.close()
			conn = nil
		}
		k.send(ctx, checkResult{gateway, k.targets[check].class, result})
	}
}

func (k *checker) send(ctx context.Context, r checkResult) {
	select {
	case k.results <- r:
	case <-ctx.Done():
	}
}

// checkConn is a client connection to a gateway.
type checkConn struct {
	net.Conn
	lines *bufio.Reader
}

func dialGateway(address string) (*checkConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &checkConn{conn, bufio.NewReader(conn)}, nil
}

func (c *checkConn) close() { _ = c.Close() }

// timedExchange calls exchange and also compares the latency of the answer with the objective.
func (c *checkConn) timedExchange(id int, check rollout.Check, latencyObjective time.Duration) (result rollout.CheckResults, reusable bool) {
	started := time.Now()
	result, reusable = c.exchange(id, check)
	elapsed := time.Since(started)
	if result.Correct+result.Incorrect > 0 && elapsed <= latencyObjective {
		result.InTime = 1
		if elapsed <= latencyObjective/4 {
			result.Fast = 1
		}
	}
	return result, reusable
}

// checkAnswer holds the fields of an answer that are compared with the expected ones.
type checkAnswer struct {
	ID     int `json:"id"`
	Result *struct {
		Blob string `json:"blob"`
	} `json:"result"`
}

// exchange sends a query once and compares its answer with the expected one; reusable reports whether the connection can be used for
// the next query. A closed connection is not counted: otherwise a gateway that crashes once would also be charged with the queries
// that fail until it has restarted.
func (c *checkConn) exchange(id int, check rollout.Check) (result rollout.CheckResults, reusable bool) {
	rid := newRequestID()
	request, err := encodeRequest(id, rid, check)
	if err != nil {
		return rollout.CheckResults{Unserved: 1}, false
	}
	budget := time.Duration(check.BudgetMS) * time.Millisecond
	if c.SetDeadline(time.Now().Add(budget+answerGrace)) != nil {
		return rollout.CheckResults{}, false
	}
	if _, err := c.Write(append(request, '\n')); err != nil {
		return rollout.CheckResults{}, false
	}
	line, err := c.lines.ReadBytes('\n')
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return rollout.CheckResults{Unserved: 1}, false
	case err != nil: // the process has ended: it is counted as a crash already
		return rollout.CheckResults{}, false
	}
	return compareAnswer(line, id, strings.ReplaceAll(check.Expect, "{rid}", rid))
}

// newRequestID returns a random 64-bit request id in hexadecimal.
func newRequestID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

func encodeRequest(id int, rid string, check rollout.Check) ([]byte, error) {
	return json.Marshal(map[string]any{
		"jsonrpc": "2.0",
		"id":      id,
		"method":  check.Class,
		"params": map[string]any{
			"rid":    rid,
			"budget": check.BudgetMS,
			"blob":   base64.StdEncoding.EncodeToString([]byte(check.Statement)),
		},
	})
}

// compareAnswer parses a line as the answer to query id, and compares its result with the expected one.
func compareAnswer(line []byte, id int, expected string) (result rollout.CheckResults, reusable bool) {
	var answer checkAnswer
	if json.Unmarshal(line, &answer) != nil || answer.ID != id {
		return rollout.CheckResults{Incorrect: 1}, false // not an answer to this query: the stream is out of sync
	}
	if answer.Result == nil {
		return rollout.CheckResults{Unserved: 1}, true
	}
	text, err := base64.StdEncoding.DecodeString(answer.Result.Blob)
	if err != nil || string(text) != expected {
		return rollout.CheckResults{Incorrect: 1}, true
	}
	return rollout.CheckResults{Correct: 1}, true
}
