package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

func init() { scenarios["case-6"] = playMemoryGrows }

// Parameters of case 6.
const (
	halfMemoryMB  = mostMemoryMB / 2 // "half the memory and descriptors"
	halfSockets   = mostSockets / 2
	badConns      = 6
	badOpen       = 32 // requests that are open on a connection at once
	badBudgetMS   = 1  // "requests with very little time left"
	schemaNumbers = 10_000_000
	memoryPlay    = 80 * time.Second // with the disruption, unless the limit is passed earlier
	calmPlay      = 20 * time.Second // without it
)

// badTraffic counts what the bad clients do.
type badTraffic struct{ sent, answered atomic.Int64 }

// playMemoryGrows: clients of the platform send five lookups a second. The disruption are bad clients, which send requests with very little
// time left, 32 at once on each connection, read all answers, and send the next ones as soon as these are turned away. Each of their statements
// names a schema with another number. The case takes the part of the platform, which watches the memory of the gateway.
func playMemoryGrows(w *world, trouble bool) (violations []string, err error) {
	w.memoryMB, w.sockets = halfMemoryMB, halfSockets
	g, err := w.startHTTPFleet(6, false)
	if err != nil {
		return nil, err
	}
	c, err := dialRPC(g.listen)
	if err != nil {
		return nil, err
	}
	traffic := &badTraffic{}
	play := calmPlay
	if trouble {
		play = memoryPlay
		for range badConns {
			go traffic.run(g.listen)
		}
	}
	for i, end := 0, w.since()+play; w.since() < end; i++ {
		if i%5 == 0 {
			mb, err := residentMB(g.cmd.Process.Pid)
			if err != nil {
				return nil, err
			}
			w.record("gateway uses %.1f MB of %d MB; bad clients sent %d requests and got %d answers",
				mb, halfMemoryMB, traffic.sent.Load(), traffic.answered.Load())
			if mb > halfMemoryMB {
				return []string{fmt.Sprintf("the gateway uses %.1f MB, its memory_mb is %d: the platform kills it", mb, halfMemoryMB)}, nil
			}
		}
		if err := w.sendUsualLookup(c, i); err != nil {
			return nil, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, nil
}

// sendUsualLookup sends a lookup and records its answer when it comes.
func (w *world) sendUsualLookup(c *rpcClient, number int) error {
	rid, answer, err := c.send("lookup", fmt.Sprintf("SELECT answer FROM survey_%d.forms WHERE form = %d", 1+number%8, number), lookupBudget)
	if err != nil {
		return err
	}
	sent := time.Now()
	go func() {
		a := <-answer
		w.record("lookup %s: served %v after %.2f s %s", rid, a.Served, a.at.Sub(sent).Seconds(), a.Text)
	}()
	return nil
}

// run sends badOpen requests at once and reads their answers, again and again.
func (b *badTraffic) run(addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for id := 1; ; {
		var lines strings.Builder
		for range badOpen {
			statement := fmt.Sprintf("SELECT answer FROM survey_%d.forms", rand.IntN(schemaNumbers))
			fmt.Fprintf(&lines, `{"jsonrpc":"2.0","id":%d,"method":"lookup","params":{"rid":"%016x","budget":%d,"blob":"%s"}}`+"\n",
				id, rand.Uint64(), badBudgetMS, base64.StdEncoding.EncodeToString([]byte(statement)))
			id++
		}
		b.sent.Add(badOpen)
		if _, err := conn.Write([]byte(lines.String())); err != nil {
			return
		}
		for range badOpen {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			b.answered.Add(1)
		}
	}
}

// residentMB returns the memory that a process has resident.
func residentMB(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var size, resident int
	if _, err := fmt.Sscanf(string(text), "%d %d", &size, &resident); err != nil {
		return 0, err
	}
	return float64(resident) * float64(os.Getpagesize()) / (1 << 20), nil
}
