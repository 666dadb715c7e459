package mysql

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostpier/internal/attempt"
	"frostpier/internal/memlimit"
	_ "frostpier/internal/testutil/fixedseed"
	"frostpier/policy"
)

var scramble = []byte("abcdefghijklmnopqrst")

// testAccounts has the account u with the password p.
var testAccounts = map[string]*Account{"u": {User: "u", PasswordHash: HashPassword("p"), Budget: time.Second}}

// newServerConn returns a new connection with the account u and the password p.
func newServerConn(t testing.TB) *ServerConn {
	t.Helper()
	conn, greeting := NewServerConn(testAccounts, 1, scramble, memlimit.New(maxCommandSize, 0))
	if n := payloadLength(greeting); n != len(greeting)-headerSize {
		t.Fatalf("handshake of %d bytes has length %d in its header", len(greeting)-headerSize, n)
	}
	return conn
}

// loginBytes returns a client's handshake response. It is created with session, which implements the client side of the protocol.
func loginBytes(t testing.TB) []byte {
	t.Helper()
	_, greeting := NewServerConn(nil, 1, scramble, memlimit.New(0, guaranteedBytes))
	s := newSession()
	out, err := s.handleLogin(packet{payload: greeting[headerSize:]}, credentials{"u", "p"})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Commands are parsed independently of how the input is split, and a query starts only after the previous one has ended.
func TestServerConnParsesSplitInput(t *testing.T) {
	input := slices.Concat(loginBytes(t), commandPacket(comPing), commandPacket(comStmtPrepare, []byte("SELECT ?, '?'")),
		commandPacket(comStmtExecute, []byte{1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0xfd, 0, 1, 'x'}), commandPacket(comQuery, []byte("SELECT 1")))
	rapid.Check(t, func(rt *rapid.T) {
		conn, rest := newServerConn(t), input
		var queries []*Query
		collect := func(events []Event) {
			for _, e := range events {
				if e.Query != nil {
					queries = append(queries, e.Query)
				}
			}
		}
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			collect(conn.Received(rest[:n]))
			rest = rest[n:]
		}
		if len(queries) != 1 || queries[0].Execution == nil || queries[0].Execution.Params != 1 {
			rt.Fatalf("queries %+v while the first one is running, want only the execute", queries)
		}
		collect(conn.QueryEnded())
		if len(queries) != 2 || queries[1].Text != "SELECT 1" {
			rt.Fatalf("queries %+v after the first one has ended, want the execute and SELECT 1", queries)
		}
	})
}

// Random bytes and packets never cause a panic.
func TestServerConnRandomInputNeverPanics(t *testing.T) {
	commands := []byte{comQuit, comInitDB, comQuery, comPing, comStmtPrepare, comStmtExecute, comStmtSendLongData, comStmtReset}
	login := loginBytes(t)
	rapid.Check(t, func(rt *rapid.T) {
		conn := newServerConn(t)
		if rapid.Bool().Draw(rt, "logged in") {
			conn.Received(login)
		}
		for _, p := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 40)).Draw(rt, "packets") {
			if len(p) > 0 && rapid.Bool().Draw(rt, "known command") {
				p[0] = rapid.SampledFrom(commands).Draw(rt, "command")
			}
			conn.Received(frame(0, p))
			conn.QueryEnded()
		}
		conn.Received(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"))
	})
}

func TestCountPlaceholders(t *testing.T) {
	for text, want := range map[string]int{
		"SELECT ?":          1,
		"? '?' \"?\" `?` ?": 2,
		"-- ?\n?":           1,
		"# ?\n?":            1,
		"/* ? */ ?":         1,
		"'\\'?' ?":          1,
		"/* ?":              0,
		"'?":                0,
		"a--?":              1,
		"--\t?\n?":          1,
		"--":                0,
		"'a''?' `a``?` ?":   1,
		"/*! ? */ ?":        2,
		"/*!40101 ? */ ?":   2,
		"/*!99999 ? */ ?":   1,
		"/*!800010 ? */ ?":  1,
		"/*! ? /* ? */ ?":   2,
		"/*! ?":             1,
		"":                  0,
	} {
		t.Run(text, func(t *testing.T) {
			if got := countPlaceholders(text); got != want {
				t.Errorf("%q has %d placeholders, want %d", text, got, want)
			}
		})
	}
}

