package mysql

import (
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"frostpier/internal/attempt"
	"frostpier/internal/memlimit"
	"frostpier/policy"
)

// Memory limits of the tests.
const (
	guaranteedBytes = 16 << 10            // of each connection and result
	testMemoryLimit = 4 * guaranteedBytes // of all
)

// loggedInConn returns a connection whose login is complete and which shares memory.
func loggedInConn(t testing.TB, memory *memlimit.Limit) *ServerConn {
	t.Helper()
	c := newServerConn(t)
	c.memory = memory.NewShare()
	c.Received(loginBytes(t))
	if !c.LoggedIn() {
		t.Fatal("the login was not accepted")
	}
	return c
}

// prepare prepares a statement of the given size and returns the error code of the response, or 0.
func prepare(c *ServerConn, size int) int {
	text := slices.Repeat([]byte("x"), size)
	for _, e := range c.Received(commandPacket(comStmtPrepare, text)) {
		if payload := e.Write[headerSize:]; payload[0] == errHeader {
			return errPacketCode(payload)
		}
	}
	return 0
}

// Prepared statements of all clients share a limit: over it, a client can prepare no more than its guaranteed memory, until others
// have closed theirs or their connections. Guards against 256 statements of 1 MB for each connection, which take the process over its
// memory limit.
func TestPreparedStatementsShareMemoryLimit(t *testing.T) {
	memory := memlimit.New(testMemoryLimit, guaranteedBytes)
	first, second := loggedInConn(t, memory), loggedInConn(t, memory)
	prepared, code := 0, 0
	for ; code == 0 && prepared <= maxClientStatements; prepared++ {
		code = prepare(first, guaranteedBytes/2)
	}
	if code != erMaxPreparedStatements || memory.Used() > testMemoryLimit {
		t.Fatalf("error %d after %d statements with %d bytes held, want error %d and at most %d bytes",
			code, prepared, memory.Used(), erMaxPreparedStatements, testMemoryLimit)
	}
	if code := prepare(second, guaranteedBytes/2); code != 0 {
		t.Errorf("error %d for a statement within the guaranteed memory, want none", code)
	}
	if code := prepare(second, guaranteedBytes); code != erMaxPreparedStatements {
		t.Errorf("error %d for a statement over the guaranteed memory, want %d", code, erMaxPreparedStatements)
	}
	first.Release()
	if code := prepare(second, guaranteedBytes); code != 0 {
		t.Errorf("error %d after the other connection had ended, want none", code)
	}
}

// The bytes of incomplete packets share the limit too, before the login as well: over it, a connection is closed with an error. One
// with a short packet is kept.
func TestIncompletePacketsShareMemoryLimit(t *testing.T) {
	for name, connect := range map[string]func(memory *memlimit.Limit) *ServerConn{
		"before the login": func(memory *memlimit.Limit) *ServerConn {
			c := newServerConn(t)
			c.memory = memory.NewShare()
			return c
		},
		"command": func(memory *memlimit.Limit) *ServerConn { return loggedInConn(t, memory) },
	} {
		t.Run(name, func(t *testing.T) {
			memory := memlimit.New(testMemoryLimit, guaranteedBytes)
			incomplete := commandPacket(comQuery, make([]byte, testMemoryLimit))[:testMemoryLimit-guaranteedBytes]
			kept, closed, short := connect(memory), connect(memory), connect(memory)
			if events := kept.Received(incomplete); len(events) != 0 {
				t.Fatalf("events %+v within the limit, want none", events)
			}
			events := closed.Received(incomplete)
			if len(events) != 2 || errPacketCode(events[0].Write[headerSize:]) != erOutOfResources || !events[1].Close {
				t.Fatalf("events %+v over the limit, want error %d and a close", events, erOutOfResources)
			}
			if events := short.Received(incomplete[:guaranteedBytes/2]); len(events) != 0 {
				t.Errorf("events %+v within the guaranteed memory, want none", events)
			}
		})
	}
}

// runQuery starts a query on a connection.
func runQuery(t *testing.T, c *ServerConn) {
	t.Helper()
	if events := c.Received(commandPacket(comQuery, []byte("SELECT 1"))); len(events) != 1 || events[0].Query == nil {
		t.Fatalf("events %+v, want a query", events)
	}
}

