package main

import (
	"bytes"
	"crypto/sha1"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// sqlClient is a client that speaks the MySQL protocol.
type sqlClient struct {
	t    *testing.T
	conn net.Conn
}

// sha1Of returns the SHA-1 of the concatenated parts.
func sha1Of(parts ...[]byte) []byte {
	h := sha1.Sum(bytes.Join(parts, nil))
	return h[:]
}

// dialSQL connects and logs in, and returns the response to the login.
func dialSQL(t *testing.T, addr, user, password string) (*sqlClient, []byte) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(waitTimeout))
	c := &sqlClient{t, nc}
	g := c.read()
	at := bytes.IndexByte(g, 0) + 5
	scramble := slices.Concat(g[at:at+8], g[at+27:at+39])
	stage1 := sha1Of([]byte(password))
	proof := sha1Of(scramble, sha1Of(stage1))
	for i := range proof {
		proof[i] ^= stage1[i]
	}
	caps := uint32(1 | 1<<9 | 1<<15 | 1<<19)
	login := string(binary.LittleEndian.AppendUint32(nil, caps)) + "\xff\xff\xff\x00\x2d" + strings.Repeat("\x00", 23) +
		user + "\x00\x14" + string(proof) + "mysql_native_password\x00"
	io.WriteString(nc, encodePacket(1, login))
	return c, c.read()
}

func (c *sqlClient) read() []byte {
	c.t.Helper()
	_, p, err := readPacket(c.conn)
	if err != nil {
		c.t.Fatal(err)
	}
	return p
}

func (c *sqlClient) send(code byte, body string) {
	io.WriteString(c.conn, encodePacket(0, string([]byte{code})+body))
}

func (c *sqlClient) wantOK(what string) {
	c.t.Helper()
	if p := c.read(); p[0] != 0 {
		c.t.Fatalf("%s: response %q, want OK", what, p)
	}
}

func (c *sqlClient) wantErr(code int) string {
	c.t.Helper()
	p := c.read()
	if p[0] != 0xff || int(binary.LittleEndian.Uint16(p[1:])) != code {
		c.t.Fatalf("got %q, want error %d", p, code)
	}
	return string(p[9:])
}

// wantRows reads a result set and returns its encoded rows.
func (c *sqlClient) wantRows() []string {
	c.t.Helper()
	if p := c.read(); string(p) != "\x01" {
		c.t.Fatalf("got %q, want a result set of one column", p)
	}
	if def, eof := c.read(), c.read(); string(def) != columnDefinition || string(eof) != eofPayload {
		c.t.Fatalf("column definition %q or EOF %q was changed", def, eof)
	}
	var rows []string
	for {
		p := c.read()
		if p[0] == 0xfe && len(p) < 9 {
			return rows
		}
		rows = append(rows, string(p))
	}
}

func (c *sqlClient) prepare(text string) uint32 {
	c.t.Helper()
	c.send(0x16, text)
	p := c.read()
	if p[0] != 0 {
		c.t.Fatalf("prepare: response %q, want OK", p)
	}
	params := int(binary.LittleEndian.Uint16(p[7:]))
	for i := 0; params > 0 && i < params+1; i++ {
		c.read()
	}
	if want := strings.Count(text, "?"); params != want {
		c.t.Fatalf("%d parameters, want %d", params, want)
	}
	return binary.LittleEndian.Uint32(p[1:])
}

func le32(n uint32) string { return string(binary.LittleEndian.AppendUint32(nil, n)) }

// textParameter is the start of the parameters of COM_STMT_EXECUTE for one string: the NULL bitmap, the flag that types
// follow, and the type.
const textParameter = "\x00\x01\xfd\x00"

func (c *sqlClient) execute(id uint32, params string) {
	c.send(0x17, le32(id)+"\x00\x01\x00\x00\x00"+params)
}

var expectedRows = []string{"\x05row 1", "\x05row 2"}

// sqlNode is a process of the program with the MySQL frontend, with its fake engines.
type sqlNode struct {
	*node
	addr    string
	record  *executionRecord
	engines []*sqlEngine
}

