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

// answerGrace is how long after a query's budget its answer is still waited for.
const answerGrace = time.Second

// checker sends gateways queries whose result is known, as a client does, and compares the results: the gateways' own counts cannot
// show results that they corrupted.
//
// It has one goroutine per gateway and check. They send their results to a channel and end when the gateway is no longer a
// target.
type checker struct {
	checks   []rollout.Check
	targets  []checkTarget // by check
	gateways []Gateway
	results  chan<- checkResult

	mu      sync.Mutex
	running map[int]context.CancelFunc // by gateway
	loops   sync.WaitGroup
}

// checkTarget is the class of a check.
type checkTarget struct {
	class            int
	latencyObjective time.Duration
}

// checkResult is the result of a check at a gateway.
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

// setTargets starts to check these gateways, and stops to check all others.
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

// start starts the goroutines of a gateway, and returns what ends them.
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

// close ends all checks and waits for their goroutines.
func (k *checker) close() {
	k.setTargets(nil)
	k.loops.Wait()
}

// run sends one check to one gateway at the check's interval, over one connection at a time.
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
				continue // whether the gateway's process runs is observed elsewhere
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

// checkConn is a connection to a gateway, as a client has it.
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

// timedExchange is exchange, with the time that the answer took compared with the latency objective.
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

// checkAnswer is the part of an answer that is compared.
type checkAnswer struct {
	ID     int `json:"id"`
	Result *struct {
		Blob string `json:"blob"`
	} `json:"result"`
}

// exchange sends a query once and compares its answer; reusable reports whether the connection is still in a known state. Nothing
// is counted where the connection ended: otherwise a gateway that crashed by chance and took a while to restart would be
// blamed for the queries that it missed meanwhile.
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
	case err != nil: // its process ended: that counts as a crash, and not here as well
		return rollout.CheckResults{}, false
	}
	return checkLine(line, id, strings.ReplaceAll(check.Expect, "{rid}", rid))
}

// newRequestID returns a random id that no other request has.
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

// checkLine compares an answer with the expected result.
func checkLine(line []byte, id int, expected string) (result rollout.CheckResults, reusable bool) {
	var answer checkAnswer
	if json.Unmarshal(line, &answer) != nil || answer.ID != id {
		return rollout.CheckResults{Incorrect: 1}, false // it answers no query: what follows cannot be trusted
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