func TestParsePasswordHash(t *testing.T) {
	const digits = "2470C0C06DEE42FD1618BB99005ADCA2EC9D1E19" // hash of "password"
	for name, text := range map[string]string{"with star": "*" + digits, "without star": digits} {
		t.Run(name, func(t *testing.T) {
			if got, err := ParsePasswordHash(text); err != nil || got != HashPassword("password") {
				t.Errorf("hash %x and error %v, want the hash of \"password\"", got, err)
			}
		})
	}
	for name, text := range map[string]string{"empty": "", "short": "*" + digits[2:], "not hex": "*" + strings.Repeat("x", len(digits))} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParsePasswordHash(text); !errors.Is(err, ErrPasswordHash) {
				t.Errorf("error %v, want ErrPasswordHash", err)
			}
		})
	}
}

func TestOversizedPacketIsMalformed(t *testing.T) {
	f := framer{maxPayload: 8}
	f.append(frame(0, make([]byte, 9)))
	_, _, err := f.nextPacket()
	var sizeError *packetSizeError
	if !errors.As(err, &sizeError) || *sizeError != (packetSizeError{size: 9, limit: 8}) || !errors.Is(err, errMalformedPacket) {
		t.Fatalf("error %v, want a packetSizeError of 9 bytes with limit 8", err)
	}
}

const definition = "\x03def\x00\x00\x00\x01c\x00\x0c\x2d\x00\xff\x00\x00\x00\xfd\x00\x00\x00\x00\x00"

// rows returns a result with one column and a row for each value.
func rows(values ...string) []byte {
	out := frame(1, []byte{1})
	out = append(out, frame(2, []byte(definition))...)
	out = append(out, eofPacket(3)...)
	seq := byte(4)
	for _, v := range values {
		out = append(out, frame(seq, append([]byte{byte(len(v))}, v...))...)
		seq++
	}
	return append(out, eofPacket(seq)...)
}

// A result is relayed unchanged, independently of how the input is split.
func TestSplitResultIsRelayedUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		full := rapid.SampledFrom([][]byte{rows(), rows("a", "bc"), rows(strings.Repeat("x", 200)), okPacket(1),
			errPacket(1, 1064, "x")}).Draw(rt, "response")
		var r resultStream
		var got []byte
		for rest := full; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			relay, last, err := r.received(rest[:n])
			if err != nil {
				rt.Fatal(err)
			}
			got, rest = append(append(got, relay...), last...), rest[n:]
		}
		if !r.complete || !bytes.Equal(got, full) {
			rt.Fatalf("relayed %q, want %q", got, full)
		}
	})
}

// A truncated result must not look complete: between rows an ERR packet ends it, and within a row only closing the connection
// can.
func TestTruncatedResultEndsWithError(t *testing.T) {
	full := rows("abc", "def")
	first := bytes.Index(full, []byte("\x03abc")) + 4
	var r resultStream
	r.received(full[:first])
	if b := r.truncationPacket(); len(b) == 0 || b[3] != 5 || b[4] != 0xff {
		t.Fatalf("between rows: truncation packet %q, want an ERR packet with sequence id 5", b)
	}
	r = resultStream{}
	r.received(full[:first-1])
	if b := r.truncationPacket(); b != nil {
		t.Fatalf("within a row: truncation packet %q, want none", b)
	}
}

// countEndsAndQueries returns the number of End steps, and of writes of the query "SELECT ?".
func countEndsAndQueries(steps []attempt.Step) (ends, queries int) {
	for _, step := range steps {
		switch s := step.(type) {
		case attempt.End:
			ends++
		case attempt.Write:
			if code := s.Bytes[headerSize]; code == comStmtExecute || bytes.Equal(s.Bytes[headerSize:], []byte("\x03SELECT ?")) {
				queries++
			}
		}
	}
	return ends, queries
}

