package rollout

import (
	"encoding/hex"
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

func someReport() Report {
	return Report{Gateway: 7, PID: 4711, Started: 1_800_000_000 * time.Second, Program: 1 << 63, Settings: 3, Serving: true, MemoryMB: 17.5,
		Classes: []Counts{{1, 2, 3, 4, 5, 6, 7}, {}, {Taken: 1 << 40}}}
}

// A report comes back as it was written, one with more in it too; none is read of another fleet, with absurd numbers, or
// longer than any is.
func TestReportsAreRead(t *testing.T) {
	b, err := someReport().Append(nil, "f")
	if err != nil {
		t.Fatal(err)
	}
	more := protowire.AppendTag(slices.Clone(b), 900, protowire.BytesType)
	more = protowire.AppendBytes(more, []byte("of a later version"))
	for _, text := range [][]byte{b, more} {
		r, err := ParseReport(text, "f", 8, 3)
		if err != nil || r.Gateway != 7 || r.PID != 4711 || !slices.Equal(r.Classes, someReport().Classes) || r.MemoryMB != 17.5 || !r.Serving {
			t.Fatalf("%+v, %v", r, err)
		}
	}
	if _, err := ParseReport(b, "g", 8, 3); !errors.Is(err, errFleet) {
		t.Errorf("another fleet: %v", err)
	}
	for _, w := range [][2]int{{7, 3}, {8, 2}, {8, 4}} {
		if _, err := ParseReport(b, "f", w[0], w[1]); err == nil {
			t.Errorf("%d gateways, %d classes: read", w[0], w[1])
		}
	}
	if _, err := ParseReport(make([]byte, MostReport+1), "f", 8, 3); err == nil {
		t.Error("an endless report was read")
	}
	rapid.Check(t, func(t *rapid.T) { // cuts and garbage: an error, or something within bounds
		text := slices.Clone(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")])
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			if len(text) > 0 {
				text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		if r, err := ParseReport(text, "f", 8, 3); err == nil && (r.Gateway < 0 || r.Gateway > 7 || len(r.Classes) != 3) {
			t.Fatalf("%+v", r)
		}
	})
}

// The first version's messages, as it wrote them: a later program has to read them, so that old gateways report to a new
// controller and mix with new ones.
const (
	firstReport = "0a0166100718e7242080a0f1c2b134290000000000000080310300000000000000" +
		"380148808c01520e08011002180320042805300638075200520708808080808020"
	firstVersion = "0d000100001500020000"
)

func TestFirstVersionsMessagesAreRead(t *testing.T) {
	b, err := hex.DecodeString(firstReport)
	if err != nil {
		t.Fatal(err)
	}
	r, err := ParseReport(b, "f", 8, 3)
	if err != nil || r.Gateway != 7 || r.Program != 1<<63 || !slices.Equal(r.Classes, someReport().Classes) {
		t.Errorf("%+v, %v", r, err)
	}
	if b, err = hex.DecodeString(firstVersion); err != nil {
		t.Fatal(err)
	}
	m := NewMix(3, ID{})
	if !m.Receive(2, b) || m.received[2] != (ID{1 << 8, 2 << 8}) {
		t.Errorf("%+v", m.received)
	}
}

// Versions are sent to every member now and then, again after a change, and what cannot be read changes nothing.
func TestMixOfVersions(t *testing.T) {
	a, b := NewMix(3, ID{1 << 40, 2 << 40}), NewMix(3, ID{3 << 40, 2 << 40})
	now := 100 * time.Second
	body := a.Append(now, 1, 50, nil)
	if len(body) == 0 || len(a.Append(now+time.Second, 1, 50, nil)) > 0 || len(a.Append(now, 2, 3, nil)) > 0 {
		t.Fatal("told twice at once, or without room")
	}
	if len(a.Append(now+resendAfter, 1, 50, nil)) == 0 {
		t.Error("not told again")
	}
	if !b.Receive(0, body) || b.Receive(0, []byte{0xff}) || b.Receive(9, body) || b.Receive(-1, body) {
		t.Error("what was heard")
	}
	counts := b.Counts(1, func(int) bool { return true })
	if len(counts) != 2 || counts[0].Members != 1 || FormatCounts(counts) == "" {
		t.Errorf("%+v", counts)
	}
	if got := b.Counts(1, func(i int) bool { return i != 0 }); len(got) != 1 {
		t.Errorf("one out of service counts: %+v", got)
	}
	a.Own(ID{5 << 40, 2 << 40})
	if body := a.Append(now+resendAfter, 1, 50, nil); len(body) == 0 {
		t.Error("a new version was not told")
	} else if b.Receive(0, body); b.Counts(1, func(int) bool { return true })[0].ID == (ID{}) {
		t.Error("lost")
	}
}
