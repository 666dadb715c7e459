package loadreport

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"frostpier/internal/control/loadreport/loadreportpb"
	_ "frostpier/internal/testutil/fixedseed"
)

const epoch = 1_800_000_000 * time.Second

// newDigest returns a Digest with n listed engines. Their IDs are engineID(0) to engineID(n-1).
func newDigest(n int) *Digest {
	d := New()
	var engines []uint64
	for i := range n {
		engines = append(engines, engineID(i))
	}
	d.SetEngines(engines)
	return d
}

// engineID returns the ID of the i-th listed engine.
func engineID(i int) uint64 { return uint64(i+1)<<32 | uint64(i+1) }

// state formats all unexpired reports.
func (d *Digest) state(now time.Duration) string {
	out := ""
	for _, e := range d.entries {
		if report, ok := d.Latest(now, e.engine); ok {
			out += fmt.Sprint(report, ";")
		}
	}
	return out
}

// Checks that receiving the same messages in any order, more than once and with any delay results in the same reports, and
// that a gateway applies no report that it already knows when another gateway returns it.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bodies [][]byte
		for range rapid.IntRange(1, 6).Draw(t, "senders") {
			d := newDigest(8)
			now := epoch
			for range rapid.IntRange(1, 12).Draw(t, "reports") {
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
				d.Record(now, engineID(rapid.IntRange(0, 7).Draw(t, "engine")), rapid.IntRange(0, 90).Draw(t, "load"))
			}
			bodies = append(bodies, append([]byte(nil), d.Append(now, 0, 200, nil)...))
		}
		now := epoch + 4500*time.Millisecond // no report is near its expiry
		a, b := newDigest(8), newDigest(8)
		for _, body := range bodies {
			a.Receive(now, body)
		}
		order := rapid.Permutation(append(bodies, bodies...)).Draw(t, "order")
		for _, body := range order {
			b.Receive(now+time.Duration(rapid.IntRange(0, 40).Draw(t, "delay ms"))*time.Millisecond, body)
		}
		if x, y := a.state(now), b.state(now); x != y {
			t.Fatalf("reports in the original order: %s\nreports in the drawn order: %s", x, y)
		}
		if applied := a.Receive(now, b.Append(now, 0, 200, nil)); len(applied) > 0 {
			t.Fatalf("known reports were applied again: %v", applied)
		}
	})
}

// Checks that forwarding a report does not change its time: a report that two gateways keep sending to each other, and that
// each receives late, still expires.
func TestForwardedReportsExpire(t *testing.T) {
	a, b := newDigest(2), newDigest(2)
	a.Record(epoch, engineID(0), 7)
	now := epoch
	for range 200 {
		body := append([]byte(nil), a.Append(now, 0, 200, nil)...)
		now += 130 * time.Millisecond // delay in the receiver, as if its process was paused
		b.Receive(now, body)
		a, b = b, a
	}
	for _, d := range []*Digest{a, b} {
		if report, ok := d.Latest(now, engineID(0)); ok {
			t.Errorf("report has not expired after %v: %v", now-epoch, report)
		}
		if report, ok := d.Latest(epoch+4*time.Second, engineID(0)); ok && report.ReportedAt != epoch {
			t.Errorf("time of the report is %v, want %v", report.ReportedAt, epoch)
		}
	}
}

// Checks that malformed messages, and reports that have a load out of range, have expired, are from the future or are on
// unlisted engines, are counted and not applied.
func TestReceiveDropsInvalidReports(t *testing.T) {
	message := func(change func(m *loadreportpb.Digest)) []byte {
		m := &loadreportpb.Digest{Engine: []byte{1, 0, 0, 0}, Load: []uint32{5}, Age: []uint32{1}, Base: uint64(epoch / ageUnit)}
		change(m)
		b, _ := proto.Marshal(m)
		return b
	}
	malformed := func(c Counts) uint64 { return c.Malformed }
	for name, c := range map[string]struct {
		change func(m *loadreportpb.Digest)
		count  func(Counts) uint64
	}{
		"not listed":        {func(m *loadreportpb.Digest) { m.Engine[0] = 9 }, func(c Counts) uint64 { return c.Unlisted }},
		"expired":           {func(m *loadreportpb.Digest) { m.Age[0] = 200 }, func(c Counts) uint64 { return c.Expired }},
		"from the future":   {func(m *loadreportpb.Digest) { m.Base += 40 }, func(c Counts) uint64 { return c.Ahead }},
		"load out of range": {func(m *loadreportpb.Digest) { m.Load[0] = 1 << 30 }, malformed},
		"unequal lengths":   {func(m *loadreportpb.Digest) { m.Age = nil }, malformed},
		"base out of range": {func(m *loadreportpb.Digest) { m.Base = 1 << 60 }, malformed},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDigest(2)
			applied := d.Receive(epoch, message(c.change))
			if len(applied) > 0 || c.count(d.Counts()) != 1 || d.Counts().Applied != 0 {
				t.Errorf("applied %v, want nothing; counts %+v, want one in the counter of the case", applied, d.Counts())
			}
		})
	}
}

