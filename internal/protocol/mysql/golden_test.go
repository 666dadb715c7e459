package mysql

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"frostpier/internal/attempt"
	"frostpier/internal/memlimit"
	"frostpier/internal/testutil"
	"frostpier/internal/testutil/transcript"
	"frostpier/policy"
)

// goldenCommands returns the commands of one connection, each sent after the response to the previous one.
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

// Every byte that a ServerConn writes equals the golden file.
func TestServerConnTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	conn, greeting := NewServerConn(testAccounts, 1, scramble, memlimit.New(maxCommandSize, 0))
	fmt.Fprintf(&out, "greeting %q\n", greeting)
	for _, in := range slices.Concat([][]byte{loginBytes(t)}, goldenCommands()) {
		fmt.Fprintf(&out, "in %q\n", in)
		events := conn.Received(in)
		for _, e := range slices.Clone(events) {
			if e.Query != nil {
				events = append(events, conn.QueryEnded()...)
			}
		}
		for _, e := range events {
			fmt.Fprintf(&out, "  write %q close %v\n", e.Write, e.Close)
			if q := e.Query; q != nil {
				fmt.Fprintf(&out, "  call schema %q text %q key %q\n", q.Schema, q.Text, q.IdempotencyKey)
				if q.Execution != nil {
					fmt.Fprintf(&out, "  execute %q\n", slices.Concat(q.Execution.longDataPackets(5), q.Execution.executePacket(5)))
				}
			}
		}
	}
	for _, response := range [][]byte{RejectedPacket(1500 * time.Millisecond), RejectedPacket(0), DeadlineExceededPacket(), FailedPacket()} {
		fmt.Fprintf(&out, "answer %q\n", response)
	}
	testutil.Golden(t, "front.golden", []byte(out.String()))
}

// Every byte that an Exchange sends to engines equals the golden file.
func TestExchangeTranscript(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	record := func(event string, steps []attempt.Step) { out.WriteString(transcript.Steps(event, steps)) }
	_, greeting := NewServerConn(nil, 1, scramble, memlimit.New(0, guaranteedBytes))
	permission := func(bool) (time.Duration, bool) { return time.Second, true }
	prepared := &Execution{Text: "SELECT ?", Params: 1, nullBitmap: []byte{0}, paramTypes: []byte{0xfd, 0}, paramValues: []byte("\x01x")}
	prepareOK := slices.Concat(frame(1, []byte{0, 9, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0}), frame(2, []byte(definition)), eofPacket(3))
	for _, execution := range []*Execution{nil, prepared} {
		var protocolState [2]any
		query := &Query{Account: &Account{}, Text: "SELECT ?", Schema: "s", IdempotencyKey: "'k'", Execution: execution}
		x, steps := NewExchange(query, "u", "p", memlimit.New(0, guaranteedBytes))
		record("new", steps)
		record("opened", x.Connected(attempt.Primary, &protocolState[0], permission))
		record("greeting", x.Received(attempt.Primary, greeting))
		record("ok", x.Received(attempt.Primary, okPacket(2)))
		record("ok", x.Received(attempt.Primary, okPacket(1)))
		record("ok", x.Received(attempt.Primary, okPacket(1)))
		if execution != nil {
			record("prepared", x.Received(attempt.Primary, prepareOK))
			record("rows", x.Received(attempt.Primary, rows("a", "b")))
			continue
		}
		record("first rows", x.Received(attempt.Primary, rows("a", "b")[:60]))
		record("cancel", x.Cancel(policy.Cancelled))
		record("opened", x.Connected(attempt.Control, &protocolState[1], permission))
		record("greeting", x.Received(attempt.Control, greeting))
		record("ok", x.Received(attempt.Control, okPacket(2)))
		record("ok", x.Received(attempt.Control, okPacket(1)))
		record("error", x.Received(attempt.Primary, errPacket(5, 1317, "interrupted")))
		record("lost", x.ConnectionLost(attempt.Primary))
	}
	testutil.Golden(t, "exchange.golden", []byte(out.String()))
}
