package loadreport

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"frostpier/internal/control/loadreport/loadreportpb"
	_ "frostpier/internal/testutil/fixedseed"
)

const epoch = 1_800_000_000 * time.Second

func listed(n int) *Digest {
	d := New()
	var numbers []uint64
	for i := range n {
		numbers = append(numbers, uint64(i+1)<<32|uint64(i+1))
	}
	d.SetEngines(numbers)
	return d
}

func number(i int) uint64 { return uint64(i+1)<<32 | uint64(i+1) }

func (d *Digest) state(now time.Duration) string {
	out := ""
	for _, h := range d.order {
		if w, ok := d.Latest(now, h.number); ok {
			out += fmt.Sprint(w, ";")
		}
	}
	return out
}

// Reports in any order, any number of times, over any paths end in the same state; passing on what came changes
// nothing at who sent it.
func TestMergingCommutesAndIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bodies [][]byte
		for range rapid.IntRange(1, 6).Draw(t, "writers") {
			d := listed(8)
			now := epoch
			for range rapid.IntRange(1, 12).Draw(t, "notes") {
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
				d.Record(now, number(rapid.IntRange(0, 7).Draw(t, "engine")), rapid.IntRange(0, 90).Draw(t, "load"))
			}
			bodies = append(bodies, append([]byte(nil), d.Append(now, 0, 200, nil)...))
		}
		now := epoch + 4500*time.Millisecond // no report is near its expiry
		a, b := listed(8), listed(8)
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
		if news := a.Receive(now, b.Append(now, 0, 200, nil)); len(news) > 0 {
			t.Fatalf("its own reports came back as new: %v", news)
		}
	})
}

// A report expires in time, however often it is passed on and however late: it never becomes younger.
func TestLoadReportsExpire(t *testing.T) {
	a, b := listed(2), listed(2)
	a.Record(epoch, number(0), 7)
	now := epoch
	for range 200 {
		body := append([]byte(nil), a.Append(now, 0, 200, nil)...)
		now += 130 * time.Millisecond // late: a reader that paused
		b.Receive(now, body)
		a, b = b, a
	}
	for _, d := range []*Digest{a, b} {
		if w, ok := d.Latest(now, number(0)); ok {
			t.Errorf("after %v still known: %v", now-epoch, w)
		}
		if w, ok := d.Latest(epoch+4*time.Second, number(0)); ok && w.At != epoch {
			t.Errorf("reported at %v, now %v", epoch, w.At)
		}
	}
}

// Nothing is heard of an engine that the own list does not name, nor told of one that it names no more; clocks that
// are off and absurd reports are counted and change nothing.
func TestWhatIsNotBelieved(t *testing.T) {
	d := listed(2)
	write := func(change func(m *loadreportpb.Digest)) []byte {
		m := &loadreportpb.Digest{Engine: []byte{1, 0, 0, 0}, Load: []uint32{5}, Age: []uint32{1}, Base: uint64(epoch / ageUnit)}
		change(m)
		b, _ := proto.Marshal(m)
		return b
	}
	for name, c := range map[string]struct {
		change func(m *loadreportpb.Digest)
		count  func() uint64
	}{
		"unlisted": {func(m *loadreportpb.Digest) { m.Engine[0] = 9 }, func() uint64 { return d.Counts().Unlisted }},
		"late":     {func(m *loadreportpb.Digest) { m.Age[0] = 200 }, func() uint64 { return d.Counts().Expired }},
		"ahead":    {func(m *loadreportpb.Digest) { m.Base += 40 }, func() uint64 { return d.Counts().Ahead }},
		"absurd":   {func(m *loadreportpb.Digest) { m.Load[0] = 1 << 30 }, func() uint64 { return d.Counts().Malformed }},
		"lengths":  {func(m *loadreportpb.Digest) { m.Age = nil }, func() uint64 { return d.Counts().Malformed }},
		"no time":  {func(m *loadreportpb.Digest) { m.Base = 1 << 60 }, func() uint64 { return d.Counts().Malformed }},
	} {
		before := c.count()
		if news := d.Receive(epoch, write(c.change)); len(news) > 0 || c.count() != before+1 {
			t.Errorf("%s: news %v, counts %+v", name, news, d.Counts())
		}
	}
	d.Record(epoch, number(1), 3)
	d.SetEngines([]uint64{number(0)})
	if body := d.Append(epoch, 0, 200, nil); len(body) > 0 {
		t.Errorf("published an engine that is listed no more: %x", body)
	}
}

