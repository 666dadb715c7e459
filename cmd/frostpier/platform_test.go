package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// rpcClient is a platform client, which speaks JSON-RPC.
type rpcClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// rpcResponse is a response to a query or a ping.
type rpcResponse struct {
	ID     int `json:"id"`
	Result *struct {
		Blob    string `json:"blob"`
		Serving *bool  `json:"serving"`
	} `json:"result"`
	Error *struct {
		Code int `json:"code"`
		Data struct {
			Backoff int `json:"backoff"`
		} `json:"data"`
	} `json:"error"`
}

// dialRPC connects a client to the program.
func dialRPC(t *testing.T, n *node) *rpcClient {
	t.Helper()
	nc, err := net.Dial("tcp", n.listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(waitTimeout))
	return &rpcClient{t, nc, bufio.NewReader(nc)}
}

func (c *rpcClient) sendLine(text string) { io.WriteString(c.conn, text+"\n") }

// submit sends a query. more is JSON text that is added to its parameters.
func (c *rpcClient) submit(id int, method, statement string, budget int, more string) {
	c.sendLine(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","budget":%d%s,"blob":%q}}`, id, method,
		id, budget, more, base64.StdEncoding.EncodeToString([]byte(statement))))
}

func (c *rpcClient) readResponse() rpcResponse {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatal(err)
	}
	var a rpcResponse
	if err := json.Unmarshal([]byte(line), &a); err != nil {
		c.t.Fatalf("invalid response %q: %v", line, err)
	}
	return a
}

// wantServed reads a response and checks that it has this result.
func (c *rpcClient) wantServed(id int, want string) {
	c.t.Helper()
	a := c.readResponse()
	if a.ID != id || a.Result == nil || a.Result.Blob != base64.StdEncoding.EncodeToString([]byte(want)) {
		c.t.Fatalf("response %+v, want %q", a, want)
	}
}

// wantError reads a response and checks that it has this error.
func (c *rpcClient) wantError(id, code int) rpcResponse {
	c.t.Helper()
	a := c.readResponse()
	if a.ID != id || a.Error == nil || a.Error.Code != code {
		c.t.Fatalf("response %+v, want error %d for request %d", a, code, id)
	}
	return a
}

// TestPlatformForwardsQueriesUnchanged checks that the engine receives the statement, id, class and idempotency key of a query unchanged, and
// that the client receives all pages of a result.
func TestPlatformForwardsQueriesUnchanged(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	c := dialRPC(t, startNode(t, "", engineInService("e1", e.addr())))
	statement := "SELECT 'Þór;\t' FROM sales_17.orders\n"
	c.submit(1, "form-load", statement, 5000, `,"token":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"`)
	c.wantServed(1, "a\tb\tc\n")
	p := e.posts[0]
	if p.body != statement || p.head.Get("X-Hop-Id") != "0000000000000001" || p.head.Get("X-Sort") != "form-load" ||
		p.head.Get("X-Replay-Key") != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" {
		t.Fatalf("the engine received %+v, want the statement, id, class and key of the query", p)
	}
	c.submit(2, "lookup", "pages", 3000, "")
	c.wantServed(2, "page0\tx\ty\npage1\tx\ty\npage2\tx\ty\n")
}

// TestPlatformRejectsInvalidRequests checks the error codes of invalid requests, that none reaches the engine, and that an oversized line
// closes the connection.
func TestPlatformRejectsInvalidRequests(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	c := dialRPC(t, startNode(t, "", engineInService("e1", e.addr())))
	c.sendLine("{nonsense")
	c.wantError(0, -32700)
	c.submit(1, "nosuch", "x", 1000, "")
	c.wantError(1, -32601)
	c.submit(2, "lookup", "x", -1, "")
	c.wantError(2, -32602)
	c.sendLine(`{"jsonrpc":"2.0","id":3,"method":"lookup","params":{"rid":"3","budget":100,"blob":"%%"}}`)
	c.wantError(3, -32602)
	c.submit(4, "form-load", "x", 1000, "") // a load needs an idempotency key
	c.wantError(4, -32602)
	if n := e.received(""); n != 0 {
		t.Fatalf("%d invalid requests reached the engine, want none", n)
	}
	c.sendLine(strings.Repeat("x", 2<<20))
	if _, err := c.reader.ReadString('\n'); err == nil {
		t.Fatal("the connection is open after an oversized line")
	}
}

