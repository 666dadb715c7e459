package zonetable

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"frostpier/internal/control/zonetable/zonepb"
	_ "frostpier/internal/testutil/fixedseed"
)

const epoch = 1_800_000_000 * time.Second

var zones = []string{"east", "west", "north", "south"}

func longAgo(int) time.Duration { return epoch - time.Hour }

// newTable makes the table of a gateway that works with a part of the engines.
func newTable(number, gateways int) *Table {
	t := New(number, gateways, zones, number%len(zones), longAgo)
	t.SetOn(true)
	return t
}

// A gateway's own word holds over others' words, also when it says that it works with every engine; what others say fills
// what is not known.
func TestOwnWordHolds(t *testing.T) {
	heard := New(9, 10, zones, 0, longAgo)
	teller, third := newTable(1, 10), newTable(2, 10)
	teller.entries[2] = entry{zone: 0} // wrong
	if !heard.Receive(1, teller.Append(epoch, 9, 200, nil)) || heard.Zone(1) != 1 || heard.Zone(2) != 0 || heard.Zone(3) != -1 {
		t.Fatalf("zones %d, %d, %d", heard.Zone(1), heard.Zone(2), heard.Zone(3))
	}
	heard.Receive(2, third.Append(epoch, 9, 200, nil))
	heard.Receive(1, teller.Append(epoch+sendInterval, 9, 200, nil))
	if heard.Zone(2) != 2 {
		t.Errorf("zone %d of the gateway that told 2", heard.Zone(2))
	}
	third.SetOn(false)
	heard.Receive(2, third.Append(epoch+2*sendInterval, 9, 200, nil))
	heard.Receive(1, teller.Append(epoch+2*sendInterval, 9, 200, nil))
	if heard.Zone(2) != -1 {
		t.Errorf("zone %d of a gateway that works with every engine", heard.Zone(2))
	}
}

// Zones are received as they were sent where a table takes several messages.
func TestTableOfSeveralMessages(t *testing.T) {
	const gateways = 1000
	sender, receiver := newTable(1, gateways), newTable(2, gateways)
	for i := range sender.entries {
		sender.entries[i] = entry{zone: i % len(zones)}
	}
	for message := range 4 {
		if !receiver.Receive(1, sender.Append(epoch+time.Duration(message)*sendInterval, 2, 200, nil)) {
			t.Fatalf("message %d is not taken", message)
		}
	}
	for i := range gateways {
		if zone := receiver.Zone(i); zone != i%len(zones) {
			t.Fatalf("gateway %d: zone %d", i, zone)
		}
	}
}

// A gateway that never worked with a part of the engines costs nothing; one that does tells seldom, but all to a member that
// has just started.
func TestWhenItIsTold(t *testing.T) {
	started := map[int]time.Duration{5: epoch - time.Second}
	table := New(1, 10, zones, 1, func(member int) time.Duration { return started[member] })
	told := func(now time.Duration, to int) bool { return len(table.Append(now, to, 200, nil)) > 0 }
	if told(epoch, 2) || told(epoch, 5) {
		t.Error("told without a subset")
	}
	table.SetOn(true)
	if !told(epoch, 2) || told(epoch+sendInterval/2, 3) || !told(epoch+sendInterval, 3) {
		t.Error("not told at its times")
	}
	for range 2 {
		if !told(epoch+sendInterval, 5) {
			t.Error("a member that has just started is not told with every datagram")
		}
	}
}

// What makes no sense changes nothing: noise, another list of zones, zones and gateways that there are not.
func TestWhatIsNotBelieved(t *testing.T) {
	table := newTable(0, 4)
	for name, change := range map[string]func(*zonepb.Zones){
		"another list": func(m *zonepb.Zones) { m.List++ },
		"no zone":      func(m *zonepb.Zones) { m.Own = 5 },
		"others' zone": func(m *zonepb.Zones) { m.Others[0] = 7 },
		"no gateway":   func(m *zonepb.Zones) { m.First = 4 },
		"far gateway":  func(m *zonepb.Zones) { m.First = 1<<32 - 1 },
	} {
		message := &zonepb.Zones{List: hashOf(zones), Own: 1, Others: []byte{0b010001}} // of gateway 0 the first zone, of 1 the second
		change(message)
		body, err := proto.Marshal(message)
		if err != nil || table.Receive(1, body) || table.Zone(1) != -1 {
			t.Errorf("%s: believed", name)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		table.Receive(rapid.IntRange(-1, 5).Draw(rt, "member"), rapid.SliceOfN(rapid.Byte(), 0, 250).Draw(rt, "noise"))
	})
}

// Places of every width come back as they were written.
func TestBits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		width := rapid.IntRange(1, 8).Draw(rt, "width")
		values := rapid.SliceOfN(rapid.Uint32Range(0, 1<<width-1), 1, 40).Draw(rt, "values")
		bytes := make([]byte, (len(values)*width+7)/8)
		for i, value := range values {
			setBits(bytes, i*width, width, value)
		}
		for i, value := range values {
			if got := getBits(bytes, i*width, width); got != value {
				rt.Fatalf("value %d is %d, not %d", i, got, value)
			}
		}
	})
}

func TestMessageKeepsToItsRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gateways := rapid.IntRange(1, 4096).Draw(rt, "gateways")
		table := newTable(gateways-1, gateways)
		table.next = rapid.IntRange(0, gateways-1).Draw(rt, "next")
		room := rapid.IntRange(0, 240).Draw(rt, "room")
		if body := table.Append(epoch, 0, room, nil); len(body) > room {
			rt.Fatalf("%d bytes, room for %d", len(body), room)
		}
	})
}
