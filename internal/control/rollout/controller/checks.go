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

// checker asks gateways known queries, as a client does, and compares the results. What the gateways count cannot show
// an answer that they spoilt themselves.
type checker struct {
	checks   []rollout.Check
	aims     []time.Duration // by check
	classes  []int           // likewise
	gateways []Gateway
	found    chan<- checkedAt
	mu       sync.Mutex
	running  map[int]context.CancelFunc
	done     sync.WaitGroup
}

type checkedAt struct {
	gateway, class int
	c              rollout.CheckResults
}

func newChecker(c Checked, found chan<- checkedAt) *checker {
	k := &checker{checks: c.Plan.Checks, gateways: c.Fleet.Gateways, found: found, running: map[int]context.CancelFunc{}}
	for _, check := range c.Plan.Checks {
		n := slices.Index(c.Fleet.Classes, check.Class)
		k.classes, k.aims = append(k.classes, n), append(k.aims, c.Fleet.Aims[n])
	}
	return k
}

// target has just these gateways asked.
func (k *checker) target(gateways []int) {
	if len(k.checks) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	wanted := map[int]bool{}
	for _, i := range gateways {
		wanted[i] = true
		if k.running[i] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			k.running[i] = cancel
			for n := range k.checks {
				k.done.Add(1)
				go k.ask(ctx, i, n)
			}
		}
	}
	for i, cancel := range k.running {
		if !wanted[i] {
			cancel()
			delete(k.running, i)
		}
	}
}

// close ends all asking.
func (k *checker) close() {
	k.target([]int{})
	k.done.Wait()
}

// ask asks one gateway one query again and again, over one connection at a time.
func (k *checker) ask(ctx context.Context, i, n int) {
	defer k.done.Done()
	c := k.checks[n]
	tick := time.NewTicker(time.Duration(c.IntervalMS) * time.Millisecond)
	defer tick.Stop()
	var conn net.Conn
	var lines *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for id := 1; ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", k.gateways[i].Listen, time.Second); err != nil {
				conn = nil // whether its process runs is looked at elsewhere
				continue
			}
			lines = bufio.NewReader(conn)
		}
		began := time.Now()
		result, well := one(conn, lines, id, c)
		if took := time.Since(began); result.Correct+result.Incorrect > 0 && took <= k.aims[n] {
			result.InTime = 1
			if took <= k.aims[n]/4 {
				result.Fast = 1
			}
		}
		if !well {
			conn.Close()
			conn = nil
		}
		k.report(ctx, i, n, result)
	}
}

func (k *checker) report(ctx context.Context, i, n int, c rollout.CheckResults) {
	select {
	case k.found <- checkedAt{i, k.classes[n], c}:
	case <-ctx.Done():
	}
}

// one asks once; well reports whether the connection may be used again. Nothing is counted where the connection ended: a
// gateway that died by chance and took a while to start again was blamed for the queries that it missed meanwhile.
func one(conn net.Conn, lines *bufio.Reader, id int, c rollout.Check) (result rollout.CheckResults, well bool) {
	var raw [8]byte
	rand.Read(raw[:])
	rid := hex.EncodeToString(raw[:])
	call, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": c.Class, "params": map[string]any{
		"rid": rid, "budget": c.BudgetMS, "blob": base64.StdEncoding.EncodeToString([]byte(c.Statement))}})
	if err != nil {
		return rollout.CheckResults{Unserved: 1}, false
	}
	conn.SetDeadline(time.Now().Add(time.Duration(c.BudgetMS)*time.Millisecond + time.Second))
	if _, err := conn.Write(append(call, '\n')); err != nil {
		return rollout.CheckResults{}, false
	}
	line, err := lines.ReadBytes('\n')
	var late net.Error
	switch {
	case errors.As(err, &late) && late.Timeout():
		return rollout.CheckResults{Unserved: 1}, false
	case err != nil: // its process ended: that counts as a crash, and not here as well
		return rollout.CheckResults{}, false
	}
	var answer struct {
		ID     int `json:"id"`
		Result *struct {
			Blob string `json:"blob"`
		} `json:"result"`
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal(line, &answer) != nil || answer.ID != id {
		return rollout.CheckResults{Incorrect: 1}, false // no answer to this: nothing on this connection can be trusted
	}
	if answer.Result == nil {
		return rollout.CheckResults{Unserved: 1}, true
	}
	text, err := base64.StdEncoding.DecodeString(answer.Result.Blob)
	if err != nil || string(text) != strings.ReplaceAll(c.Expect, "{rid}", rid) {
		return rollout.CheckResults{Incorrect: 1}, true
	}
	return rollout.CheckResults{Correct: 1}, true
}
