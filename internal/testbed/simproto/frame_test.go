package simproto

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// Example frames from the protocol's documentation, with their zero padding.
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

func decodeHex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestBatchCodecMatchesDocumentedExample(t *testing.T) {
	want := Batch{Now: 0x01f568bf90, Events: []Record{
		&RequestArrived{Instance: 3, Request: 0x5d3a91c4, Flags: 1, Key: 0x91f03b7c55d20a64, EstimatedMemoryMB: 384, TableGroup: 11,
			EstimatedWork: 12_000_000, Remaining: 240_000_000},
		&TimerFired{Instance: 3, Token: 77},
		&ClientGone{Instance: 5, Request: 0x0e6f2b19},
	}}
	raw := decodeHex(t, batchHex)
	got, err := ReadBatch(bytes.NewReader(raw))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded first event %+v with error %v, want %+v", got.Events[0], err, want.Events[0])
	}
	if encoded := AppendBatch(nil, got); !bytes.Equal(encoded, raw) {
		t.Fatalf("encoded as %x, want %x", encoded, raw)
	}
	empty, err := ReadBatch(bytes.NewReader(decodeHex(t, emptyBatch)))
	if err != nil || len(empty.Events) != 0 || empty.Now != want.Now {
		t.Fatalf("decoded empty batch %+v with error %v, want no events at time %d", empty, err, want.Now)
	}
}

func TestReplyCodecMatchesDocumentedExample(t *testing.T) {
	want := []Record{
		&SendAttempt{Instance: 3, Request: 0x5d3a91c4, Engine: EngineID{IP: [4]byte{10, 18, 74, 7}, Port: 8083},
			Timeout: 80_000_000},
		&SetTimer{Instance: 3, After: 500_000_000, Token: 77},
		&Log{Instance: 5, Text: []byte("two servers known")},
	}
	raw := decodeHex(t, replyHex)
	if got := AppendReply(nil, want); !bytes.Equal(got, raw) {
		t.Fatalf("encoded as %x, want %x", got, raw)
	}
	got, err := ReadReply(bytes.NewReader(raw))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded %+v with error %v, want %+v", got, err, want)
	}
}

