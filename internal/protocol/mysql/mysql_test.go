package mysql

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostpier/internal/attempt"
	_ "frostpier/internal/testutil/fixedseed"
	"frostpier/policy"
)

var scramble = []byte("abcdefghijklmnopqrst")

func newFront(t testing.TB) *Front {
	t.Helper()
	f, greeting := NewFront(map[string]*Account{"u": {User: "u", Hash: HashOf("p"), Budget: time.Second}}, 1, scramble)
	if n := length(greeting); n != len(greeting)-headSize {
		t.Fatalf("a greeting of %d bytes says %d", len(greeting)-headSize, n)
	}
	return f
}

// loginBytes is a client's login, made by the engine's side of this package from the front's greeting.
func loginBytes(t testing.TB) []byte {
	t.Helper()
	_, greeting := NewFront(nil, 1, scramble)
	s := newSession()
	out, err := s.greet(packet{payload: greeting[headSize:]}, login{"u", "p"})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func flat(events []Event) (out []byte, calls []*Call, closed bool) {
	for _, e := range events {
		out = append(out, e.Write...)
		if e.Call != nil {
			calls = append(calls, e.Call)
		}
		closed = closed || e.Close
	}
	return out, calls, closed
}

// Commands in any pieces mean what they mean as a whole, one after the other.
func TestFrontInAnyPieces(t *testing.T) {
	text := slices.Concat(loginBytes(t), command(comPing), command(comPrepare, []byte("SELECT ?, '?'")),
		command(comExecute, []byte{1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0xfd, 0, 1, 'x'}), command(comQuery, []byte("SELECT 1")))
	rapid.Check(t, func(rt *rapid.T) {
		f, rest := newFront(t), text
		var calls []*Call
		take := func(events []Event) {
			_, c, _ := flat(events)
			calls = append(calls, c...)
		}
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			take(f.Feed(rest[:n]))
			rest = rest[n:]
		}
		if len(calls) != 1 || calls[0].Execute == nil || calls[0].Execute.Params != 1 {
			rt.Fatalf("%+v before the first is done", calls)
		}
		take(f.Done())
		if len(calls) != 2 || calls[1].Text != "SELECT 1" {
			rt.Fatalf("%+v", calls)
		}
	})
}

func TestFrontGarbageNeverPanics(t *testing.T) {
	in := loginBytes(t)
	rapid.Check(t, func(rt *rapid.T) {
		f := newFront(t)
		if rapid.Bool().Draw(rt, "logged in") {
			f.Feed(in)
		}
		for _, p := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 40)).Draw(rt, "packets") {
			if len(p) > 0 && rapid.Bool().Draw(rt, "known command") {
				p[0] = rapid.SampledFrom([]byte{comQuit, comInitDB, comQuery, comPing, comPrepare, comExecute, comLongData, comStmtReset}).Draw(rt, "command")
			}
			f.Feed(frame(0, p))
			f.Done()
		}
		f.Feed(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"))
	})
}

func TestStatements(t *testing.T) {
	for text, want := range map[string]int{"SELECT ?": 1, "? '?' \"?\" `?` ?": 2, "-- ?\n?": 1, "# ?\n?": 1, "/* ? */ ?": 1,
		"'\\'?' ?": 1, "/* ?": 0, "'?": 0, "a--?": 1, "": 0} {
		if got := markers(text); got != want {
			t.Errorf("%q has %d, want %d", text, got, want)
		}
	}
	for text, key := range map[string]string{"SET @replay_key='a\\'b'": `'a\'b'`, " set @replay_key := 'x' ; ": "'x'",
		"SET @replay_key='a', @b=1": "", "SET @replay_key=x": "", "SELECT 'SET @replay_key=''x'''": ""} {
		got := ""
		if m := setKey.FindStringSubmatch(text); m != nil {
			got = m[1]
		}
		if got != key {
			t.Errorf("%q: key %q, want %q", text, got, key)
		}
	}
}

const definition = "\x03def\x00\x00\x00\x01c\x00\x0c\x2d\x00\xff\x00\x00\x00\xfd\x00\x00\x00\x00\x00"

// rows is a result of one column, with a packet number each.
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

// An answer passes byte for byte, whatever pieces it comes in.
func TestResultInAnyPieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		whole := rapid.SampledFrom([][]byte{rows(), rows("a", "bc"), rows(strings.Repeat("x", 200)), okPacket(1),
			errorPacket(1, 1064, "x")}).Draw(rt, "answer")
		var r result
		var got []byte
		for rest := whole; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			pass, last, err := r.feed(rest[:n])
			if err != nil {
				rt.Fatal(err)
			}
			got, rest = append(append(got, pass...), last...), rest[n:]
		}
		if !r.over || !bytes.Equal(got, whole) {
			rt.Fatalf("%q became %q", whole, got)
		}
	})
}

// Guards against a break that looks like an end: between rows an error tells it, within a row only the connection.
func TestBrokenResult(t *testing.T) {
	whole := rows("abc", "def")
	first := bytes.Index(whole, []byte("\x03abc")) + 4
	var r result
	r.feed(whole[:first])
	if b := r.broken(); len(b) == 0 || b[3] != 5 || b[4] != 0xff {
		t.Fatalf("between rows: %q", b)
	}
	r = result{}
	r.feed(whole[:first-1])
	if b := r.broken(); b != nil {
		t.Fatalf("within a row: %q", b)
	}
}

