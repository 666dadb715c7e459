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

func startedLongAgo(int) time.Duration { return epoch - time.Hour }

// newTable returns the table of a gateway that uses a subset of the engines.
func newTable(number, gateways int) *Table {
	t := New(number, gateways, zones, number%len(zones), startedLongAgo)
	t.SetUsesSubset(true)
	return t
}

// What a gateway reports of itself overrides what others report of it, also that it uses every engine. What others report
// fills unknown entries.
func TestFirstHandReportOverrides(t *testing.T) {
	receiver := New(9, 10, zones, 0, startedLongAgo)
	reporter, third := newTable(1, 10), newTable(2, 10)
	reporter.entries[2] = entry{zone: 0} // wrong
	if !receiver.Receive(1, reporter.Append(epoch, 9, 200, nil)) || receiver.Zone(1) != 1 || receiver.Zone(2) != 0 || receiver.Zone(3) != -1 {
		t.Fatalf("zones %d, %d, %d", receiver.Zone(1), receiver.Zone(2), receiver.Zone(3))
	}
	receiver.Receive(2, third.Append(epoch, 9, 200, nil))
	receiver.Receive(1, reporter.Append(epoch+sendInterval, 9, 200, nil))
	if receiver.Zone(2) != 2 {
		t.Errorf("zone %d of the gateway that reported 2", receiver.Zone(2))
	}
	third.SetUsesSubset(false)
	receiver.Receive(2, third.Append(epoch+2*sendInterval, 9, 200, nil))
	receiver.Receive(1, reporter.Append(epoch+2*sendInterval, 9, 200, nil))
	if receiver.Zone(2) != -1 {
		t.Errorf("zone %d of a gateway that uses every engine", receiver.Zone(2))
	}
}

// A table that takes several messages arrives complete.
func TestTableOfSeveralMessages(t *testing.T) {
	const gateways = 1000
	sender, receiver := newTable(1, gateways), newTable(2, gateways)
	for i := range sender.entries {
		sender.entries[i] = entry{zone: i % len(zones)}
	}
	for message := range 4 {
		if !receiver.Receive(1, sender.Append(epoch+time.Duration(message)*sendInterval, 2, 200, nil)) {
			t.Fatalf("message %d is dropped", message)
		}
	}
	for i := range gateways {
		if zone := receiver.Zone(i); zone != i%len(zones) {
			t.Fatalf("gateway %d: zone %d", i, zone)
		}
	}
}

// A gateway that never used a subset sends no messages. One that does sends them at intervals, and in every datagram to a
// member that has just started.
func TestSendIntervals(t *testing.T) {
	started := map[int]time.Duration{5: epoch - time.Second}
	table := New(1, 10, zones, 1, func(member int) time.Duration { return started[member] })
	sends := func(now time.Duration, to int) bool { return len(table.Append(now, to, 200, nil)) > 0 }
	if sends(epoch, 2) || sends(epoch, 5) {
		t.Error("a message without a subset")
	}
	table.SetUsesSubset(true)
	if !sends(epoch, 2) || sends(epoch+sendInterval/2, 3) || !sends(epoch+sendInterval, 3) {
		t.Error("messages not at the send interval")
	}
	for range 2 {
		if !sends(epoch+sendInterval, 5) {
			t.Error("no message to a member that has just started")
		}
	}
}

// A message with another list of zones, or with zones or gateways out of range, changes nothing; nor do random bytes.
func TestInvalidMessagesAreDropped(t *testing.T) {
	for name, change := range map[string]func(*zonepb.Zones){
		"other list of zones":          func(m *zonepb.Zones) { m.List++ },
		"own zone out of range":        func(m *zonepb.Zones) { m.Own = 5 },
		"others' zone out of range":    func(m *zonepb.Zones) { m.Others[0] = 7 },
		"first gateway out of range":   func(m *zonepb.Zones) { m.First = 4 },
		"first gateway at the far end": func(m *zonepb.Zones) { m.First = 1<<32 - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(0, 4)
			// The first zone of gateway 0, and the second of gateway 1.
			message := &zonepb.Zones{List: zoneListHash(zones), Own: 1, Others: []byte{0b010001}}
			change(message)
			body, err := proto.Marshal(message)
			if err != nil || table.Receive(1, body) || table.Zone(1) != -1 {
				t.Errorf("accepted, or error %v", err)
			}
		})
	}
	table := newTable(0, 4)
	rapid.Check(t, func(rt *rapid.T) {
		table.Receive(rapid.IntRange(-1, 5).Draw(rt, "member"), rapid.SliceOfN(rapid.Byte(), 0, 250).Draw(rt, "noise"))
	})
}

// Codes of every width are read as they were written.
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

// A message never exceeds the room that it is offered.
func TestAppendRespectsRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gateways := rapid.IntRange(1, 4096).Draw(rt, "gateways")
		table := newTable(gateways-1, gateways)
		table.nextEntry = rapid.IntRange(0, gateways-1).Draw(rt, "next")
		room := rapid.IntRange(0, 240).Draw(rt, "room")
		if body := table.Append(epoch, 0, room, nil); len(body) > room {
			rt.Fatalf("%d bytes, room for %d", len(body), room)
		}
	})
}
