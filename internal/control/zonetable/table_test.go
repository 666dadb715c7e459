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

func startedAnHourAgo(int) time.Duration { return epoch - time.Hour }

// newTable returns the table of a gateway that uses a subset of the engines.
func newTable(number, gateways int) *Table {
	t := New(number, gateways, zones, number%len(zones), startedAnHourAgo)
	t.SetUsesSubset(true)
	return t
}

// Checks that the zone a gateway reports for itself overrides what others report about it, even if it reports that it uses
// every engine, and that reports from others fill unknown entries.
func TestSelfReportedZoneTakesPrecedence(t *testing.T) {
	receiver := New(9, 10, zones, 0, startedAnHourAgo)
	reporter, third := newTable(1, 10), newTable(2, 10)
	reporter.entries[2] = entry{zone: 0} // wrong: gateway 2 is in zone 2
	if !receiver.Receive(1, reporter.Append(epoch, 9, 200, nil)) || receiver.Zone(1) != 1 || receiver.Zone(2) != 0 || receiver.Zone(3) != -1 {
		t.Fatalf("zones of gateways 1 to 3 are %d, %d, %d, want 1, 0, -1", receiver.Zone(1), receiver.Zone(2), receiver.Zone(3))
	}
	receiver.Receive(2, third.Append(epoch, 9, 200, nil))
	receiver.Receive(1, reporter.Append(epoch+sendInterval, 9, 200, nil))
	if receiver.Zone(2) != 2 {
		t.Errorf("zone of gateway 2 is %d after it reported zone 2 for itself, want 2", receiver.Zone(2))
	}
	third.SetUsesSubset(false)
	receiver.Receive(2, third.Append(epoch+2*sendInterval, 9, 200, nil))
	receiver.Receive(1, reporter.Append(epoch+2*sendInterval, 9, 200, nil))
	if receiver.Zone(2) != -1 {
		t.Errorf("zone of a gateway that uses every engine is %d, want -1", receiver.Zone(2))
	}
}

// Checks that a receiver gets the complete table if it is larger than a message.
func TestTableIsSentInSeveralMessages(t *testing.T) {
	const gateways = 1000
	sender, receiver := newTable(1, gateways), newTable(2, gateways)
	for i := range sender.entries {
		sender.entries[i] = entry{zone: i % len(zones)}
	}
	for message := range 4 {
		if !receiver.Receive(1, sender.Append(epoch+time.Duration(message)*sendInterval, 2, 200, nil)) {
			t.Fatalf("message %d was dropped", message)
		}
	}
	for i := range gateways {
		if zone := receiver.Zone(i); zone != i%len(zones) {
			t.Fatalf("zone of gateway %d is %d, want %d", i, zone, i%len(zones))
		}
	}
}

// Checks that a gateway that has never used a subset sends no messages, and that one that uses a subset sends a message per
// sendInterval, and one in every datagram to a member that has just started.
func TestSendIntervals(t *testing.T) {
	started := map[int]time.Duration{5: epoch - time.Second}
	table := New(1, 10, zones, 1, func(member int) time.Duration { return started[member] })
	sends := func(now time.Duration, to int) bool { return len(table.Append(now, to, 200, nil)) > 0 }
	if sends(epoch, 2) || sends(epoch, 5) {
		t.Error("sent a message without using a subset")
	}
	table.SetUsesSubset(true)
	if !sends(epoch, 2) || sends(epoch+sendInterval/2, 3) || !sends(epoch+sendInterval, 3) {
		t.Error("did not send exactly one message per send interval")
	}
	for range 2 {
		if !sends(epoch+sendInterval, 5) {
			t.Error("sent no message to a member that has just started")
		}
	}
}

// Checks that Receive drops messages with a different list of zones, or with zones or gateways out of range, and that random
// bytes do not cause a panic.
func TestReceiveDropsInvalidMessages(t *testing.T) {
	for name, change := range map[string]func(*zonepb.Zones){
		"other list of zones":        func(m *zonepb.Zones) { m.List++ },
		"own zone out of range":      func(m *zonepb.Zones) { m.Own = 5 },
		"others' zone out of range":  func(m *zonepb.Zones) { m.Others[0] = 7 },
		"first gateway out of range": func(m *zonepb.Zones) { m.First = 4 },
		"first gateway at maximum":   func(m *zonepb.Zones) { m.First = 1<<32 - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(0, 4)
			// Gateway 0 is in zone 0, gateway 1 in zone 1; codes are 3 bits wide.
			message := &zonepb.Zones{List: zoneListHash(zones), Own: 1, Others: []byte{0b010001}}
			change(message)
			body, err := proto.Marshal(message)
			if err != nil || table.Receive(1, body) || table.Zone(1) != -1 {
				t.Errorf("the message was accepted, or could not be encoded: error %v", err)
			}
		})
	}
	table := newTable(0, 4)
	rapid.Check(t, func(rt *rapid.T) {
		table.Receive(rapid.IntRange(-1, 5).Draw(rt, "member"), rapid.SliceOfN(rapid.Byte(), 0, 250).Draw(rt, "noise"))
	})
}

// Checks that getBits returns the values that setBits wrote, for every width.
func TestSetBitsGetBitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		width := rapid.IntRange(1, 8).Draw(rt, "width")
		values := rapid.SliceOfN(rapid.Uint32Range(0, 1<<width-1), 1, 40).Draw(rt, "values")
		bytes := make([]byte, (len(values)*width+7)/8)
		for i, value := range values {
			setBits(bytes, i*width, width, value)
		}
		for i, value := range values {
			if got := getBits(bytes, i*width, width); got != value {
				rt.Fatalf("getBits returns %d for value %d, want %d", got, i, value)
			}
		}
	})
}

// Checks that Append never appends more than maxBytes bytes.
func TestAppendRespectsMaxBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gateways := rapid.IntRange(1, 4096).Draw(rt, "gateways")
		table := newTable(gateways-1, gateways)
		table.nextEntry = rapid.IntRange(0, gateways-1).Draw(rt, "next")
		maxBytes := rapid.IntRange(0, 240).Draw(rt, "max bytes")
		if body := table.Append(epoch, 0, maxBytes, nil); len(body) > maxBytes {
			rt.Fatalf("appended %d bytes, want at most %d", len(body), maxBytes)
		}
	})
}
