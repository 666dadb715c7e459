package main

import (
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"frostpier/internal/testbed/soak"
)

// docs/design/crossings.md has a row for each of these.

// terminate sends SIGTERM and waits until the shutdown has begun.
func (n *node) terminate() {
	n.t.Helper()
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitLog("msg=stopping")
}

// waitExit waits for the program to exit, which must be with code 0.
func (n *node) waitExit() {
	n.t.Helper()
	if err := n.cmd.Wait(); err != nil {
		n.t.Fatalf("exit: %v", err)
	}
}

// wantEOF waits for the end of the connection, before which nothing more must come and which must not be a reset.
func (c *rpcClient) wantEOF() {
	c.t.Helper()
	if b, err := io.ReadAll(c.reader); err != nil || len(b) > 0 {
		c.t.Fatalf("%q, %v, want EOF and nothing before it", b, err)
	}
}

// ping sends a ping and reads its response.
func (c *rpcClient) ping() *rpcClient {
	c.t.Helper()
	c.sendLine(`{"jsonrpc":"2.0","id":1,"method":"ping"}`)
	if a := c.readResponse(); a.Result == nil || a.Result.Serving == nil {
		c.t.Fatalf("ping: %+v", a)
	}
	return c
}

// An idle client sees the end of its connection in a shutdown before a request can be lost on it: one that it sends after
// that was certainly not accepted, and reaches no engine.
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

// A client that goes on using its connection in a shutdown finds the end of it together with a response, while the gateway still waits
// for a long query of another client. Connections that were never idle together once stayed until 3.2 s after SIGTERM and were closed
// all at once, in the middle of their clients' pauses, so that requests crossed the end.
func TestStopEndsConnectionsWithTheirResponses(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", e.addr()))
	waiting := dialRPC(t, n)
	waiting.submit(2, "report", "sleep", 15000, "")
	waitFor(t, "the long query", func() bool { return e.received("sleep") == 1 })
	c := dialRPC(t, n)
	n.terminate()
	for id := 100; ; id++ { // the name of a query is its number
		c.submit(id, "lookup", "x", 3000, "")
		c.wantServed(id, "a\tb\tc\n")
		time.Sleep(5 * time.Millisecond) // by which the end that came with the response has arrived
		if soak.AtEOF(c.conn.(syscall.Conn)) {
			break
		}
	}
	waiting.conn.SetReadDeadline(time.Now().Add(time.Second)) // its own response is due 2.4 s later
	if b, err := waiting.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%q, %v, want no response to the long query yet", b, err)
	}
	waiting.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	waiting.wantError(2, -32008)
	waiting.wantEOF()
	n.waitExit()
}

// A request of which half has arrived when the shutdown begins is accepted and replied to.
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

// A request that is queued, or between two attempts, when the shutdown begins gets its one reply before the end.
func TestStopAnswersWhatWaits(t *testing.T) {
	t.Parallel()
	t.Run("no engine", func(t *testing.T) {
		n := startNode(t, "")
		c := dialRPC(t, n)
		c.submit(2, "report", "", 15000, "")
		c.ping()
		wantErrorAtStop(t, n, c)
	})
	t.Run("between attempts", func(t *testing.T) {
		e := newHTTPEngine(t)
		n := startNode(t, "", engineInService("e1", e.addr()))
		c := dialRPC(t, n)
		c.submit(2, "report", "full", 15000, "")
		waitFor(t, "the first attempt", func() bool { return e.received("full") > 0 })
		wantErrorAtStop(t, n, c)
	})
}

// wantErrorAtStop shuts the program down. Request 2 must get an error as its one reply, and the program must exit.
func wantErrorAtStop(t *testing.T, n *node, c *rpcClient) {
	t.Helper()
	n.terminate()
	if r := c.readResponse(); r.ID != 2 || r.Error == nil {
		t.Fatalf("%+v", r)
	}
	c.wantEOF()
	n.waitExit()
}