// TestPlatformRejectionCarriesBackoff checks that a rejection carries a backoff of at most the maximum in the settings.
func TestPlatformRejectionCarriesBackoff(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	c := dialRPC(t, startNode(t, "", engineInService("e1", e.addr())))
	c.submit(1, "lookup", "full", 1000, "")
	if a := c.wantError(1, -32008); a.Error.Data.Backoff <= 0 || a.Error.Data.Backoff > 500 {
		t.Fatalf("backoff of %d ms, want 1 to 500", a.Error.Data.Backoff)
	}
}

// TestPlatformRetriesOnAnotherEngine checks that an idempotent query that fails on one engine is served by another one, and that it never
// has two attempts in flight.
func TestPlatformRetriesOnAnotherEngine(t *testing.T) {
	t.Parallel()
	// After a broken connection or an invalid response the query is polled on another connection, which is not a new attempt.
	for text, retries := range map[string]int{"break": 0, "fault": 1, "garbage": 0, "full": 1} {
		bad, good := newHTTPEngine(t), newHTTPEngine(t)
		good.servesAll = true
		n := startNode(t, "", engineInService("e1", bad.addr()), engineInService("e2", good.addr()))
		c := dialRPC(t, n)
		id := 0
		waitFor(t, "a query that was sent to the bad engine first", func() bool {
			id++ // a new table group each time, as groups are distributed over the engines
			c.submit(id, "report", fmt.Sprintf("%s FROM sales_%d.orders", text, id), 15000, "")
			c.wantServed(id, "a\tb\tc\n")
			return bad.received(text) > 0
		})
		if total := bad.received(text) + good.received(text); total != id+retries {
			t.Fatalf("%s: %d attempts for %d requests, want %d", text, total, id, id+retries)
		}
		if bad.maxInFlight > 1 || good.maxInFlight > 1 {
			t.Fatalf("%s: a query had two attempts in flight at an engine", text)
		}
	}
}

// TestPlatformAbortAndCloseCancelQueries checks that a query is cancelled on its engine when its client sends abort or disconnects.
func TestPlatformAbortAndCloseCancelQueries(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", e.addr()))
	c := dialRPC(t, n)
	c.submit(1, "report", "sleep one", 15000, "")
	waitFor(t, "the first query", func() bool { return e.received("one") == 1 })
	c.sendLine(`{"jsonrpc":"2.0","method":"abort","params":{"id":1}}`)
	waitFor(t, "its cancellation", func() bool { return e.deletions() == 1 })
	c.submit(2, "report", "sleep two", 15000, "")
	waitFor(t, "the second query", func() bool { return e.received("two") == 1 })
	c.conn.Close()
	waitFor(t, "its cancellation", func() bool { return e.deletions() == 2 })
}

// TestPlatformDeadlineCancelsQuery checks that a query is rejected at its deadline and cancelled on its engine.
func TestPlatformDeadlineCancelsQuery(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	c := dialRPC(t, startNode(t, "", engineInService("e1", e.addr())))
	c.submit(1, "lookup", "sleep", 400, "")
	c.wantError(1, -32008) // it is idempotent, so it is rejected as retryable
	waitFor(t, "the cancellation on the engine", func() bool { return e.deletions() == 1 })
}

