package simproto

import (
	"bytes"
	"encoding/hex"
	"io"
	"reflect"
	"strings"
	"testing"
)

// The worked frames of the wire's page, with their zero bytes written out.
var (
	emptyBatch = "00000000" + "00000000" + "90bf68f501000000"
	batchHex   = "a8000000" + "03000000" + "90bf68f501000000" +
		"0403000000c4913a5d01640ad2557c3bf0910000c0430000000000003041001bb70000000000001c4e0e00000000" + zeros(10) +
		"0b030000004d00000000000000" + zeros(43) +
		"0705000000192b6f0e" + zeros(47)
	replyHex = "59000000" + "03000000" +
		"4003000000c4913a5d0a124a07931f00b4c40400000000" + zeros(1) +
		"44030000000065cd1d000000004d00000000000000" + zeros(3) +
		"48050000000000000011000000" + zeros(11) +
		"74776f2073657276657273206b6e6f776e"
)

func zeros(n int) string { return strings.Repeat("00", n) }

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestWorkedBatch(t *testing.T) {
	want := Batch{Now: 0x01f568bf90, Events: []Record{
		&WorkItem{Inst: 3, Request: 0x5d3a91c4, Opts: 1, Key: 0x91f03b7c55d20a64, NeedMB: 384, Tables: 11,
			Expected: 12_000_000, Remaining: 240_000_000},
		&Due{Inst: 3, Token: 77},
		&Vanished{Inst: 5, Request: 0x0e6f2b19},
	}}
	raw := unhex(t, batchHex)
	got, err := ReadBatch(bytes.NewReader(raw))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got.Events[0], err)
	}
	if again := AppendBatch(nil, got); !bytes.Equal(again, raw) {
		t.Fatalf("encoded as %x", again)
	}
	empty, err := ReadBatch(bytes.NewReader(unhex(t, emptyBatch)))
	if err != nil || len(empty.Events) != 0 || empty.Now != want.Now {
		t.Fatalf("empty batch: %+v, %v", empty, err)
	}
}

