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
	"frostpier/internal/testutil"
)

// The tests in this file force races between clients, discovery, and the start and shutdown of the gateway; docs/design/crossings.md lists
// them.

// terminate sends SIGTERM and waits until the program logs that it is shutting down.
func (n *node) terminate() {
	n.t.Helper()
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitLog("msg=stopping")
}

// waitExit waits for the program to exit, and checks that the exit code is 0.
func (n *node) waitExit() {
	n.t.Helper()
	if err := n.cmd.Wait(); err != nil {
		n.t.Fatalf("the program exited with %v, want exit code 0", err)
	}
}

// wantEOF checks that the server closes the connection without a reset and sends nothing before that.
func (c *rpcClient) wantEOF() {
	c.t.Helper()
	if b, err := io.ReadAll(c.reader); err != nil || len(b) > 0 {
		c.t.Fatalf("read %q, %v, want EOF without data", b, err)
	}
}

// ping sends a ping and reads its response.
func (c *rpcClient) ping() *rpcClient {
	c.t.Helper()
	c.sendLine(`{"jsonrpc":"2.0","id":1,"method":"ping"}`)
	if a := c.readResponse(); a.Result == nil || a.Result.Serving == nil {
		c.t.Fatalf("ping: response %+v, want a result", a)
	}
	return c
}

// TestShutdownClosesIdleConnections checks that a shutdown closes an idle connection before a request can be lost on it: a request that
// the client sends after the close is not accepted and reaches no engine.
func TestShutdownClosesIdleConnections(t *testing.T) {
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
		t.Fatalf("the engine received the late request %d times, want 0", got)
	}
}

// TestShutdownClosesBusyConnectionsAfterResponse checks that a shutdown closes a connection that a client keeps using right after a
// response, while the gateway still waits for another client's long query. Connections that were busy were once kept open until 3.2 s
// after SIGTERM and then all closed at once, between two requests of their clients, so that some requests were lost in that race.
func TestShutdownClosesBusyConnectionsAfterResponse(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", e.addr()))
	waiting := dialRPC(t, n)
	waiting.submit(2, "report", "sleep", 15000, "")
	waitFor(t, "the long query", func() bool { return e.received("sleep") == 1 })
	c := dialRPC(t, n)
	n.terminate()
	for id := 100; ; id++ { // each query needs another id
		c.submit(id, "lookup", "x", 3000, "")
		c.wantServed(id, "a\tb\tc\n")
		time.Sleep(5 * time.Millisecond) // long enough for an EOF that follows the response to arrive
		if soak.AtEOF(c.conn.(syscall.Conn)) {
			break
		}
	}
	waiting.conn.SetReadDeadline(time.Now().Add(time.Second)) // the response to the long query follows 2.4 s later
	if b, err := waiting.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %q, %v, want no response to the long query yet", b, err)
	}
	waiting.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	waiting.wantError(2, -32008)
	waiting.wantEOF()
	n.waitExit()
}