// An exchange ends at most once and sends the query at most once, whatever the events and their order.
func TestExchangeEndsAndSendsAtMostOnce(t *testing.T) {
	_, greeting := NewServerConn(nil, 1, scramble, memlimit.New(0, guaranteedBytes))
	parts := rapid.SampledFrom([][]byte{
		greeting,
		okPacket(2),
		okPacket(1),
		eofPacket(3),
		rows("a"),
		rows("a")[:60],
		errPacket(1, erNoSuchThread, ""),
		errPacket(1, erConCount, ""),
		frame(1, []byte{0, 9, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0}),
		frame(2, []byte(definition)),
	})
	rapid.Check(t, func(rt *rapid.T) {
		query := &Query{Account: &Account{}, Text: "SELECT ?", Schema: "s", IdempotencyKey: "'k'"}
		if rapid.Bool().Draw(rt, "prepared") {
			query.Execution = &Execution{Text: "SELECT ?", Params: 1, nullBitmap: []byte{0}, paramTypes: []byte{0xfd, 0}}
		}
		x, _ := NewExchange(query, "u", "p", memlimit.New(0, guaranteedBytes))
		var protocolState [2]any
		ends, queries := 0, 0
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			channel := attempt.Channel(rapid.IntRange(0, 1).Draw(rt, "channel"))
			var steps []attempt.Step
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				steps = x.Cancel(policy.Cancelled)
			case 1:
				steps = x.ConnectionLost(channel)
			case 2:
				steps = x.TimerFired(attempt.Timer(rapid.IntRange(0, 2).Draw(rt, "timer")))
			case 3:
				steps = x.Received(channel, rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(rt, "bytes"))
			case 4, 5:
				if x.phase != phaseFinished && !x.connected[channel] && (channel == attempt.Control) == (x.phase == phaseKilling) {
					protocolState[channel] = nil
					steps = x.Connected(channel, &protocolState[channel], permitted)
				}
			default:
				steps = x.Received(channel, parts.Draw(rt, "part"))
			}
			e, q := countEndsAndQueries(steps)
			ends, queries = ends+e, queries+q
		}
		if ends > 1 || queries > 1 {
			rt.Fatalf("ended %d times, sent the query %d times", ends, queries)
		}
	})
}

// idleSession returns the session of a connection whose login is complete.
func idleSession() *session {
	s := newSession()
	s.authenticated = true
	return s
}

// permitted is a permission that allows every attempt to take one second.
func permitted(bool) (time.Duration, bool) { return time.Second, true }

// A connection whose query was killed is never released, even after its result was read to the end: a late KILL QUERY would end
// the next query on it.
func TestKilledConnectionIsNotReused(t *testing.T) {
	x, _ := NewExchange(&Query{Account: &Account{}, Text: "SELECT 1"}, "u", "p", memlimit.New(0, guaranteedBytes))
	var protocolState any = idleSession()
	x.Connected(attempt.Primary, &protocolState, permitted)
	x.Cancel(policy.Cancelled)
	for _, s := range x.Received(attempt.Primary, rows("a")) {
		if _, released := s.(attempt.Release); released {
			t.Fatal("the connection was released after its query was killed")
		}
	}
	if x.phase != phaseFinished {
		t.Fatal("the attempt is still in flight after the end of the result")
	}
}

