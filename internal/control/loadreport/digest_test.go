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

// newDigest returns a Digest with n listed engines, the numbers of which engineNumber returns.
func newDigest(n int) *Digest {
	d := New()
	var engines []uint64
	for i := range n {
		engines = append(engines, engineNumber(i))
	}
	d.SetEngines(engines)
	return d
}

// engineNumber returns the number of the i-th listed engine.
func engineNumber(i int) uint64 { return uint64(i+1)<<32 | uint64(i+1) }

// state returns all reports that have not expired.
func (d *Digest) state(now time.Duration) string {
	out := ""
	for _, e := range d.entries {
		if report, ok := d.Latest(now, e.engine); ok {
			out += fmt.Sprint(report, ";")
		}
	}
	return out
}

// Reports result in the same state in whatever order, however often and over whichever gateways they arrive. A gateway's own
// reports change nothing when they come back.
func TestMergingCommutesAndIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bodies [][]byte
		for range rapid.IntRange(1, 6).Draw(t, "writers") {
			d := newDigest(8)
			now := epoch
			for range rapid.IntRange(1, 12).Draw(t, "notes") {
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
				d.Record(now, engineNumber(rapid.IntRange(0, 7).Draw(t, "engine")), rapid.IntRange(0, 90).Draw(t, "load"))
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
			b.Receive(now+time.Duration(rapid.IntRange(0, 40).Draw(t, "late"))*time.Millisecond, body)
		}
		if x, y := a.state(now), b.state(now); x != y {
			t.Fatalf("%s\n%s", x, y)
		}
		if applied := a.Receive(now, b.Append(now, 0, 200, nil)); len(applied) > 0 {
			t.Fatalf("own reports were applied: %v", applied)
		}
	})
}

// A report expires however often and however late it is forwarded: it never becomes younger.
func TestLoadReportsExpire(t *testing.T) {
	a, b := newDigest(2), newDigest(2)
	a.Record(epoch, engineNumber(0), 7)
	now := epoch
	for range 200 {
		body := append([]byte(nil), a.Append(now, 0, 200, nil)...)
		now += 130 * time.Millisecond // late, as after a pause of the receiver
		b.Receive(now, body)
		a, b = b, a
	}
	for _, d := range []*Digest{a, b} {
		if report, ok := d.Latest(now, engineNumber(0)); ok {
			t.Errorf("not expired after %v: %v", now-epoch, report)
		}
		if report, ok := d.Latest(epoch+4*time.Second, engineNumber(0)); ok && report.ReportedAt != epoch {
			t.Errorf("reported at %v, now %v", epoch, report.ReportedAt)
		}
	}
}

// A report that is malformed, out of range, out of time or on an engine that is not listed is counted and changes nothing.
func TestInvalidReportsAreDropped(t *testing.T) {
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
		"from the future":   {func(m *loadreportpb.Digest) { m.Base += 40 }, func(c Counts) uint64 { return c.FromFuture }},
		"load out of range": {func(m *loadreportpb.Digest) { m.Load[0] = 1 << 30 }, malformed},
		"unequal lengths":   {func(m *loadreportpb.Digest) { m.Age = nil }, malformed},
		"base out of range": {func(m *loadreportpb.Digest) { m.Base = 1 << 60 }, malformed},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDigest(2)
			applied := d.Receive(epoch, message(c.change))
			if len(applied) > 0 || c.count(d.Counts()) != 1 || d.Counts().Applied != 0 {
				t.Errorf("applied %v, counts %+v", applied, d.Counts())
			}
		})
	}
}

// A report on an engine that is no longer listed is not sent.
func TestUnlistedEnginesAreNotSent(t *testing.T) {
	d := newDigest(2)
	d.Record(epoch, engineNumber(1), 3)
	d.SetEngines([]uint64{engineNumber(0)})
	if body := d.Append(epoch, 0, 200, nil); len(body) > 0 {
		t.Errorf("sent %x", body)
	}
}

// A message never exceeds the room that it is offered.
func TestAppendRespectsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDigest(80)
		for i := range 80 {
			d.Record(epoch+time.Duration(i)*7*time.Millisecond, engineNumber(i), rapid.IntRange(0, maxLoad-1).Draw(t, "load"))
		}
		room := rapid.IntRange(0, 240).Draw(t, "room")
		now := epoch + time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms"))*time.Millisecond
		if b := d.Append(now, 0, room, nil); len(b) > room {
			t.Fatalf("%d bytes, room for %d", len(b), room)
		}
	})
}

// Random bytes cause no panic.
func TestReceiveRandomBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newDigest(4).Receive(epoch, rapid.SliceOfN(rapid.Byte(), 0, 250).Draw(t, "noise"))
	})
}

// Engines whose wire numbers collide have no reports; others are not affected.
func TestCollidingEnginesAreLeftOut(t *testing.T) {
	d := New()
	d.SetEngines([]uint64{1<<32 | 5, 2<<32 | 5, 7})
	d.Record(epoch, 1<<32|5, 3)
	if _, ok := d.Latest(epoch, 1<<32|5); ok {
		t.Error("a colliding engine has a report")
	}
	d.Record(epoch, 7, 3)
	if _, ok := d.Latest(epoch, 7); !ok {
		t.Error("the other engine has none")
	}
}

// How many reports each gateway has, and how old: 100 gateways, each with 6 reports a second of 40 random engines, and two
// datagrams a second to random others. Without datagrams a gateway has unexpired reports on 21 engines.
func TestKnowledgeSpreads(t *testing.T) {
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
				engine := engineNumber(rnd.IntN(engines))
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
				if report, ok := d.Latest(now, engineNumber(i)); ok {
					reports++
					age += now - report.ReportedAt
				}
			}
		}
		return float64(reports) / gateways, age / time.Duration(reports)
	}
	known, age := measure(sharing)
	isolatedKnown, isolatedAge := measure(isolated)
	t.Logf("sharing: %.1f of %d engines known, %v old; isolated: %.1f, %v", known, engines, age, isolatedKnown, isolatedAge)
	if known < 39 || age > 1500*time.Millisecond || isolatedKnown > 30 {
		t.Errorf("sharing: %.1f engines known, %v old; isolated: %.1f, %v", known, age, isolatedKnown, isolatedAge)
	}
}

// firstDigest is a message of the first version: every later version must decode it.
const firstDigest = "0a080300000001000000120209041a020a142094d0918e8601"

func TestFirstVersionIsDecoded(t *testing.T) {
	body, err := hex.DecodeString(firstDigest)
	if err != nil {
		t.Fatal(err)
	}
	d := newDigest(4)
	reports := d.Receive(epoch+time.Second, body)
	want := []Report{{engineNumber(2), 9, epoch + 500*time.Millisecond}, {engineNumber(0), 4, epoch}}
	if !slices.Equal(reports, want) {
		t.Errorf("%+v, want %+v", reports, want)
	}
}