// startSQLNode starts the program with MySQL engines. The engine list contains the first of them, as many as listed says. budget is the
// deadline of each account's queries in ms.
func startSQLNode(t *testing.T, listed int, budget int, engines int) *sqlNode {
	t.Helper()
	n := &sqlNode{addr: freePort(t), record: newExecutionRecord()}
	var list []engineEntry
	addresses := ""
	for i := range engines {
		name := string(rune('A' + i))
		e := newSQLEngine(t, name, n.record)
		n.engines = append(n.engines, e)
		addresses += fmt.Sprintf("%s = %q\n", name, e.addr())
		if i < listed {
			list = append(list, engineInService(name, "127.0.0.1:1"))
		}
	}
	accounts := ""
	for _, class := range []string{"lookup", "report", "form-load"} {
		accounts += fmt.Sprintf("[[mysql.account]]\nuser = %q\npassword_hash = \"*%X\"\nclass = %q\nbudget_ms = %d\n", class,
			sha1Of(sha1Of([]byte("secret"))), class, budget)
	}
	n.node = startNode(t, fmt.Sprintf("[mysql]\nlisten = %q\nengine_user = \"gw\"\nengine_password = \"pw\"\n[mysql.engines]\n%s%s",
		n.addr, addresses, accounts), list...)
	t.Cleanup(func() {
		n.record.mu.Lock()
		defer n.record.mu.Unlock()
		if n.record.maxInFlight > 1 {
			t.Errorf("%d concurrent attempts of one statement, want at most 1", n.record.maxInFlight)
		}
	})
	return n
}

func (n *sqlNode) login(user string) *sqlClient {
	n.t.Helper()
	c, p := dialSQL(n.t, n.addr, user, "secret")
	if p[0] != 0 {
		n.t.Fatalf("login: response %q, want OK", p)
	}
	return c
}

// TestMySQLServesStatements checks text queries, prepared statements with remembered types and long data, and that a closed statement is
// rejected.
func TestMySQLServesStatements(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 1, 4000, 1)
	c := n.login("lookup")
	c.send(0x0e, "")
	c.wantOK("ping")
	c.send(0x02, "sales_17")
	c.wantOK("init db")
	c.send(0x03, "SELECT 1 FROM t")
	if rows := c.wantRows(); !slices.Equal(rows, expectedRows) {
		t.Fatalf("rows %q, want %q", rows, expectedRows)
	}
	id := c.prepare("SELECT c FROM t WHERE c = ?")
	c.execute(id, textParameter+"\x03abc")
	c.wantRows()
	c.execute(id, "\x00\x00\x03def") // the types are remembered
	c.wantRows()
	n.engines[0].mu.Lock()
	last := n.engines[0].executes[1]
	n.engines[0].mu.Unlock()
	if string(last[10:]) != textParameter+"\x03def" {
		t.Fatalf("the engine received %q, want the remembered types and the parameter def", last)
	}
	io.WriteString(c.conn, encodePacket(0, "\x18"+le32(id)+"\x00\x00lo")+encodePacket(0, "\x18"+le32(id)+"\x00\x00ng"))
	c.execute(id, textParameter)
	c.wantRows()
	if longData := n.engines[0].longData; len(longData) != 1 || longData[0] != "long" {
		t.Fatalf("the engine received the long data %q, want one value, long", longData)
	}
	c.send(0x1a, le32(id))
	c.wantOK("reset")
	c.send(0x19, le32(id))
	c.execute(id, textParameter+"\x03abc")
	c.wantErr(1243)
}

// TestMySQLRejectsUnsupportedCommands checks that a wrong password, transactions, unsupported commands, unbound parameters and a load
// without an idempotency key are rejected with the proper error code, and that no engine executes them.
func TestMySQLRejectsUnsupportedCommands(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 1, 4000, 1)
	if _, p := dialSQL(t, n.addr, "lookup", "guess"); p[0] != 0xff || binary.LittleEndian.Uint16(p[1:]) != 1045 {
		t.Fatalf("wrong password: response %q, want error 1045", p)
	}
	c := n.login("lookup")
	for text, code := range map[string]int{"BEGIN": 1235, "/* x */ start transaction": 1235, "SET autocommit=0": 1235, "commit": 1235} {
		c.send(0x03, text)
		c.wantErr(code)
	}
	c.send(0x03, "SET NAMES utf8mb4")
	c.wantOK("set names")
	c.send(0x1c, le32(1)) // fetch
	c.wantErr(1047)
	id := c.prepare("SELECT ?")
	c.execute(id, "\x00") // no types have been bound yet
	c.wantErr(1835)
	c.send(0x01, "")
	l := n.login("form-load")
	l.send(0x03, "load without a key")
	l.wantErr(1105)
	if runs := n.record.count(""); runs != 0 {
		t.Fatalf("%d rejected statements were executed, want none", runs)
	}
}