// A killed attempt ends only when the end of its query is confirmed, by the end of the result or by ER_NO_SUCH_THREAD in response to
// the KILL. A lost connection or another ERR packet in response to the KILL does not confirm it. If the attempt ended earlier,
// a second one could start while the first is still running.
func TestKilledAttemptEndsWhenConfirmed(t *testing.T) {
	ended := func(steps []attempt.Step) bool {
		return slices.ContainsFunc(steps, func(s attempt.Step) bool { _, end := s.(attempt.End); return end })
	}
	queryInFlight := func() (x *Exchange, control any) {
		x, _ = NewExchange(&Query{Account: &Account{}, Text: "SELECT 1"}, "u", "p", memlimit.New(0, guaranteedBytes))
		var primary any = idleSession()
		x.Connected(attempt.Primary, &primary, permitted)
		return x, idleSession()
	}
	t.Run("by the end of the result", func(t *testing.T) {
		x, control := queryInFlight()
		if ended(x.Cancel(policy.Cancelled)) ||
			ended(x.Connected(attempt.Control, &control, permitted)) ||
			ended(x.Received(attempt.Control, errPacket(1, 1095, "not yours"))) ||
			ended(x.TimerFired(attempt.RetryBackoff)) ||
			ended(x.Received(attempt.Control, okPacket(1))) {
			t.Fatal("the attempt ended before the end of the query was confirmed")
		}
		if !ended(x.Received(attempt.Primary, errPacket(1, erQueryInterrupted, "killed"))) {
			t.Fatal("the attempt is still in flight after the end of the result")
		}
	})
	t.Run("by the response to KILL after the connection is lost", func(t *testing.T) {
		x, control := queryInFlight()
		if ended(x.ConnectionLost(attempt.Primary)) ||
			ended(x.Connected(attempt.Control, &control, permitted)) ||
			ended(x.ConnectFailed(attempt.Control)) {
			t.Fatal("the attempt ended after a lost connection without a confirmation")
		}
		if !ended(x.Received(attempt.Control, errPacket(1, erNoSuchThread, "unknown"))) {
			t.Fatal("the attempt is still in flight after ER_NO_SUCH_THREAD")
		}
	})
}

// unreachableTimeouts returns the times to which steps set the timer UnreachableTimeout, and whether they end the attempt.
func unreachableTimeouts(steps []attempt.Step) (set []time.Duration, ended bool) {
	for _, step := range steps {
		switch step := step.(type) {
		case attempt.SetTimer:
			if step.Timer == attempt.UnreachableTimeout {
				set = append(set, step.After)
			}
		case attempt.End:
			ended = true
		}
	}
	return set, ended
}

// An attempt whose KILL is not confirmed stays in flight until no other attempt can follow it, and ends some time after that. A report ran on
// two engines at once, since the attempt ended after 5 s while KILL got no connection. Once rows were relayed, no other attempt can follow.
func TestUnconfirmedKillKeepsAttemptInFlight(t *testing.T) {
	start := func() *Exchange {
		x, _ := NewExchange(&Query{Account: &Account{}, Text: "SELECT 1"}, "u", "p", memlimit.New(0, guaranteedBytes))
		var primary any = idleSession()
		if set, _ := unreachableTimeouts(x.Connected(attempt.Primary, &primary, permitted)); !slices.Equal(set, []time.Duration{time.Second}) {
			t.Fatalf("timer set to %v, want the time of the attempt", set)
		}
		return x
	}
	x := start()
	lost := x.ConnectionLost(attempt.Primary)
	refused := x.ConnectFailed(attempt.Control)
	if set, ended := unreachableTimeouts(append(lost, refused...)); len(set) > 0 || ended {
		t.Errorf("timer set to %v, ended %t while another attempt could follow, want neither", set, ended)
	}
	if set, ended := unreachableTimeouts(x.TimerFired(attempt.UnreachableTimeout)); !slices.Equal(set, []time.Duration{killConfirmTimeout}) || ended {
		t.Errorf("timer set to %v, ended %t at the end of the attempt's time, want only a timer of %v", set, ended, killConfirmTimeout)
	}
	if _, ended := unreachableTimeouts(x.TimerFired(attempt.UnreachableTimeout)); !ended {
		t.Error("the attempt is still in flight after its time and the time for a confirmation")
	}
	for name, before := range map[string]func(x *Exchange){
		"rows relayed": func(x *Exchange) { x.Received(attempt.Primary, rows("a", "b")[:60]) },
		"time passed":  func(x *Exchange) { x.TimerFired(attempt.UnreachableTimeout) },
	} {
		x := start()
		before(x)
		if set, _ := unreachableTimeouts(x.ConnectionLost(attempt.Primary)); !slices.Equal(set, []time.Duration{killConfirmTimeout}) {
			t.Errorf("%s: timer set to %v when the connection is lost, want %v", name, set, killConfirmTimeout)
		}
	}
}
