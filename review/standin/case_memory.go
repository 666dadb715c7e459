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
	memoryLength  = 40 * time.Second
	memoryLookups = 50 * time.Millisecond
	badClients    = 64         // they connect by the hundreds
	badAtOnce     = 32         // hundreds of requests at once; the protocol allows 32 open ones on a connection
	badStatement  = 185 * 1000 // bytes; bodies of up to 60 MB
	memoryLimitMB = 96         // limits.memory_mb: over it the workload manager is killed
	memorySockets = 512
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
	_ = conn.SetDeadline(time.Now().Add(memoryLength))
	go func() {
		body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("no statement ", badStatement/13)))
		for id := 1; id <= badAtOnce; id++ {
			params := map[string]any{"rid": randomHex(8), "budget": 30000, "est": 1.0, "ram": 1, "blob": body}
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

// watchMemory sends look-ups at their interval until a time, and watches the memory of the gateway meanwhile. Like the platform,
// it kills the process once it is over the limit. It returns the largest memory, in MB, and whether that was over the limit.
func (w *world) watchMemory(until time.Time) (peak float64, over bool) {
	for due := time.Now(); time.Now().Before(until) && w.gateway.alive(); time.Sleep(5 * time.Millisecond) {
		mb := memoryOf(w.gateway.cmd.Process.Pid)
		if mb > peak+5 {
			w.rec.add("platform: the workload manager has %.0f MB", mb)
			peak = mb
		}
		if mb > memoryLimitMB {
			w.rec.add("platform: over %d MB, the workload manager is killed", memoryLimitMB)
			w.gateway.kill()
			return mb, true
		}
		if time.Now().After(due) {
			w.sendLookup()
			due = due.Add(memoryLookups)
		}
	}
	return peak, false
}

// playMemory lets bad clients send many large requests at once, and checks that the gateway stays within its memory limit and
// that the usual client gets its answers.
func playMemory(s *setup) int {
	s.memoryMB, s.sockets = memoryLimitMB, memorySockets
	w, err := newWorld(s, 6, 1)
	defer w.close()
	if err != nil {
		return s.fail("%v", err)
	}
	_, _ = w.watchMemory(time.Now().Add(memoryWarmup))
	var badAnswers atomic.Int64
	if s.trouble {
		s.rec.add("clients: %d bad clients connect and send %d requests of %d bytes each at once", badClients, badAtOnce, badStatement)
		for i := range badClients {
			go sendMuch(s.rec, w.gateway.addr, i, &badAnswers)
		}
	}
	peak, over := w.watchMemory(time.Now().Add(memoryLength))
	answers, missing := w.awaitAnswers(500 * time.Millisecond)
	s.rec.verdict("answers to the usual client: %v, none to %d; answers to the bad clients: %d; largest private memory %.0f MB, limit %d MB",
		answers, missing, badAnswers.Load(), peak, memoryLimitMB)
	switch {
	case over:
		s.rec.verdict("BROKEN: the workload manager had %.0f MB and was killed; %d requests of the usual client got no answer", peak, missing)
		return broken
	case !w.gateway.alive():
		s.rec.verdict("BROKEN: the workload manager has ended")
		return broken
	case missing > 0:
		s.rec.verdict("BROKEN: %d requests of the usual client got no answer", missing)
		return broken
	case answers["served"] < len(w.calls)/2 && !s.trouble:
		return s.fail("too few requests were served")
	}
	s.rec.verdict("held: the workload manager stayed within its limit, and each request was answered")
	return held
}