// TestMySQLDeadlineKillsQuery checks that a query is killed at its deadline, and that the client's connection can still be used.
func TestMySQLDeadlineKillsQuery(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 1, 400, 1)
	c := n.login("report")
	c.send(0x03, "sleep")
	c.wantErr(3024)
	waitFor(t, "the kill", func() bool { return n.record.totalInFlight() == 0 })
	c.send(0x0e, "")
	c.wantOK("ping after the deadline")
}

// TestMySQLRejectionSuggestsRetryTime checks that the error of a rejected query says when to retry.
func TestMySQLRejectionSuggestsRetryTime(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 1, 2500, 1)
	n.engines[0].mu.Lock()
	n.engines[0].rejectsConnections = true
	n.engines[0].mu.Unlock()
	c := n.login("report") // rejected 1 s before its deadline, so that the error cannot be a timeout
	c.send(0x03, "SELECT 1")
	if text := c.wantErr(1040); !strings.Contains(text, "come back in 500 ms") {
		t.Fatalf("rejected with %q, want a suggested delay of 500 ms", text)
	}
}

// TestMySQLRetriesOnlyEngineErrors checks that errors of the statement are forwarded, and that errors of the engine are retried unless a
// part of the result has been sent.
func TestMySQLRetriesOnlyEngineErrors(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 2, 4000, 2)
	c := n.login("lookup")
	c.send(0x03, "wrong")
	c.wantErr(1064) // an error of the statement is forwarded without a retry
	if runs := n.record.count("wrong"); runs != 1 {
		t.Fatalf("executed %d times, want 1", runs)
	}
	c = n.login("report")
	c.send(0x03, "down")
	c.wantErr(1040) // an engine error is retried on another engine; then the statement is rejected, as it is idempotent
	if runs := n.record.count("down"); runs < 2 {
		t.Fatalf("executed %d times, want at least 2", runs)
	}
	c.send(0x03, "cut") // after the first row there is no retry, and the client receives the error
	c.read()
	c.read()
	c.read()
	c.read()
	c.wantErr(1105)
	if runs := n.record.count("cut"); runs != 1 {
		t.Fatalf("executed %d times, want 1", runs)
	}
}

// TestMySQLSplitAndOversizedPackets checks packets that arrive byte by byte, two packets that arrive together, and that an oversized packet
// closes the connection.
func TestMySQLSplitAndOversizedPackets(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 1, 4000, 1)
	c := n.login("lookup")
	for _, b := range []byte(encodePacket(0, "\x03SELECT 1")) {
		c.conn.Write([]byte{b})
	}
	c.wantRows()
	id := c.prepare("SELECT ?")
	io.WriteString(c.conn, encodePacket(0, "\x17"+le32(id)+"\x00\x01\x00\x00\x00"+textParameter+"\x01a")+encodePacket(0, "\x0e")) // both packets in one write
	c.wantRows()
	c.wantOK("ping after the execute")
	c.conn.Write([]byte{0xff, 0xff, 0xff, 0, 3})
	c.wantErr(1153)
	if _, _, err := readPacket(c.conn); err == nil {
		t.Fatal("the connection stayed open")
	}
}

// TestMySQLKeyedRetryTakesEffectOnce checks that a load is retried with its idempotency key if the connection broke after it may have
// been executed, and that it takes effect only once.
func TestMySQLKeyedRetryTakesEffectOnce(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 2, 15000, 2)
	c := n.login("form-load")
	c.send(0x03, "SET @replay_key = 'k-1'")
	c.wantOK("key")
	c.send(0x03, "lose load")
	c.wantOK("load")
	if runs := n.record.count("lose"); runs < 2 {
		t.Fatalf("executed %d times, want at least 2", runs)
	}
	if effects := n.record.effects["'k-1'"]; effects != 1 {
		t.Fatalf("the load took effect %d times, want once", effects)
	}
	c.send(0x03, "load again")
	c.wantErr(1105) // a key is valid for only one load
}

