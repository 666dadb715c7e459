package rollout

import (
	"encoding/hex"
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	_ "frostpier/internal/testutil/fixedseed"
)

func testReport() Report {
	return Report{Gateway: 7, PID: 4711, StartedAt: 1_800_000_000 * time.Second, Program: 1 << 63, Settings: 3, Serving: true, MemoryMB: 17.5,
		Classes: []Counts{{1, 2, 3, 4, 5, 6, 7}, {}, {Requests: 1 << 40}}}
}

// encodedReport returns the encoding of testReport in the fleet "f".
func encodedReport(t *testing.T) []byte {
	t.Helper()
	b, err := testReport().Append(nil, "f")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestReportRoundTrip checks that ParseReport returns the encoded report, also if the encoding has an unknown field.
func TestReportRoundTrip(t *testing.T) {
	b := encodedReport(t)
	extended := protowire.AppendTag(slices.Clone(b), 900, protowire.BytesType)
	extended = protowire.AppendBytes(extended, []byte("of a later version"))
	for name, text := range map[string][]byte{"as encoded": b, "with an unknown field": extended} {
		t.Run(name, func(t *testing.T) {
			r, err := ParseReport(text, "f", 8, 3)
			if err != nil {
				t.Fatal(err)
			}
			if want := testReport(); !reflect.DeepEqual(r, want) {
				t.Fatalf("report %+v, want %+v", r, want)
			}
		})
	}
}

// TestParseReportRejectsInvalidReports checks the errors for another fleet, values out of bounds and excessive length.
func TestParseReportRejectsInvalidReports(t *testing.T) {
	b := encodedReport(t)
	cases := []struct {
		name              string
		report            []byte
		fleet             string
		gateways, classes int
		want              error
	}{
		{"another fleet", b, "g", 8, 3, ErrOtherFleet},
		{"too few gateways", b, "f", 7, 3, ErrInvalidReport},
		{"too many classes", b, "f", 8, 2, ErrInvalidReport},
		{"too few classes", b, "f", 8, 4, ErrInvalidReport},
		{"too long", make([]byte, MaxReportBytes+1), "f", 8, 3, ErrInvalidReport},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseReport(c.report, c.fleet, c.gateways, c.classes); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// TestParseReportHandlesCorruptedData checks that a truncated or modified report is rejected, or decoded to values within bounds.
func TestParseReportHandlesCorruptedData(t *testing.T) {
	b := encodedReport(t)
	rapid.Check(t, func(t *rapid.T) {
		text := slices.Clone(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")])
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			if len(text) > 0 {
				text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		if r, err := ParseReport(text, "f", 8, 3); err == nil && (r.Gateway < 0 || r.Gateway > 7 || len(r.Classes) != 3) {
			t.Fatalf("accepted a report with values out of bounds: %+v", r)
		}
	})
}

// Messages of the first protocol version. Later versions have to decode them, as old gateways report to a new controller and
// exchange versions with new gateways.
const (
	version1Report = "0a0166100718e7242080a0f1c2b134290000000000000080310300000000000000" +
		"380148808c01520e08011002180320042805300638075200520708808080808020"
	version1VersionMessage = "0d000100001500020000"
)

// TestVersion1MessagesAreDecoded checks that recorded messages of the first protocol version are decoded.
func TestVersion1MessagesAreDecoded(t *testing.T) {
	b, err := hex.DecodeString(version1Report)
	if err != nil {
		t.Fatal(err)
	}
	r, err := ParseReport(b, "f", 8, 3)
	if err != nil || r.Gateway != 7 || r.Program != 1<<63 || !slices.Equal(r.Classes, testReport().Classes) {
		t.Errorf("report %+v, error %v, want the values of testReport", r, err)
	}
	if b, err = hex.DecodeString(version1VersionMessage); err != nil {
		t.Fatal(err)
	}
	tracker := NewVersionTracker(3, VersionID{})
	if !tracker.Receive(2, b) || tracker.received[2] != (VersionID{1 << 8, 2 << 8}) {
		t.Errorf("versions by member: %+v, want only that of member 2, {256 512}", tracker.received)
	}
}

// TestVersionTrackerExchange checks that a version is sent to each member once per resendInterval and again after a change, and that
// malformed messages are ignored.
func TestVersionTrackerExchange(t *testing.T) {
	a, b := NewVersionTracker(3, VersionID{1 << 40, 2 << 40}), NewVersionTracker(3, VersionID{3 << 40, 2 << 40})
	now := 100 * time.Second
	body := a.Append(now, 1, 50, nil)
	if len(body) == 0 || len(a.Append(now+time.Second, 1, 50, nil)) > 0 || len(a.Append(now, 2, 3, nil)) > 0 {
		t.Fatal("not sent, sent again within resendInterval, or sent although it needs more than maxBytes")
	}
	if len(a.Append(now+resendInterval, 1, 50, nil)) == 0 {
		t.Error("not sent again after resendInterval")
	}
	if !b.Receive(0, body) || b.Receive(0, []byte{0xff}) || b.Receive(9, body) || b.Receive(-1, body) {
		t.Error("a valid message was rejected, or an invalid one accepted")
	}
	counts := b.Counts(1, func(int) bool { return true })
	if len(counts) != 2 || counts[0].Members != 1 || FormatVersionCounts(counts) == "" {
		t.Errorf("counts %+v, want two versions of one member each, with a non-empty format", counts)
	}
	if got := b.Counts(1, func(i int) bool { return i != 0 }); len(got) != 1 {
		t.Errorf("a member out of service is counted: %+v", got)
	}
	a.SetLocal(VersionID{5 << 40, 2 << 40})
	if body := a.Append(now+resendInterval, 1, 50, nil); len(body) == 0 {
		t.Error("the changed version was not sent")
	} else if b.Receive(0, body); b.Counts(1, func(int) bool { return true })[0].ID == (VersionID{}) {
		t.Error("the most frequent version is unknown")
	}
}
