package main

import (
	"errors"
	"io"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// docs/crossings.md has a row for each of these.

func (n *node) terminate() {
	n.t.Helper()
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitLog("msg=stopping")
}

// waitExit waits for the program's end, which must be a good one.
func (n *node) waitExit() {
	n.t.Helper()
	if err := n.cmd.Wait(); err != nil {
		n.t.Fatalf("exit: %v", err)
	}
}

// wantEOF waits for the connection's end, which must not be a reset.
func (c *rpcClient) wantEOF() {
	c.t.Helper()
	if b, err := io.ReadAll(c.reader); err != nil || len(b) > 0 {
		c.t.Fatalf("%q, %v, want the end and nothing before it", b, err)
	}
}

func (c *rpcClient) ping() *rpcClient {
	c.t.Helper()
	c.sendLine(`{"jsonrpc":"2.0","id":1,"method":"ping"}`)
	if a := c.readResponse(); a.Result == nil || a.Result.Serving == nil {
		c.t.Fatalf("ping: %+v", a)
	}
	return c
}

// A client that rests through a stop finds the connection's end before anything is lost on it: what it asks for after that was
// surely not taken, and no engine hears of it.
func TestStopEndsRestingConnections(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", e.addr()))
	c := dialRPC(t, n).ping()
	n.terminate()
	c.wantEOF()
	c.submit(2, "lookup", "late", 3000, "")
	c.conn.Close()
	n.waitExit()
	if got := e.received("late"); got != 0 {
		t.Fatalf("the engine got it %d times", got)
	}
}

// A request of which half has come when the stop begins is taken and answered.
func TestStopWaitsForHalfALine(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", e.addr()))
	c := dialRPC(t, n).ping()
	line := `{"jsonrpc":"2.0","id":2,"method":"lookup","params":{"rid":"0000000000000002","budget":3000,"blob":"eA=="}}`
	io.WriteString(c.conn, line[:40])
	n.terminate()
	c.sendLine(line[40:])
	c.wantServed(2, "a\tb\tc\n")
	c.wantEOF()
	n.waitExit()
}

// A request that waits in line for an engine, or between two attempts, when the stop begins gets its one answer before the end.
func TestStopAnswersWhatWaits(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{"no engine": "", "between attempts": "full"} {
		e := newHTTPEngine(t)
		engines := []engineEntry{}
		if text != "" {
			engines = append(engines, engineInService("e1", e.addr()))
		}
		n := startNode(t, "", engines...)
		c := dialRPC(t, n)
		c.submit(2, "report", text, 15000, "")
		if text == "" {
			c.ping()
		} else {
			waitFor(t, "the first attempt", func() bool { return e.received(text) > 0 })
		}
		n.terminate()
		if a := c.readResponse(); a.ID != 2 || a.Error == nil {
			t.Fatalf("%s: %+v", name, a)
		}
		c.wantEOF()
		n.waitExit()
	}
}

// Idle clients take all the descriptors that clients may have while discovery is down. Once it is back the list is fetched, the
// engine is reached and a new client is served.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	const sockets = 128
	n := startNodeWith(t, "", func(conf map[string]any) {
		conf["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}
		conf["bulletin"] = "127.0.0.1:1" // nobody listens there
	})
	var idle []*rpcClient
	for range sockets {
		idle = append(idle, dialRPC(t, n).ping())
	}
	waitFor(t, "those that make room", func() bool { return strings.Contains(n.log.String(), "others came") })
	n.discovery.publish(engineInService("e1", e.addr()))
	n.config["bulletin"] = n.discovery.ln.Addr().String()
	n.writeConfig()
	n.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "the list's client", func() bool { return n.discovery.connected() == 1 })
	c := dialRPC(t, n)
	c.submit(2, "lookup", "x", 3000, "")
	c.wantServed(2, "a\tb\tc\n")
	late := idle[len(idle)-1] // and one that came late and rests is still there
	late.submit(2, "lookup", "y", 3000, "")
	late.wantServed(2, "a\tb\tc\n")
	if log := n.log.String(); strings.Contains(log, "accept failed") || strings.Contains(log, "too many open files") {
		t.Fatal("descriptors ran out")
	}
}