// The first execute of a statement starts, and its result is not lost, when others have taken all memory since the prepare. A connection was
// closed without an answer to an execute, because the types that it binds were not admitted.
func TestExecuteNeedsNoFurtherMemory(t *testing.T) {
	memory := memlimit.New(testMemoryLimit, 0)
	c, others := loggedInConn(t, memory), loggedInConn(t, memory)
	c.Received(commandPacket(comStmtPrepare, []byte("SELECT ?, ?")))
	for size := guaranteedBytes; size > 0; {
		if prepare(others, size) != 0 {
			size /= 2
		}
	}
	events := c.Received(commandPacket(comStmtExecute, []byte{1, 0, 0, 0, 0, 1, 0, 0, 0, 3, 1, 0xfd, 0, 0xfd, 0}))
	if len(events) != 1 || events[0].Query == nil {
		t.Fatalf("events %+v, want a query", events)
	}
	if events := c.QueryEnded(); len(events) != 0 {
		t.Errorf("events %+v after the query, want none", events)
	}
}

// A query in flight gets its result although its client sends more than is admitted meanwhile. What it sent is answered with an error after
// the result. The connection was closed at once, and the query got no answer.
func TestQueryGetsItsResultWhenInputIsRefused(t *testing.T) {
	for name, limit := range map[string]int{"over the limit of all": testMemoryLimit, "over the largest command": 4 * maxCommandSize} {
		t.Run(name, func(t *testing.T) {
			memory := memlimit.New(limit, guaranteedBytes)
			c := loggedInConn(t, memory)
			runQuery(t, c)
			command := commandPacket(comQuery, make([]byte, maxCommandSize-1))
			for range 2 {
				if events := c.Received(command); len(events) != 0 {
					t.Fatalf("events %+v while the query runs, want none", events)
				}
			}
			if memory.Used() > limit {
				t.Errorf("%d bytes are held, want at most %d", memory.Used(), limit)
			}
			events := c.QueryEnded()
			if len(events) != 2 || errPacketCode(events[0].Write[headerSize:]) != erOutOfResources || !events[1].Close {
				t.Errorf("events %+v after the query, want error %d and a close", events, erOutOfResources)
			}
		})
	}
}

// Whatever clients send, the connections together hold at most the limit and their guaranteed memory, and nothing once they have
// ended.
func TestMemoryIsReleasedAfterRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		memory := memlimit.New(testMemoryLimit, guaranteedBytes)
		var conns []*ServerConn
		for range rapid.IntRange(1, 4).Draw(rt, "connections") {
			conns = append(conns, loggedInConn(t, memory))
		}
		for range rapid.IntRange(1, 40).Draw(rt, "commands") {
			c := rapid.SampledFrom(conns).Draw(rt, "connection")
			c.Received(randomCommand(rt))
			if rapid.Bool().Draw(rt, "query ends") {
				c.QueryEnded()
			}
			if c.state == stateClosed {
				c.Release()
			}
			if most := testMemoryLimit + len(conns)*guaranteedBytes; memory.Used() > most {
				rt.Fatalf("%d bytes are held, want at most %d", memory.Used(), most)
			}
		}
		for _, c := range conns {
			c.Release()
			c.QueryEnded()
		}
		if memory.Used() != 0 {
			rt.Fatalf("%d bytes are held after all connections have ended, want none", memory.Used())
		}
	})
}

// randomCommand returns a command of up to guaranteedBytes about one of the first statements, possibly without its end.
func randomCommand(rt *rapid.T) []byte {
	code := rapid.SampledFrom([]byte{comQuery, comInitDB, comStmtPrepare, comStmtPrepare, comStmtExecute, comStmtSendLongData, comStmtClose,
		comStmtReset}).Draw(rt, "command")
	id := []byte{byte(rapid.IntRange(0, 6).Draw(rt, "statement")), 0, 0, 0}
	text := slices.Repeat([]byte("?"), rapid.IntRange(0, guaranteedBytes).Draw(rt, "size"))
	var out []byte
	switch code {
	case comQuery, comInitDB, comStmtPrepare:
		out = commandPacket(code, text)
	default:
		out = commandPacket(code, id, []byte{0, 0}, text)
	}
	if rapid.IntRange(0, 9).Draw(rt, "incomplete") == 0 {
		return out[:len(out)/2]
	}
	return out
}

// The memory of a query includes all that its attempt uses: the statement, also a prepared one, whose connection may end before the
// attempt does, and the values. Otherwise clients that connect, execute and go hold memory that counts nowhere.
func TestQueryBytesIncludeStatementAndValues(t *testing.T) {
	c := loggedInConn(t, memlimit.New(testMemoryLimit, guaranteedBytes))
	const text = "INSERT INTO t VALUES (?)"
	c.Received(commandPacket(comStmtPrepare, []byte(text)))
	sendLongData(c, []byte("abc"))
	prepared, _ := execute(t, c)
	c.QueryEnded()
	events := c.Received(commandPacket(comQuery, []byte(text)))
	if prepared == nil || len(events) != 1 || events[0].Query == nil {
		t.Fatalf("query %+v and events %+v, want two queries", prepared, events)
	}
	if n := events[0].Query.Bytes(); n != len(text) {
		t.Errorf("a query of %d bytes, want %d", n, len(text))
	}
	if n, least := prepared.Bytes(), len(text)+len("abc"); n < least {
		t.Errorf("a prepared query of %d bytes, want at least %d", n, least)
	}
}