func TestReadBatchDecodesDocumentedAttemptAndEngineList(t *testing.T) {
	attemptEnded := "0a03000000c4913a5d00000a124a07931f6400a0491a0100000000016010010003" +
		"52b81e3f0000e0400000a03f00000000" + zeros(7)
	engineList := "00" + "0000" + "00000000" + "02000000" + zeros(45)
	engineListChanged := "08" + "03000000" + "0000" + "2900000000000000" + "01" + zeros(40)
	entries := "0a124a07931f00000000000000" + "00803f0000000000000000" + "0a9011f2bc1f00000000000000" + "00c03f009d966b01000000"
	body := attemptEnded + engineList + engineListChanged + entries
	header := make([]byte, 16)
	header[0], header[4] = byte(len(body)/2), 3
	b, err := ReadBatch(bytes.NewReader(append(header, decodeHex(t, body)...)))
	if err != nil {
		t.Fatal(err)
	}
	d := b.Events[0].(*AttemptEnded)
	if d.Outcome != 100 || d.Terminal != 1 || d.Duration != 18500000 || d.Usage != 0x011060 || d.Report.Count != 3 || d.Report.Values[1] != 7 {
		t.Fatalf("decoded %+v does not match the documented AttemptEnded", d)
	}
	l := b.Events[1].(*EngineList)
	if len(l.Entries) != 2 || l.Entries[1].Engine.Port != 8124 || l.Entries[1].Scale != 1.5 || l.Entries[1].Started == 0 {
		t.Fatalf("decoded %+v does not match the documented EngineList", l)
	}
	if a := b.Events[2].(*EngineListChanged); a.Kind != 1 || a.Version != 41 {
		t.Fatalf("decoded %+v does not match the documented EngineListChanged", a)
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	id := EngineID{IP: [4]byte{1, 2, 3, 4}, Port: 5}
	load := LoadReport{Count: 2, Values: [4]float32{1, 2}}
	events := []Record{
		&EngineList{Number: 3, Entries: []EngineEntry{{Engine: id, Zone: 1, MachineType: 2, Cell: 3, Health: 2, Scale: 1.5, Started: 9}}},
		&Progress{1, 2, 3, id, 1, 0.5}, &ResponseStarted{1, 2, 3, id, 4}, &StartInstance{1, 2, []byte("{}")},
		&RequestArrived{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, &HealthCheckEnded{1, id, 100, 7, load}, &PeerMessage{1, 2, []byte("hi")},
		&ClientGone{1, 2}, &EngineListChanged{1, 2, 3, 4}, &StopInstance{1}, &AttemptEnded{1, 2, 3, id, 100, 5, 1, 7, load}, &TimerFired{1, 2},
	}
	b, err := ReadBatch(bytes.NewReader(AppendBatch(nil, Batch{5, events})))
	if err != nil || !reflect.DeepEqual(b.Events, events) {
		t.Fatalf("events decoded as %+v with error %v, want %+v", b.Events, err, events)
	}
	actions := []Record{
		&SendAttempt{1, 2, id, 3}, &Reject{1, 2, 3}, &Fail{1, 2}, &CancelAttempt{1, 2, 3}, &SetTimer{1, 2, 3},
		&HealthCheck{1, id}, &CloseIdleConnections{1, id}, &SendPeerMessage{1, 2, []byte("x")}, &Log{1, []byte("y")},
		&Fatal{1, []byte("z")}, &Subscribe{1, 1}, &FetchEngineList{1}, &SetResources{1, 2, 3, 2},
	}
	got, err := ReadReply(bytes.NewReader(AppendReply(nil, actions)))
	if err != nil || !reflect.DeepEqual(got, actions) {
		t.Fatalf("actions decoded as %+v with error %v, want %+v", got, err, actions)
	}
}

// matches reports whether err is or wraps want. LimitError and UnknownCodeError are compared by their fields.
func matches(err, want error) bool {
	var limit *LimitError
	var code *UnknownCodeError
	switch {
	case errors.As(err, &limit):
		return reflect.DeepEqual(limit, want)
	case errors.As(err, &code):
		return reflect.DeepEqual(code, want)
	}
	return errors.Is(err, want)
}

func TestReadBatchRejectsMalformedFrames(t *testing.T) {
	good := decodeHex(t, batchHex)
	change := func(at int, v byte) []byte {
		b := bytes.Clone(good)
		b[at] = v
		return b
	}
	beyondTail := AppendBatch(nil, Batch{1, []Record{&StartInstance{1, 2, []byte("{}")}}})
	beyondTail[16+13] = 200 // offset of the settings, beyond the 2 bytes of the tail
	extraEntries := AppendBatch(nil, Batch{1, []Record{&EngineList{Entries: []EngineEntry{{}}}}})
	extraEntries[16+7] = 2 // number of entries; the tail holds only one, of 24 bytes
	badHealth := AppendBatch(nil, Batch{1, []Record{&EngineList{Entries: []EngineEntry{{Health: 3}}}}})
	fiveValues := AppendBatch(nil, Batch{1, []Record{&AttemptEnded{}}})
	fiveValues[16+32] = 5
	for _, c := range []struct {
		name string
		raw  []byte
		want error
	}{
		{"short header", good[:9], io.ErrUnexpectedEOF},
		{"short body", good[:40], io.ErrUnexpectedEOF},
		{"no body", good[:16], io.EOF},
		{"unknown code", change(16, 99), &UnknownCodeError{Record: 0, Code: 99}},
		{"action code", change(16, 64), &UnknownCodeError{Record: 0, Code: 64}},
		{"too many records", change(4, 200), &LimitError{Field: "number of records", Value: 200, Limit: 3}},
		{"body too large", change(3, 0xff), &LimitError{Field: "body size", Value: 0xff0000a8, Limit: maxBodySize}},
		{"reference beyond tail", beyondTail, &LimitError{Field: "end of tail reference", Value: 202, Limit: 2}},
		{"entries beyond tail", extraEntries, &LimitError{Field: "end of tail reference", Value: 48, Limit: 24}},
		{"unknown health", badHealth, &LimitError{Field: "engine health", Value: 3, Limit: maxHealth}},
		{"too many load values", fiveValues, &LimitError{Field: "number of load values", Value: 5, Limit: maxLoadValues}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadBatch(bytes.NewReader(c.raw))
			if err == io.EOF || !errors.Is(err, ErrMalformedFrame) || !matches(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); err != io.EOF {
		t.Errorf("at the end of the input: error %v, want io.EOF", err)
	}
}

// FuzzReadBatch checks that ReadBatch does not panic on any input, and that encoding a decoded batch is stable: the
// encoded batch decodes again and encodes to the same bytes.
func FuzzReadBatch(f *testing.F) {
	f.Add(decodeHex(f, emptyBatch))
	f.Add(decodeHex(f, batchHex))
	f.Add(AppendBatch(nil, Batch{1, []Record{&StartInstance{1, 2, []byte("{}")}, &EngineList{Entries: []EngineEntry{{}}}}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := ReadBatch(bytes.NewReader(raw))
		if err != nil {
			return
		}
		first := AppendBatch(nil, b)
		reread, err := ReadBatch(bytes.NewReader(first))
		if err != nil || !bytes.Equal(AppendBatch(nil, reread), first) {
			t.Fatalf("the batch changed in a round trip: %v", err)
		}
	})
}
