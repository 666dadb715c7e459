package mysql

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"frostpier/internal/attempt"
	"frostpier/internal/testutil"
	"frostpier/internal/testutil/transcript"
	"frostpier/policy"
)

// goldenCommands are the commands of one session, each sent after the response to the one before.
func goldenCommands() [][]byte {
	return [][]byte{
		commandPacket(comPing),
		commandPacket(comInitDB, []byte("s")),
		commandPacket(comStmtPrepare, []byte("SELECT ?, '?'")),
		commandPacket(comStmtSendLongData, []byte{1, 0, 0, 0, 0, 0}, []byte("long")),
		commandPacket(comStmtExecute, []byte{1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1, 0xfd, 0, 1, 'x'}),
		commandPacket(comStmtExecute, []byte{1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 1, 'y'}),
		commandPacket(comStmtReset, []byte{1, 0, 0, 0}),
		commandPacket(comStmtExecute, []byte{9, 0, 0, 0, 0, 1, 0, 0, 0}),
		commandPacket(comQuery, []byte("SET @replay_key='k'")),
		commandPacket(comQuery, []byte("SELECT 1")),
		commandPacket(comQuery, []byte("BEGIN")),
		commandPacket(comStmtClose, []byte{1, 0, 0, 0}),
		commandPacket(0x7f),
		commandPacket(comQuit),
	}
}

// Every byte that the front writes equals the recorded transcript.
func TestFrontTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	f, greeting := NewServerConn(map[string]*Account{"u": {User: "u", PasswordHash: HashPassword("p"), Budget: time.Second}}, 1, scramble)
	fmt.Fprintf(&out, "greeting %q\n", greeting)
	for _, in := range slices.Concat([][]byte{loginBytes(t)}, goldenCommands()) {
		fmt.Fprintf(&out, "in %q\n", in)
		events := f.Received(in)
		for _, e := range slices.Clone(events) {
			if e.Query != nil {
				events = append(events, f.QueryEnded()...)
			}
		}
		for _, e := range events {
			fmt.Fprintf(&out, "  write %q close %v\n", e.Write, e.Close)
			if c := e.Query; c != nil {
				fmt.Fprintf(&out, "  call schema %q text %q key %q\n", c.Schema, c.Text, c.IdempotencyKey)
				if c.Execution != nil {
					fmt.Fprintf(&out, "  execute %q\n", slices.Concat(c.Execution.longDataPackets(5), c.Execution.executePacket(5)))
				}
			}
		}
	}
	for _, answer := range [][]byte{RejectedPacket(1500 * time.Millisecond), RejectedPacket(0), DeadlineExceededPacket(), FailedPacket()} {
		fmt.Fprintf(&out, "answer %q\n", answer)
	}
	testutil.Golden(t, "front.golden", []byte(out.String()))
}

// Every byte that an exchange sends to engines equals the recorded transcript.
func TestExchangeTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	note := func(event string, steps []attempt.Step) { out.WriteString(transcript.Steps(event, steps)) }
	_, greeting := NewServerConn(nil, 1, scramble)
	permission := func(bool) (time.Duration, bool) { return time.Second, true }
	prepared := &Execution{Text: "SELECT ?", Params: 1, nullBitmap: []byte{0}, paramTypes: []byte{0xfd, 0}, paramValues: []byte("\x01x")}
	preparedAnswer := slices.Concat(frame(1, []byte{0, 9, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0}), frame(2, []byte(definition)), eofPacket(3))
	for _, execute := range []*Execution{nil, prepared} {
		var memory [2]any
		call := &Query{Account: &Account{}, Text: "SELECT ?", Schema: "s", IdempotencyKey: "'k'", Execution: execute}
		x, steps := NewExchange(call, "u", "p")
		note("new", steps)
		note("opened", x.Connected(attempt.Primary, &memory[0], permission))
		note("greeting", x.Received(attempt.Primary, greeting))
		note("ok", x.Received(attempt.Primary, okPacket(2)))
		note("ok", x.Received(attempt.Primary, okPacket(1)))
		note("ok", x.Received(attempt.Primary, okPacket(1)))
		if execute != nil {
			note("prepared", x.Received(attempt.Primary, preparedAnswer))
			note("rows", x.Received(attempt.Primary, rows("a", "b")))
			continue
		}
		note("first rows", x.Received(attempt.Primary, rows("a", "b")[:60]))
		note("cancel", x.Cancel(policy.Cancelled))
		note("opened", x.Connected(attempt.Control, &memory[1], permission))
		note("greeting", x.Received(attempt.Control, greeting))
		note("ok", x.Received(attempt.Control, okPacket(2)))
		note("ok", x.Received(attempt.Control, okPacket(1)))
		note("error", x.Received(attempt.Primary, errPacket(5, 1317, "interrupted")))
		note("lost", x.ConnectionLost(attempt.Primary))
	}
	testutil.Golden(t, "exchange.golden", []byte(out.String()))
}