func TestWorkedReply(t *testing.T) {
	want := []Record{
		&Dispatch{Inst: 3, Request: 0x5d3a91c4, Engine: EngineID{IP: [4]byte{10, 18, 74, 7}, Port: 8083},
			AllowFor: 80_000_000},
		&Timer{Inst: 3, After: 500_000_000, Token: 77},
		&Debug{Inst: 5, Text: []byte("two servers known")},
	}
	raw := unhex(t, replyHex)
	if got := AppendReply(nil, want); !bytes.Equal(got, raw) {
		t.Fatalf("encoded as %x", got)
	}
	got, err := ReadReply(bytes.NewReader(raw))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

func TestWorkedOutcomeAndList(t *testing.T) {
	done := "0a03000000c4913a5d00000a124a07931f6400a0491a0100000000016010010003" +
		"52b81e3f0000e0400000a03f00000000" + zeros(7)
	table := "00" + "0000" + "00000000" + "02000000" + zeros(45)
	announce := "08" + "03000000" + "0000" + "2900000000000000" + "01" + zeros(40)
	rows := "0a124a07931f00000000000000" + "00803f0000000000000000" + "0a9011f2bc1f00000000000000" + "00c03f009d966b01000000"
	body := done + table + announce + rows
	head := make([]byte, 16)
	head[0], head[4] = byte(len(body)/2), 3
	b, err := ReadBatch(bytes.NewReader(append(head, unhex(t, body)...)))
	if err != nil {
		t.Fatal(err)
	}
	d := b.Events[0].(*Done)
	if d.Ending != 100 || d.Terminal != 1 || d.Took != 18500000 || d.Note != 0x011060 || d.Load.N != 3 || d.Load.Values[1] != 7 {
		t.Fatalf("outcome %+v", d)
	}
	l := b.Events[1].(*Table)
	if len(l.Entries) != 2 || l.Entries[1].Engine.Port != 8124 || l.Entries[1].Scale != 1.5 || l.Entries[1].Started == 0 {
		t.Fatalf("list %+v", l)
	}
	if a := b.Events[2].(*Announce); a.How != 1 || a.Generation != 41 {
		t.Fatalf("announce %+v", a)
	}
}

func TestEveryRecordRoundTrips(t *testing.T) {
	id := EngineID{IP: [4]byte{1, 2, 3, 4}, Port: 5}
	load := Load{N: 2, Values: [4]float32{1, 2}}
	events := []Record{
		&Table{Bank: 3, Entries: []Entry{{Engine: id, Zone: 1, Kind: 2, Cell: 3, Health: 2, Scale: 1.5, Started: 9}}},
		&Heartbeat{1, 2, 3, id, 1, 0.5}, &Flowing{1, 2, 3, id, 4}, &Up{1, 2, []byte("{}")},
		&WorkItem{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, &CheckResult{1, id, 100, 7, load}, &Whisper{1, 2, []byte("hi")},
		&Vanished{1, 2}, &Announce{1, 2, 3, 4}, &Teardown{1}, &Done{1, 2, 3, id, 100, 5, 1, 7, load}, &Due{1, 2},
	}
	b, err := ReadBatch(bytes.NewReader(AppendBatch(nil, Batch{5, events})))
	if err != nil || !reflect.DeepEqual(b.Events, events) {
		t.Fatalf("events came back as %+v, %v", b.Events, err)
	}
	actions := []Record{
		&Dispatch{1, 2, id, 3}, &Refuse{1, 2, 3}, &Surrender{1, 2}, &Abandon{1, 2, 3}, &Timer{1, 2, 3},
		&HealthCheck{1, id}, &DropConns{1, id}, &Tell{1, 2, []byte("x")}, &Debug{1, []byte("y")},
		&Fatal{1, []byte("z")}, &KeepInformed{1, 1}, &Fetch{1}, &SetTerms{1, 2, 3, 2},
	}
	got, err := ReadReply(bytes.NewReader(AppendReply(nil, actions)))
	if err != nil || !reflect.DeepEqual(got, actions) {
		t.Fatalf("actions came back as %+v, %v", got, err)
	}
}

func TestMalformedFramesAreErrors(t *testing.T) {
	good := unhex(t, batchHex)
	change := func(at int, v byte) []byte {
		b := bytes.Clone(good)
		b[at] = v
		return b
	}
	up := AppendBatch(nil, Batch{1, []Record{&Up{1, 2, []byte("{}")}}})
	up[16+13] = 200 // the span begins beyond the tail
	table := AppendBatch(nil, Batch{1, []Record{&Table{Entries: []Entry{{}}}}})
	table[16+7] = 2 // more entries than the tail holds
	load := AppendBatch(nil, Batch{1, []Record{&Done{}}})
	load[16+32] = 5
	for name, raw := range map[string][]byte{
		"short header": good[:9], "short body": good[:40], "no body": good[:16], "unknown code": change(16, 99),
		"action code": change(16, 64), "too many records": change(4, 200), "oversized": change(3, 0xff),
		"span beyond tail": up, "entries beyond tail": table, "five figures": load,
	} {
		if _, err := ReadBatch(bytes.NewReader(raw)); err == nil || err == io.EOF {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

// Whatever the bytes, reading ends in a batch or an error; what was read is written back to the same meaning.
func FuzzReadBatch(f *testing.F) {
	f.Add(unhex(f, emptyBatch))
	f.Add(unhex(f, batchHex))
	f.Add(AppendBatch(nil, Batch{1, []Record{&Up{1, 2, []byte("{}")}, &Table{Entries: []Entry{{}}}}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := ReadBatch(bytes.NewReader(raw))
		if err != nil {
			return
		}
		first := AppendBatch(nil, b)
		again, err := ReadBatch(bytes.NewReader(first))
		if err != nil || !bytes.Equal(AppendBatch(nil, again), first) {
			t.Fatalf("not stable: %v", err)
		}
	})
}