// TestShutdownServesPartiallyReceivedRequest checks that a request is still served if only a part of its line has arrived when the
// shutdown begins.
func TestShutdownServesPartiallyReceivedRequest(t *testing.T) {
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

// TestShutdownRepliesToPendingRequests checks that a request that is queued, or between two attempts, when the shutdown begins gets
// exactly one reply before its connection is closed.
func TestShutdownRepliesToPendingRequests(t *testing.T) {
	t.Parallel()
	t.Run("no engine", func(t *testing.T) {
		n := startNode(t, "")
		c := dialRPC(t, n)
		c.submit(2, "report", "", 15000, "")
		c.ping()
		wantErrorOnShutdown(t, n, c)
	})
	t.Run("between attempts", func(t *testing.T) {
		e := newHTTPEngine(t)
		n := startNode(t, "", engineInService("e1", e.addr()))
		c := dialRPC(t, n)
		c.submit(2, "report", "full", 15000, "")
		waitFor(t, "the first attempt", func() bool { return e.received("full") > 0 })
		wantErrorOnShutdown(t, n, c)
	})
}

// wantErrorOnShutdown shuts the program down, and checks that request 2 gets an error as its only reply and that the program exits.
func wantErrorOnShutdown(t *testing.T, n *node, c *rpcClient) {
	t.Helper()
	n.terminate()
	if r := c.readResponse(); r.ID != 2 || r.Error == nil {
		t.Fatalf("response %+v, want an error for request 2", r)
	}
	c.wantEOF()
	n.waitExit()
}

// TestIdleClientsDoNotBlockDiscoveryReconnect lets idle clients use up the descriptors reserved for clients while the discovery server is
// down. It checks that the gateway still fetches the engine list once discovery is back, connects to the engine, and serves a new client.
func TestIdleClientsDoNotBlockDiscoveryReconnect(t *testing.T) {
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
	waitFor(t, "evicted connections", func() bool { return strings.Contains(n.log.String(), "evicted for a new connection") })
	n.discovery.publish(engineInService("e1", e.addr()))
	n.config["bulletin"] = n.discovery.ln.Addr().String()
	n.writeConfig()
	n.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "the discovery watch", func() bool { return n.discovery.connections() == 1 })
	c := dialRPC(t, n)
	c.submit(2, "lookup", "x", 3000, "")
	c.wantServed(2, "a\tb\tc\n")
	late := idle[len(idle)-1] // the newest idle client has not been evicted
	late.submit(2, "lookup", "y", 3000, "")
	late.wantServed(2, "a\tb\tc\n")
	if log := n.log.String(); strings.Contains(log, "accept failed") || strings.Contains(log, "too many open files") {
		t.Fatal("descriptors ran out")
	}
}

// TestFloodingClientDoesNotBlockOthers checks that other clients are served while one client floods the gateway with input.
func TestFloodingClientDoesNotBlockOthers(t *testing.T) {
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

// flood sends a text repeatedly, until 64 MB are sent or the connection is closed.
func (c *rpcClient) flood(text string) {
	const block, blocks = 64 << 10, 1000
	bytes := []byte(strings.Repeat(text, block/len(text)))
	for range blocks {
		if _, err := c.conn.Write(bytes); err != nil {
			return
		}
	}
}

// TestRestartedGatewayServesWithoutDiscovery checks that a restarted gateway serves soon while the discovery server is down or does not
// respond, even if idle clients use up the descriptors reserved for clients as soon as it listens.
func TestRestartedGatewayServesWithoutDiscovery(t *testing.T) {
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

// wantReady waits until the program listens, connects idle clients, and checks that a query is served within 10 s.
func (n *node) wantReady(statement string, idleClients int) {
	n.t.Helper()
	started := time.Now()
	waitFor(n.t, "the listener", func() bool {
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
		n.t.Fatalf("ready after %v, want at most 10s", took)
	}
}

// killAndRestart kills the program while clients are connected, and restarts it.
func (n *node) killAndRestart() {
	n.t.Helper()
	n.cmd.Process.Kill()
	var killed *exec.ExitError
	if err := n.cmd.Wait(); !errors.As(err, &killed) {
		n.t.Fatalf("the killed program exited with %v, want an ExitError", err)
	}
	n.start()
}

// TestStartRetriesAddressInUse checks that a process waits for its listen address while the previous process still uses it, and that it
// exits with code 0 on a SIGTERM while it waits.
func TestStartRetriesAddressInUse(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	first := startNode(t, "", engineInService("e1", e.addr()))
	next := &node{t: t, listen: first.listen, log: &testutil.LogBuffer{}, configPath: first.configPath}
	next.launch()
	next.waitLog("address in use, retrying")
	first.cmd.Process.Kill()
	next.waitLog("msg=serving")
	c := dialRPC(t, next)
	c.submit(2, "lookup", "x", 3000, "")
	c.wantServed(2, "a\tb\tc\n")
	third := &node{t: t, listen: first.listen, log: &testutil.LogBuffer{}, configPath: first.configPath}
	third.launch()
	third.waitLog("address in use, retrying")
	third.cmd.Process.Signal(syscall.SIGTERM)
	third.waitExit() // a shutdown during the start is not an error
}