// Idle clients use up the descriptors of the clients while discovery is down. Once it is back, the list is fetched, the
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
	waitFor(t, "connections closed for others", func() bool { return strings.Contains(n.log.String(), "evicted for a new connection") })
	n.discovery.publish(engineInService("e1", e.addr()))
	n.config["bulletin"] = n.discovery.ln.Addr().String()
	n.writeConfig()
	n.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "the discovery watch", func() bool { return n.discovery.connected() == 1 })
	c := dialRPC(t, n)
	c.submit(2, "lookup", "x", 3000, "")
	c.wantServed(2, "a\tb\tc\n")
	late := idle[len(idle)-1] // the last one, though idle, is still connected
	late.submit(2, "lookup", "y", 3000, "")
	late.wantServed(2, "a\tb\tc\n")
	if log := n.log.String(); strings.Contains(log, "accept failed") || strings.Contains(log, "too many open files") {
		t.Fatal("descriptors ran out")
	}
}

// What one client can flood the program with is bounded, and other clients are served meanwhile.
func TestFloodOfOneClientCostsOthersNothing(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", e.addr()))
	for name, text := range map[string]string{
		"empty lines": "\n",
		"noise":       "x\n",
		"no line":     strings.Repeat("x", 1000),
		"pings":       `{"jsonrpc":"2.0","id":1,"method":"ping"}` + "\n",
		"requests":    `{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"rid":"1","budget":3000,"blob":"eA=="}}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			flooding := dialRPC(t, n)
			done := make(chan struct{})
			go func() {
				defer close(done)
				flooding.flood(text)
			}()
			c := dialRPC(t, n)
			for id := range 20 {
				c.submit(100+id, "lookup", name, 3000, "")
				c.wantServed(100+id, "a\tb\tc\n")
			}
			flooding.conn.Close()
			<-done
		})
	}
}

// flood sends a text again and again, 64 MB in all or until the connection ends.
func (c *rpcClient) flood(text string) {
	const block, blocks = 64 << 10, 1000
	bytes := []byte(strings.Repeat(text, block/len(text)))
	for range blocks {
		if _, err := c.conn.Write(bytes); err != nil {
			return
		}
	}
}

// A restarted gateway serves soon whatever state discovery is in, even if idle clients use up the clients' descriptors as
// soon as it listens. It waits for none of these.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	silent := serveTCP(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	const (
		sockets = 128
		down    = "127.0.0.1:1"
	)
	for _, test := range []struct {
		name, discovery string
		idleClients     int
	}{
		{"down", down, 0},
		{"silent", silent.Addr().String(), 0},
		{"down with idle clients", down, sockets / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := startNodeWith(t, "", func(config map[string]any) {
				config["bulletin"] = test.discovery
				config["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets}
			}, engineInService("e1", e.addr()))
			n.wantReady(test.name, test.idleClients)
			for range 2 {
				n.killAndRestart()
				n.wantReady(test.name, test.idleClients)
			}
		})
	}
}

// wantReady waits until the program listens, connects idle clients, and checks that a query is served soon.
func (n *node) wantReady(statement string, idleClients int) {
	n.t.Helper()
	started := time.Now()
	waitFor(n.t, "its address", func() bool {
		conn, err := net.Dial("tcp", n.listen)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	for range idleClients {
		dialRPC(n.t, n)
	}
	client := dialRPC(n.t, n)
	client.submit(2, "lookup", statement, 3000, "")
	client.wantServed(2, "a\tb\tc\n")
	if took := time.Since(started); took > 10*time.Second {
		n.t.Fatalf("ready after %v", took)
	}
}

// killAndRestart kills the program and restarts it while clients have connections to it.
func (n *node) killAndRestart() {
	n.t.Helper()
	n.cmd.Process.Kill()
	var killed *exec.ExitError
	if err := n.cmd.Wait(); !errors.As(err, &killed) {
		n.t.Fatal(err)
	}
	n.start()
}

// While the former process still has the address, the next one waits for it, and exits with code 0 if it is told to stop
// meanwhile.
func TestStartWaitsForTheAddress(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	first := startNode(t, "", engineInService("e1", e.addr()))
	next := &node{t: t, listen: first.listen, log: &logBuffer{}, configPath: first.configPath}
	next.launch()
	next.waitLog("address in use, retrying")
	first.cmd.Process.Kill()
	next.waitLog("msg=serving")
	c := dialRPC(t, next)
	c.submit(2, "lookup", "x", 3000, "")
	c.wantServed(2, "a\tb\tc\n")
	third := &node{t: t, listen: first.listen, log: &logBuffer{}, configPath: first.configPath}
	third.launch()
	third.waitLog("address in use, retrying")
	third.cmd.Process.Signal(syscall.SIGTERM)
	third.waitExit() // a stop before the start is complete is no failure
}