// TestMySQLPreparedStatementMovesToAnotherEngine checks that a statement that was prepared on one engine is executed on another one, with
// the types bound before, once the first engine drains. The draining engine must get no new work later than 2 s after it was listed as
// draining.
func TestMySQLPreparedStatementMovesToAnotherEngine(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 1, 4000, 2)
	c := n.login("lookup")
	id := c.prepare("SELECT c FROM sales_17.t WHERE c = ?")
	c.execute(id, textParameter+"\x03abc")
	c.wantRows()
	n.discovery.publish(engineEntry{"A", "127.0.0.1:1", "z", "m", "terminating"}, engineInService("B", "127.0.0.1:1"))
	listedAt := time.Now()
	var lastAtA time.Time
	waitFor(t, "an execute at B", func() bool {
		before := n.record.count("A:")
		c.execute(id, "\x00\x00\x03abc")
		c.wantRows()
		if n.record.count("A:") > before {
			lastAtA = time.Now()
		}
		return n.record.count("B:") > 0
	})
	atA := n.record.count("A:")
	for range 50 {
		c.execute(id, "\x00\x00\x03abc")
		c.wantRows()
	}
	if n.record.count("A:") != atA || !lastAtA.IsZero() && lastAtA.Sub(listedAt) > 2*time.Second {
		t.Fatalf("A got new work after it was listed as draining")
	}
	if e := n.engines[1].executes[0]; string(e[10:]) != textParameter+"\x03abc" {
		t.Fatalf("B received %q, want the types bound before and the parameter abc", e)
	}
}

// TestMySQLClientCloseKillsQuery checks that a query is killed if its client closes the connection in the middle of the result, and that
// its attempt counts as in flight until then.
func TestMySQLClientCloseKillsQuery(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 1, 15000, 1)
	c := n.login("report")
	c.send(0x03, "many")
	for range 8 {
		c.read()
	}
	c.conn.Close()
	waitFor(t, "the kill", func() bool { return n.record.killCount() > 0 && n.record.totalInFlight() == 0 })
	other := n.login("report")
	other.send(0x03, "SELECT 1")
	other.wantRows()
}

// TestMySQLBackPressure checks that the gateway does not buffer a result that the client does not read, that other clients are still
// served, and that no row is lost.
func TestMySQLBackPressure(t *testing.T) {
	t.Parallel()
	n := startSQLNode(t, 1, 15000, 1)
	c := n.login("report")
	c.send(0x03, "many")
	for range 4 {
		c.read()
	}
	waitFor(t, "a running query", func() bool { return n.record.totalInFlight() == 1 })
	other := n.login("lookup")
	other.send(0x03, "SELECT 1")
	other.wantRows() // the event loop must not be blocked
	for range 4096 { // the following rows are complete
		if p := c.read(); len(p) != 1027 {
			t.Fatalf("a row of %d bytes, want 1027", len(p))
		}
	}
}

// TestMySQLListenerFollowsVRRPMaster checks that the master of the virtual router opens the MySQL listener, and that the backup opens it
// when the master shuts down.
func TestMySQLListenerFollowsVRRPMaster(t *testing.T) {
	t.Parallel()
	record := newExecutionRecord()
	e := newSQLEngine(t, "A", record)
	addr, udp := freePort(t), [2]string{freeUDP(t), freeUDP(t)}
	var nodes [2]*node
	for i, priority := range []int{200, 100} {
		nodes[i] = startNode(t, fmt.Sprintf("[mysql]\nlisten = %q\nengine_user = \"gw\"\n[mysql.engines]\nA = %q\n"+
			"[[mysql.account]]\nuser = \"u\"\npassword_hash = \"*%X\"\nclass = \"lookup\"\nbudget_ms = 4000\n"+
			"[vrrp]\nlisten = %q\npeers = [%q]\nid = 7\npriority = %d\ninterval_ms = 100\npreempt = true\naddresses = [\"127.0.0.1\"]\n",
			addr, e.addr(), sha1Of(sha1Of([]byte("p"))), udp[i], udp[1-i], priority), engineInService("A", "127.0.0.1:1"))
		if i == 0 {
			nodes[0].waitLog("mysql listener opened")
		}
	}
	c, p := dialSQL(t, addr, "u", "p")
	if p[0] != 0 {
		t.Fatalf("login: response %q, want OK", p)
	}
	c.send(0x03, "SELECT 1")
	c.wantRows()
	nodes[0].cmd.Process.Signal(syscall.SIGTERM)
	nodes[1].waitLog("mysql listener opened")
	waitFor(t, "the backup to listen", func() bool {
		nc, err := net.Dial("tcp", addr)
		if err == nil {
			nc.Close()
		}
		return err == nil
	})
	if c, p = dialSQL(t, addr, "u", "p"); p[0] != 0 {
		t.Fatalf("login at the backup: response %q, want OK", p)
	}
	c.send(0x03, "SELECT 1")
	c.wantRows()
}