// prepareOnSession executes a prepared statement without parameters on a session and returns it to the pool.
func prepareOnSession(t *testing.T, s *session, text string) {
	t.Helper()
	x, _ := NewExchange(&Query{Account: &Account{}, Text: text, Execution: &Execution{Text: text}}, "u", "p", memlimit.New(0, guaranteedBytes))
	var protocolState any = s
	x.Connected(attempt.Primary, &protocolState, permitted)
	x.Received(attempt.Primary, frame(1, make([]byte, minPrepareOK)))
	steps := x.Received(attempt.Primary, okPacket(1))
	if !slices.Contains(steps, attempt.Step(attempt.Release{Channel: attempt.Primary})) {
		t.Fatalf("steps %+v, want the connection to be released", steps)
	}
}

// startResult starts a query and receives the metadata of a result with the given number of columns. It returns the steps after that.
func startResult(memory *memlimit.Limit, columns int) (*Exchange, []attempt.Step) {
	x, _ := NewExchange(&Query{Account: &Account{}, Text: "SELECT 1"}, "u", "p", memory)
	var protocolState any = idleSession()
	x.Connected(attempt.Primary, &protocolState, permitted)
	metadata := frame(1, []byte{0xfc, byte(columns), byte(columns >> 8)})
	for i := range columns {
		metadata = append(metadata, frame(byte(2+i), []byte(definition))...)
	}
	return x, x.Received(attempt.Primary, metadata)
}

// killsQuery reports whether steps open the connection on which the query is killed.
func killsQuery(steps []attempt.Step) bool {
	return slices.ContainsFunc(steps, func(s attempt.Step) bool {
		o, ok := s.(attempt.Open)
		return ok && o.Channel == attempt.Control
	})
}

// The metadata of all results that is held back until their first rows shares the memory limit: over it, the query is killed, until
// another result has ended. Guards against queries with thousands of columns, whose results hold 1 MB each.
func TestResultMetadataSharesMemoryLimit(t *testing.T) {
	const columns = 3 * guaranteedBytes / (headerSize + len(definition))
	memory := memlimit.New(testMemoryLimit, guaranteedBytes)
	if _, steps := startResult(memory, columns); killsQuery(steps) {
		t.Fatalf("steps %+v within the limit, want no kill", steps)
	}
	if _, steps := startResult(memory, columns); !killsQuery(steps) {
		t.Fatalf("steps %+v over the limit, want a kill", steps)
	}
	if _, steps := startResult(memory, columns/4); killsQuery(steps) {
		t.Errorf("steps %+v within the guaranteed memory, want no kill", steps)
	}
	memory = memlimit.New(testMemoryLimit, guaranteedBytes)
	first, _ := startResult(memory, columns)
	first.Received(attempt.Primary, slices.Concat(eofPacket(2), frame(3, []byte("\x01a"))))
	if memory.Used() != 0 {
		t.Errorf("%d bytes are held after the first row, want none", memory.Used())
	}
	killed, _ := startResult(memory, columns)
	killed.Cancel(policy.Cancelled)
	killed.TimerFired(attempt.UnreachableTimeout) // the end of the attempt's time
	killed.TimerFired(attempt.UnreachableTimeout) // no confirmation of the KILL
	if memory.Used() != 0 {
		t.Errorf("%d bytes are held after the attempt, want none", memory.Used())
	}
}

// heapBytes returns the memory of reachable objects.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// A pooled session does not hold the texts of its prepared statements. Guards against connections that hold 128 statements of 1 MB each
// after their queries have ended.
func TestSessionDoesNotHoldStatementTexts(t *testing.T) {
	const textBytes = 256 << 10
	s := idleSession()
	before := heapBytes()
	for i := range maxSessionStatements {
		prepareOnSession(t, s, strconv.Itoa(i)+strings.Repeat("x", textBytes))
	}
	if held := heapBytes() - before; held > 4*textBytes {
		t.Errorf("a session with %d statements of %d bytes holds %d bytes, want at most %d", maxSessionStatements, textBytes, held, 4*textBytes)
	}
	if len(s.statementIDs) != maxSessionStatements {
		t.Errorf("%d statements known, want %d", len(s.statementIDs), maxSessionStatements)
	}
}
