package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// Figures of the case.
const (
	memoryWarmup  = 3 * time.Second
	badClients    = 48         // they connect by the hundreds
	badAtOnce     = 32         // hundreds of requests at once; the protocol allows 32 open ones on a connection
	badStatement  = 185 * 1000 // bytes; bodies of up to 60 MB
	memoryLimitMB = 192        // limits.memory_mb: over it the workload manager is killed
)

// memoryOf returns the private memory of a process in MB: without the pages of its program file.
func memoryOf(pid int) (mb float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kb); n == 1 {
			mb = kb / 1024
		}
	}
	return mb
}

// sendMuch is a bad client: it sends many requests at once, each with a large body that is no statement, and reads whatever is
// sent to it.
func sendMuch(rec *record, addr string, number int, answers *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		rec.add("bad client %d: %v", number, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	go func() {
		body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("no statement ", badStatement/13)))
		for id := 1; id <= badAtOnce; id++ {
			params := map[string]any{"rid": randomHex(8), "budget": 15000, "est": 1.0, "ram": 1, "blob": body}
			line, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": "report", "params": params})
			if _, err := conn.Write(append(line, '\n')); err != nil {
				rec.add("bad client %d: request %d: %v", number, id, err)
				return
			}
		}
		rec.add("bad client %d: has sent %d requests", number, badAtOnce)
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buf)
		answers.Add(int64(strings.Count(string(buf[:n]), "\n")))
		if err != nil {
			return
		}
	}
}

// playMemory lets bad clients send many large requests at once, and checks that the workload manager stays within its memory
// limit and that the usual clients get their answers. Like the platform, it kills the process once it is over the limit.
func playMemory(s *setup) int {
	o := &outs{}
	_, _, list, err := s.startEngines(6, o)
	if err != nil {
		return s.fail("%v", err)
	}
	b, err := startBulletin(s.rec, list)
	if err != nil {
		return s.fail("%v", err)
	}
	g, err := startGateway(gatewayConfig{root: s.root, temp: s.temp, caseDir: s.dir, bulletin: b})
	if err != nil {
		return s.fail("%v", err)
	}
	defer g.stop()
	c, err := dialClient(s.rec, g.addr)
	if err != nil {
		return s.fail("%v", err)
	}
	peak, over := 0.0, 0.0
	var calls []*call
	n := 0
	lookups := func(d time.Duration) { // 20 look-ups a second of a usual client
		due := time.Now()
		for until := time.Now().Add(d); time.Now().Before(until) && g.alive(); time.Sleep(5 * time.Millisecond) {
			mb := memoryOf(g.cmd.Process.Pid)
			if mb > peak+5 {
				s.rec.add("platform: the workload manager has %.0f MB", mb)
				peak = mb
			}
			if mb > memoryLimitMB && over == 0 {
				over = mb
				s.rec.add("platform: over %d MB, the workload manager is killed", memoryLimitMB)
				_ = g.cmd.Process.Kill()
				<-g.done
				return
			}
			if time.Now().After(due) {
				calls = append(calls, c.send("lookup", statement(1+n%24, 150*time.Millisecond), 4*time.Second, 150*time.Millisecond))
				n++
				due = due.Add(50 * time.Millisecond)
			}
		}
	}
	lookups(memoryWarmup)
	var badAnswers atomic.Int64
	if s.trouble {
		s.rec.add("clients: %d bad clients connect and send %d requests of %d bytes each at once", badClients, badAtOnce, badStatement)
		for i := range badClients {
			go sendMuch(s.rec, g.addr, i, &badAnswers)
		}
	}
	lookups(10 * time.Second)
	counts := map[string]int{}
	missing := 0
	for _, k := range calls {
		wait := time.Until(k.sent.Add(4500 * time.Millisecond))
		if !g.alive() {
			wait = min(wait, 200*time.Millisecond)
		}
		timeout := time.NewTimer(max(time.Millisecond, wait))
		select {
		case <-k.done:
			counts[k.verdict]++
		case <-timeout.C:
			missing++
			s.rec.add("client: %s %s has no answer: lost", k.class, k.rid)
		}
	}
	s.rec.verdict("answers to the usual client: %v, none to %d; answers to the bad clients: %d; largest private memory %.0f MB, limit %d MB",
		counts, missing, badAnswers.Load(), max(peak, over), memoryLimitMB)
	switch {
	case over > 0:
		s.rec.verdict("BROKEN: the workload manager had %.0f MB and was killed; %d requests of the usual client got no answer", over, missing)
		return broken
	case !g.alive():
		s.rec.verdict("BROKEN: the workload manager has ended")
		return broken
	case missing > 0:
		s.rec.verdict("BROKEN: %d requests of the usual client got no answer", missing)
		return broken
	case counts["served"] < len(calls)/2 && !s.trouble:
		return s.fail("too few requests were served")
	}
	s.rec.verdict("held: the workload manager stayed within its limit, and each request was answered")
	return held
}