// TestPlatformShutdownCompletesRequests checks that after SIGTERM pings report the shutdown, pending requests get replies, new ones are still
// accepted, and the program exits with code 0.
func TestPlatformShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", e.addr()))
	c := dialRPC(t, n)
	c.sendLine(`{"jsonrpc":"2.0","id":1,"method":"ping"}`)
	if a := c.readResponse(); a.Result == nil || a.Result.Serving == nil || !*a.Result.Serving {
		t.Fatalf("ping: response %+v, want serving", a)
	}
	c.submit(2, "report", "sleep", 15000, "")
	waitFor(t, "the query", func() bool { return e.received("sleep") == 1 })
	n.cmd.Process.Signal(syscall.SIGTERM)
	n.waitLog("msg=stopping")
	late := dialRPC(t, n)
	late.sendLine(`{"jsonrpc":"2.0","id":1,"method":"ping"}`)
	if a := late.readResponse(); a.Result == nil || *a.Result.Serving {
		t.Fatalf("ping during the shutdown: response %+v, want not serving", a)
	}
	late.submit(3, "lookup", "x", 3000, "")
	late.wantServed(3, "a\tb\tc\n")
	c.wantError(2, -32008)
	if err := n.cmd.Wait(); err != nil {
		t.Fatalf("the program exited with %v, want exit code 0", err)
	}
}

// TestDiscoveryWatchReconnects checks that the discovery watch reconnects after an invalid event and resumes after the last valid one.
func TestDiscoveryWatchReconnects(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", "127.0.0.1:1"))
	waitFor(t, "the discovery watch", func() bool { return n.discovery.connections() == 1 })
	n.discovery.publish(engineEntry{"e1", "127.0.0.1:1", "z", "m", "terminated"})
	n.discovery.publishRaw("{nonsense")
	waitFor(t, "the reconnect", func() bool { return n.discovery.connections() == 2 })
	if n.discovery.requests[1] != "after 2" {
		t.Fatalf("the second watch requested %q, want the events after 2", n.discovery.requests[1])
	}
	n.discovery.publish(engineInService("e2", e.addr()))
	c := dialRPC(t, n)
	c.submit(1, "lookup", "x", 3000, "")
	c.wantServed(1, "a\tb\tc\n")
}

// TestReloadSwitchesDiscoveryServer checks that after a configuration reload by SIGHUP the program watches the newly configured discovery
// server from the last event on, closes the old watch, and keeps serving. An invalid configuration must change nothing.
func TestReloadSwitchesDiscoveryServer(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "", engineInService("e1", "127.0.0.1:1"))
	waitFor(t, "the discovery watch", func() bool { return n.discovery.connections() == 1 })
	c := dialRPC(t, n)
	old := n.discovery
	n.discovery.publish(engineEntry{"e1", "127.0.0.1:1", "z", "m", "terminated"})
	n.waitLog(`msg="engine list changed" version=2`) // a reload before the event is applied would resume after event 1
	if err := os.WriteFile(n.configPath, []byte(`{"bulletin":`), 0o600); err != nil {
		t.Fatal(err)
	}
	n.cmd.Process.Signal(syscall.SIGHUP)
	n.waitLog("configuration reload failed, keeping the old one")

	next := newDiscoveryServer(t, engineInService("e1", "127.0.0.1:1"))
	next.events = append(next.events, event(2, []engineEntry{{"e1", "127.0.0.1:1", "z", "m", "terminated"}}))
	n.config["bulletin"] = next.ln.Addr().String()
	n.writeConfig()
	n.cmd.Process.Signal(syscall.SIGHUP)
	waitFor(t, "the new discovery watch", func() bool { return next.connections() == 1 })
	if next.requests[0] != "after 2" {
		t.Fatalf("the new watch requested %q, want the events after 2", next.requests[0])
	}
	next.publish(engineInService("e2", e.addr()))
	c.submit(1, "lookup", "x", 3000, "")
	c.wantServed(1, "a\tb\tc\n")
	if _, err := old.conns[0].Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read from the old discovery connection: %v, want EOF", err)
	}
}

// TestMembershipIsDisabledWhereForbidden checks that membership is disabled if the platform's settings do not permit it, although the
// operator's file enables it, and that the program serves without it.
func TestMembershipIsDisabledWhereForbidden(t *testing.T) {
	t.Parallel()
	e := newHTTPEngine(t)
	n := startNode(t, "[membership]\nfleet = \"f\"\n[spread]\n", engineInService("e1", e.addr()))
	n.waitLog("membership disabled")
	c := dialRPC(t, n)
	c.submit(1, "lookup", "x", 3000, "")
	c.wantServed(1, "a\tb\tc\n")
}