func TestExchangeGarbage(t *testing.T) {
	_, greeting := NewFront(nil, 1, scramble)
	parts := rapid.SampledFrom([][]byte{greeting, okPacket(2), okPacket(1), eofPacket(3), rows("a"), rows("a")[:60],
		errorPacket(1, codeNoThread, ""), errorPacket(1, codeTooMany, ""), frame(1, []byte{0, 9, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0}), frame(2, []byte(definition))})
	rapid.Check(t, func(rt *rapid.T) {
		call := &Call{Account: &Account{}, Text: "SELECT ?", Schema: "s", Key: "'k'"}
		if rapid.Bool().Draw(rt, "prepared") {
			call.Execute = &Execution{Text: "SELECT ?", Params: 1, nulls: []byte{0}, types: []byte{0xfd, 0}}
		}
		x, _ := NewExchange(call, "u", "p")
		var memory [2]any
		ends, asked := 0, 0
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			lane := attempt.Channel(rapid.IntRange(0, 1).Draw(rt, "lane"))
			var steps []attempt.Step
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				steps = x.Cancel(policy.Cancelled)
			case 1:
				steps = x.ConnectionLost(lane)
			case 2:
				steps = x.TimerFired(attempt.Timer(rapid.IntRange(0, 2).Draw(rt, "alarm")))
			case 3:
				steps = x.Received(lane, rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(rt, "bytes"))
			case 4, 5:
				if x.phase != finished && !x.up[lane] && (lane == attempt.Control) == (x.phase == killing) {
					memory[lane] = nil
					steps = x.Connected(lane, &memory[lane], func(bool) (time.Duration, bool) { return time.Second, true })
				}
			default:
				steps = x.Received(lane, parts.Draw(rt, "part"))
			}
			for _, s := range steps {
				switch s := s.(type) {
				case attempt.End:
					ends++
				case attempt.Write:
					if code := s.Bytes[headSize]; code == comExecute || bytes.Equal(s.Bytes[headSize:], []byte("\x03SELECT ?")) {
						asked++
					}
				}
			}
		}
		if ends > 1 || asked > 1 {
			rt.Fatalf("%d ends, asked %d times", ends, asked)
		}
	})
}

// Guards against a late KILL QUERY that ends the next query on the same connection: one that was given up is never
// handed back, even if its end was read.
func TestKilledConnectionIsNotUsedAgain(t *testing.T) {
	x, _ := NewExchange(&Call{Account: &Account{}, Text: "SELECT 1"}, "u", "p")
	var memory any = &session{in: framer{limit: maxControl}, ready: true, prepared: map[string]uint32{}}
	x.Connected(attempt.Primary, &memory, func(bool) (time.Duration, bool) { return time.Second, true })
	x.Cancel(policy.Cancelled)
	for _, s := range x.Received(attempt.Primary, rows("a")) {
		if _, released := s.(attempt.Release); released {
			t.Fatal("released")
		}
	}
	if x.phase != finished {
		t.Fatal("its end was read, and it is still out")
	}
}

// Guards against a second attempt while the first may still run: neither a lost connection nor an error to the KILL
// is a confirmation; the query's own end is, or the engine's word that it knows no such thread.
func TestGivenUpIsOutUntilConfirmed(t *testing.T) {
	var memory [2]any
	leave := func(bool) (time.Duration, bool) { return time.Second, true }
	ended := func(steps []attempt.Step) bool {
		return slices.ContainsFunc(steps, func(s attempt.Step) bool { _, end := s.(attempt.End); return end })
	}
	begin := func() *Exchange {
		x, _ := NewExchange(&Call{Account: &Account{}, Text: "SELECT 1"}, "u", "p")
		for i := range memory {
			memory[i] = &session{in: framer{limit: maxControl}, ready: true, prepared: map[string]uint32{}}
		}
		x.Connected(attempt.Primary, &memory[0], leave)
		return x
	}
	x := begin()
	if ended(x.Cancel(policy.Cancelled)) || ended(x.Connected(attempt.Control, &memory[1], leave)) ||
		ended(x.Received(attempt.Control, errorPacket(1, 1095, "not yours"))) || ended(x.TimerFired(attempt.RetryBackoff)) ||
		ended(x.Received(attempt.Control, okPacket(1))) {
		t.Fatal("ended before the query did")
	}
	if !ended(x.Received(attempt.Primary, errorPacket(1, codeInterrupted, "killed"))) {
		t.Fatal("still out after its own end")
	}
	x = begin()
	if ended(x.ConnectionLost(attempt.Primary)) || ended(x.Connected(attempt.Control, &memory[1], leave)) || ended(x.ConnectFailed(attempt.Control)) {
		t.Fatal("a lost connection taken for the end")
	}
	if !ended(x.Received(attempt.Control, errorPacket(1, codeNoThread, "unknown"))) {
		t.Fatal("still out though the engine knows no such thread")
	}
}