// Checks that Append does not send the report on an engine that is no longer listed.
func TestAppendSkipsUnlistedEngines(t *testing.T) {
	d := newDigest(2)
	d.Record(epoch, engineID(1), 3)
	d.SetEngines([]uint64{engineID(0)})
	if body := d.Append(epoch, 0, 200, nil); len(body) > 0 {
		t.Errorf("sent %x, want nothing", body)
	}
}

// Checks that Append never appends more than maxBytes bytes.
func TestAppendRespectsMaxBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDigest(80)
		for i := range 80 {
			d.Record(epoch+time.Duration(i)*7*time.Millisecond, engineID(i), rapid.IntRange(0, maxLoad-1).Draw(t, "load"))
		}
		maxBytes := rapid.IntRange(0, 240).Draw(t, "max bytes")
		now := epoch + time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms"))*time.Millisecond
		if b := d.Append(now, 0, maxBytes, nil); len(b) > maxBytes {
			t.Fatalf("appended %d bytes, want at most %d", len(b), maxBytes)
		}
	})
}

// Checks that random bytes do not cause a panic.
func TestReceiveRandomBytesDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newDigest(4).Receive(epoch, rapid.SliceOfN(rapid.Byte(), 0, 250).Draw(t, "noise"))
	})
}

// Checks that engines with equal short IDs have no reports, and that other engines are not affected.
func TestEnginesWithCollidingShortIDsAreIgnored(t *testing.T) {
	d := New()
	d.SetEngines([]uint64{1<<32 | 5, 2<<32 | 5, 7})
	d.Record(epoch, 1<<32|5, 3)
	if _, ok := d.Latest(epoch, 1<<32|5); ok {
		t.Error("an engine with a colliding short ID has a report")
	}
	d.Record(epoch, 7, 3)
	if _, ok := d.Latest(epoch, 7); !ok {
		t.Error("the engine with a unique short ID has no report")
	}
}

// Checks the number and the mean age of the reports that a gateway has, in a fleet of 100 gateways and 40 engines. Each gateway
// receives 6 reports per second from random engines, and sends 2 datagrams per second to random gateways. For comparison, a
// gateway that receives no datagrams has unexpired reports on about 21 engines.
func TestReportDissemination(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	const gateways, engines = 100, 40
	var sharing, isolated []*Digest
	for range gateways {
		sharing = append(sharing, newDigest(engines))
		isolated = append(isolated, newDigest(engines))
	}
	now := epoch
	for ; now < epoch+10*time.Second; now += 10 * time.Millisecond {
		for i, d := range sharing {
			if rnd.IntN(100) < 6 {
				engine := engineID(rnd.IntN(engines))
				d.Record(now, engine, 5)
				isolated[i].Record(now, engine, 5)
			}
			if rnd.IntN(100) < 2 {
				sharing[rnd.IntN(gateways)].Receive(now, d.Append(now, 0, 200, nil))
			}
		}
	}
	measure := func(digests []*Digest) (known float64, age time.Duration) {
		reports := 0
		for _, d := range digests {
			for i := range engines {
				if report, ok := d.Latest(now, engineID(i)); ok {
					reports++
					age += now - report.ReportedAt
				}
			}
		}
		return float64(reports) / gateways, age / time.Duration(reports)
	}
	known, age := measure(sharing)
	isolatedKnown, isolatedAge := measure(isolated)
	t.Logf("sharing: reports on %.1f of %d engines, mean age %v; isolated: reports on %.1f, mean age %v", known, engines, age, isolatedKnown, isolatedAge)
	if known < 39 || age > 1500*time.Millisecond || isolatedKnown > 30 {
		t.Errorf("sharing: reports on %.1f engines, want at least 39; mean age %v, want at most 1.5s; isolated: reports on %.1f, want at most 30; mean age %v",
			known, age, isolatedKnown, isolatedAge)
	}
}

// version1Message is a message of the first protocol version, which every later version must decode.
const version1Message = "0a080300000001000000120209041a020a142094d0918e8601"

// Checks that a recorded message of the first protocol version is decoded.
func TestVersion1MessageIsDecoded(t *testing.T) {
	body, err := hex.DecodeString(version1Message)
	if err != nil {
		t.Fatal(err)
	}
	d := newDigest(4)
	reports := d.Receive(epoch+time.Second, body)
	want := []Report{{engineID(2), 9, epoch + 500*time.Millisecond}, {engineID(0), 4, epoch}}
	if !slices.Equal(reports, want) {
		t.Errorf("decoded %+v, want %+v", reports, want)
	}
}
