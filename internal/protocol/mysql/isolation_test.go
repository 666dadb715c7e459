package mysql

import (
	"slices"
	"strings"
	"testing"

	"frostpier/internal/attempt"
	"frostpier/internal/memlimit"
	"frostpier/policy"
)

// runInSession runs a query in a session, which answers each command with OK. It returns the commands that the engine got, the code of
// each with its text, and whether the connection was released for other queries.
func runInSession(t *testing.T, s *session, query *Query) (commands []string, released bool) {
	t.Helper()
	query.Account = &Account{}
	x, steps := NewExchange(query, "u", "p", memlimit.New(0, guaranteedBytes))
	var protocolState any = s
	steps = append(steps, x.Connected(attempt.Primary, &protocolState, permitted)...)
	for len(steps) > 0 {
		var next []attempt.Step
		for _, step := range steps {
			switch step := step.(type) {
			case attempt.Write:
				commands = append(commands, string(step.Bytes[headerSize:]))
				response := okPacket(1)
				if step.Bytes[headerSize] == comStmtPrepare {
					response = frame(1, make([]byte, minPrepareOK))
				}
				next = append(next, x.Received(attempt.Primary, response)...)
			case attempt.Release:
				released = true
			}
		}
		steps = next
	}
	return commands, released
}

// queryOf returns the query that a client's command starts.
func queryOf(t *testing.T, c *ServerConn, command []byte) *Query {
	t.Helper()
	for _, e := range c.Received(command) {
		if e.Query != nil {
			c.QueryEnded()
			return e.Query
		}
	}
	t.Fatalf("command %q starts no query", command[headerSize:])
	return nil
}

// A statement about the schema, with a comment, changes only the schema of its own client and is not sent to an engine. Another client was
// served rows of the foreign schema.
func TestUseWithCommentStaysWithItsClient(t *testing.T) {
	c := newServerConn(t)
	c.Received(loginBytes(t))
	for _, text := range []string{"USE survey_18 /* desk 4 */", "/*! USE survey_18 */", "USE /* desk 4 */ `survey_18`"} {
		c.schema = ""
		events := c.Received(commandPacket(comQuery, []byte(text)))
		if len(events) != 1 || events[0].Query != nil || c.schema != "survey_18" {
			t.Errorf("%q: events %+v and schema %q, want OK and survey_18", text, events, c.schema)
		}
	}
}

// A query that may change the state of its session runs on a connection of its own, which is closed after it.
func TestQueryWithSessionStateUsesItsOwnConnection(t *testing.T) {
	c := newServerConn(t)
	c.Received(loginBytes(t))
	for text, own := range map[string]bool{"SELECT 1": false, "SELECT @x := 1": true, "CREATE TEMPORARY TABLE t (a INT)": true} {
		prepared := commandPacket(comStmtPrepare, []byte(text))
		c.Received(prepared)
		execute := commandPacket(comStmtExecute, []byte{byte(c.lastStatementID), 0, 0, 0, 0, 1, 0, 0, 0})
		for _, command := range [][]byte{commandPacket(comQuery, []byte(text)), execute} {
			query := queryOf(t, c, command)
			_, steps := NewExchange(query, "u", "p", memlimit.New(0, guaranteedBytes))
			fresh := slices.Contains(steps, attempt.Step(attempt.Open{Channel: attempt.Primary, Fresh: true}))
			if _, released := runInSession(t, idleSession(), query); fresh != own || released == own {
				t.Errorf("%q: new connection %t, released %t, want %t and %t", text, fresh, released, own, !own)
			}
		}
	}
}

// A query of a client without a schema does not run in a session that has one: it would see the tables of another client's schema.
func TestQueryWithoutSchemaNeedsSessionWithoutSchema(t *testing.T) {
	s := idleSession()
	runInSession(t, s, &Query{Text: "SELECT 1", Schema: "a"})
	x, _ := NewExchange(&Query{Account: &Account{}, Text: "SELECT 2"}, "u", "p", memlimit.New(0, guaranteedBytes))
	var protocolState any = s
	steps := x.Connected(attempt.Primary, &protocolState, permitted)
	for _, step := range steps {
		if w, ok := step.(attempt.Write); ok {
			t.Errorf("%q was sent in a session with another schema", w.Bytes)
		}
	}
	if !slices.Contains(steps, attempt.Step(attempt.Open{Channel: attempt.Primary, Fresh: true})) {
		t.Errorf("steps %+v, want a new connection", steps)
	}
	if commands, released := runInSession(t, idleSession(), &Query{Text: "SELECT 2"}); len(commands) != 1 || !released {
		t.Errorf("commands %q in a session without a schema, want the query only", commands)
	}
}