// A message keeps to the room it is given, whatever that is.
func TestAppendKeepsToItsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := listed(80)
		for i := range 80 {
			d.Record(epoch+time.Duration(i)*7*time.Millisecond, number(i), rapid.IntRange(0, maxLoad-1).Draw(t, "load"))
		}
		room := rapid.IntRange(0, 240).Draw(t, "room")
		now := epoch + time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms"))*time.Millisecond
		if b := d.Append(now, 0, room, nil); len(b) > room {
			t.Fatalf("%d bytes, room for %d", len(b), room)
		}
	})
}

func TestNoiseIsNoPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed(4).Receive(epoch, rapid.SliceOfN(rapid.Byte(), 0, 250).Draw(t, "noise"))
	})
}

// Two engines whose numbers agree in the half that goes on the wire are not told of at all.
func TestTwinsAreLeftOut(t *testing.T) {
	d := New()
	d.SetEngines([]uint64{1<<32 | 5, 2<<32 | 5, 7})
	d.Record(epoch, 1<<32|5, 3)
	if _, ok := d.Latest(epoch, 1<<32|5); ok {
		t.Error("a twin is known")
	}
	d.Record(epoch, 7, 3)
	if _, ok := d.Latest(epoch, 7); !ok {
		t.Error("the other engine is not")
	}
}

// How fresh a gateway's knowledge is: 100 gateways, each with 6 reports a second of 40 engines drawn by chance, and two
// datagrams a second to others drawn by chance. Alone a gateway knows of 21 engines something under 5 s old.
func TestKnowledgeSpreads(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	const gateways, engines = 100, 40
	var all, alone []*Digest
	for range gateways {
		all, alone = append(all, listed(engines)), append(alone, listed(engines))
	}
	now := epoch
	for ; now < epoch+10*time.Second; now += 10 * time.Millisecond {
		for i, d := range all {
			if rnd.IntN(100) < 6 {
				e := number(rnd.IntN(engines))
				d.Record(now, e, 5)
				alone[i].Record(now, e, 5)
			}
			if rnd.IntN(100) < 2 {
				all[rnd.IntN(gateways)].Receive(now, d.Append(now, 0, 200, nil))
			}
		}
	}
	measure := func(list []*Digest) (known float64, age time.Duration) {
		n := 0
		for _, d := range list {
			for i := range engines {
				if w, ok := d.Latest(now, number(i)); ok {
					n++
					age += now - w.At
				}
			}
		}
		return float64(n) / gateways, age / time.Duration(n)
	}
	known, age := measure(all)
	fewer, older := measure(alone)
	t.Logf("together %.1f of %d engines known, %v old; alone %.1f, %v", known, engines, age, fewer, older)
	if known < 39 || age > 1500*time.Millisecond || fewer > 30 {
		t.Errorf("together %.1f engines known, %v old; alone %.1f, %v", known, age, fewer, older)
	}
}

// The first version's message, as it wrote it: gateways of later programs read it while both are in service.
const firstDigest = "0a080300000001000000120209041a020a142094d0918e8601"

func TestFirstDigestIsRead(t *testing.T) {
	body, err := hex.DecodeString(firstDigest)
	if err != nil {
		t.Fatal(err)
	}
	d := listed(4)
	reports := d.Receive(epoch+time.Second, body)
	if len(reports) != 2 || reports[0] != (LoadReport{number(2), 9, epoch + 500*time.Millisecond}) || reports[1] != (LoadReport{number(0), 4, epoch}) {
		t.Errorf("%+v", reports)
	}
}