// What one client floods in, of any kind, is bounded, and others are served beside it.
func TestFloodOfOneClientCostsOthersNothing(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", e.addr()))
	for name, text := range map[string]string{
		"empty lines": "\n", "noise": "x\n", "no line": strings.Repeat("x", 1000), "pings": `{"jsonrpc":"2.0","id":1,"method":"ping"}` + "\n",
		"requests": `{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"rid":"1","budget":3000,"blob":"eA=="}}` + "\n",
	} {
		bad := dialRPC(t, n)
		flood, done := []byte(strings.Repeat(text, 64<<10/len(text))), make(chan struct{})
		go func() {
			defer close(done)
			for range 1000 { // 64 MB, or until it is cut off
				if _, err := bad.conn.Write(flood); err != nil {
					return
				}
			}
		}()
		c := dialRPC(t, n)
		for id := range 20 {
			c.submit(100+id, "lookup", name, 3000, "")
			c.wantServed(100+id, "a\tb\tc\n")
		}
		bad.conn.Close()
		<-done
	}
}

// Restarted gateways are ready soon whatever state discovery is in, and though a crowd of idle clients takes every descriptor that
// clients may have as soon as the address is there: none of these is waited for.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	silent := serveTCP(t, func(nc net.Conn) { io.Copy(io.Discard, nc) })
	const sockets = 128
	for name, c := range map[string]struct {
		discovery string
		crowd     int
	}{"down": {"127.0.0.1:1", 0}, "silent": {silent.Addr().String(), 0}, "a crowd, and down": {"127.0.0.1:1", sockets / 2}} {
		n := startNodeWith(t, "", func(conf map[string]any) {
			conf["bulletin"] = c.discovery
			conf["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}
		}, engineInService("e1", e.addr()))
		for round := range 3 {
			at := time.Now()
			waitFor(t, "its address", func() bool {
				nc, err := net.Dial("tcp", n.listen)
				if err == nil {
					nc.Close()
				}
				return err == nil
			})
			for range c.crowd {
				dialRPC(t, n)
			}
			client := dialRPC(t, n)
			client.submit(2, "lookup", name, 3000, "")
			client.wantServed(2, "a\tb\tc\n")
			if took := time.Since(at); took > 10*time.Second {
				t.Fatalf("%s: ready after %v", name, took)
			}
			if round < 2 {
				n.killAndRestart()
			}
		}
	}
}

// killAndRestart kills the program and starts it anew while clients hold connections to it.
func (n *node) killAndRestart() {
	n.t.Helper()
	n.cmd.Process.Kill()
	var killed *exec.ExitError
	if err := n.cmd.Wait(); !errors.As(err, &killed) {
		n.t.Fatal(err)
	}
	n.start()
}

// The former process still holds the address when the next one starts: it waits for it, and ends if it is told to meanwhile.
func TestStartWaitsForTheAddress(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	first := startNode(t, "", engineInService("e1", e.addr()))
	next := &node{t: t, listen: first.listen, log: &logBuffer{}, configPath: first.configPath}
	next.launch()
	next.waitLog("waits for the address")
	first.cmd.Process.Kill()
	next.waitLog("msg=serving")
	c := dialRPC(t, next)
	c.submit(2, "lookup", "x", 3000, "")
	c.wantServed(2, "a\tb\tc\n")
	third := &node{t: t, listen: first.listen, log: &logBuffer{}, configPath: first.configPath}
	third.launch()
	third.waitLog("waits for the address")
	third.cmd.Process.Signal(syscall.SIGTERM)
	third.waitExit() // a stop before the start is done is no failure
}