// The idempotency key of a query is removed before a query without one runs in the same session. An engine would take the second for a
// repeat of the first, and not run it.
func TestIdempotencyKeyDoesNotReachNextQuery(t *testing.T) {
	s := idleSession()
	runInSession(t, s, &Query{Text: "INSERT 1", IdempotencyKey: "'k'"})
	want := []string{"\x03SET @replay_key=NULL", "\x03INSERT 2"}
	if commands, _ := runInSession(t, s, &Query{Text: "INSERT 2"}); !slices.Equal(commands, want) {
		t.Errorf("commands %q, want %q", commands, want)
	}
	if commands, _ := runInSession(t, s, &Query{Text: "INSERT 3"}); !slices.Equal(commands, []string{"\x03INSERT 3"}) {
		t.Errorf("commands %q, want the query only", commands)
	}
}

// A prepared statement runs in the schema in which it was prepared, also after its client has changed its schema (MySQL Reference Manual,
// "Prepared Statements").
func TestPreparedStatementKeepsItsSchema(t *testing.T) {
	c := newServerConn(t)
	c.Received(loginBytes(t))
	c.Received(commandPacket(comInitDB, []byte("survey_17")))
	c.Received(commandPacket(comStmtPrepare, []byte("SELECT answer FROM forms")))
	c.Received(commandPacket(comInitDB, []byte("survey_18")))
	query := queryOf(t, c, commandPacket(comStmtExecute, []byte{1, 0, 0, 0, 0, 1, 0, 0, 0}))
	if query.Schema != "survey_17" {
		t.Errorf("schema %q, want survey_17", query.Schema)
	}
	if query := queryOf(t, c, commandPacket(comQuery, []byte("SELECT 1"))); query.Schema != "survey_18" {
		t.Errorf("schema %q of the next query, want survey_18", query.Schema)
	}
}

// A schema of more than the largest name is refused, by each way to name one.
func TestLongSchemaNameIsRefused(t *testing.T) {
	c := newServerConn(t)
	c.Received(loginBytes(t))
	long := strings.Repeat("a", maxSchemaBytes+1)
	for _, command := range [][]byte{commandPacket(comInitDB, []byte(long)), commandPacket(comQuery, []byte("USE "+long))} {
		events := c.Received(command)
		if len(events) != 1 || errPacketCode(events[0].Write[headerSize:]) != erTooLongIdentifier || c.schema != "" {
			t.Errorf("events %+v and a schema of %d bytes, want error %d", events, len(c.schema), erTooLongIdentifier)
		}
	}
}

// greetingOf returns the greeting of a server on the connection with the given id.
func greetingOf(connectionID uint32) []byte {
	_, greeting := NewServerConn(nil, connectionID, scramble, memlimit.New(0, guaranteedBytes))
	return greeting
}

// A query whose connection was lost is not killed in another process that has taken the engine's address: there the id of the connection may be
// that of another client, whose query would be ended.
func TestKillIsNotSentToNewProcess(t *testing.T) {
	const queryConnection = 50
	for name, test := range map[string]struct {
		controlConnection uint32
		killed            bool
	}{
		"same process": {controlConnection: queryConnection + 3, killed: true},
		"new process":  {controlConnection: 7, killed: false},
		"same id":      {controlConnection: queryConnection, killed: false},
	} {
		t.Run(name, func(t *testing.T) {
			x, _ := NewExchange(&Query{Account: &Account{}, Text: "SELECT 1"}, "u", "p", memlimit.New(0, guaranteedBytes))
			s := idleSession()
			s.connectionID = queryConnection
			var primary, control any = s, nil
			x.Connected(attempt.Primary, &primary, permitted)
			x.ConnectionLost(attempt.Primary)
			x.Connected(attempt.Control, &control, permitted)
			x.Received(attempt.Control, greetingOf(test.controlConnection))
			var killed, ended bool
			for _, step := range x.Received(attempt.Control, okPacket(2)) {
				switch step := step.(type) {
				case attempt.Write:
					killed = killed || strings.Contains(string(step.Bytes), "KILL QUERY 50")
				case attempt.End:
					ended = step.Outcome == policy.Reset
				}
			}
			if killed != test.killed || ended == test.killed {
				t.Errorf("killed %t, ended %t, want %t and %t", killed, ended, test.killed, !test.killed)
			}
		})
	}
}

// Once the connection of a query is lost, KILL QUERY needs a new connection: a pooled one may have been opened to another process.
func TestKillAfterLostConnectionUsesNewConnection(t *testing.T) {
	x, _ := NewExchange(&Query{Account: &Account{}, Text: "SELECT 1"}, "u", "p", memlimit.New(0, guaranteedBytes))
	var primary any = idleSession()
	x.Connected(attempt.Primary, &primary, permitted)
	x.Cancel(policy.Cancelled)
	x.ConnectionLost(attempt.Primary)
	x.ConnectFailed(attempt.Control)
	steps := x.TimerFired(attempt.RetryBackoff)
	if !slices.Contains(steps, attempt.Step(attempt.Open{Channel: attempt.Control, Fresh: true})) {
		t.Errorf("steps %+v, want a new control connection", steps)
	}
}
