// Package zonetable keeps the zones of the other gateways, which the platform's configuration does not name. Each gateway
// that uses a subset of the engines piggybacks its own zone and a part of its table on membership datagrams. The package
// does no input or output, keeps no clock and starts no goroutine.
//
// What a gateway reports of itself overrides what others report of it. A gateway without a known zone counts as one that
// uses every engine; so do gateways of older programs, which send no such message. An entry outlasts a restart of its
// gateway, which nearly always comes back in the same zone.
package zonetable

import (
	"hash/fnv"
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/zonetable/zonepb"
)

const (
	// ExtensionKind identifies this subsystem among the extensions of membership.
	ExtensionKind = 3
	// MostZones bounds the settings' list of zones: an entry takes at most eight bits.
	MostZones = 254

	sendInterval   = 2 * time.Second  // between two messages, other than to members that have just started
	startupPeriod  = 30 * time.Second // after the start of a member, in which every datagram to it carries a message
	maxOthersBytes = 96               // of a message: less than half of a datagram
	maxJoinBytes   = 160              // likewise, to a member that joins: it has little use for load reports yet
	joinPeriod     = 15 * time.Second // after the start of a member, in which it chooses its first subset
	minRoom        = 24               // bytes, below which no message is written
	fieldBytes     = 18               // of all fields but the content of others, at most
	unknown        = -1

	firstStride = 619 // between the first entries that gateways of successive numbers send, so that they send different ones
)

// entry is the zone of one gateway.
type entry struct {
	zone   int  // unknown, or the index in the settings' list
	direct bool // reported by the gateway itself
}

// Table is the table of one gateway. Its size depends on the number of gateways alone.
type Table struct {
	number  int
	zone    int
	zones   int
	list    uint32
	on      bool
	everOn  bool // from then on it is also reported that the gateway uses every engine
	entries []entry
	next    int           // first gateway in the next message
	sentAt  time.Duration // time of the last message to a member that had not just started
	started func(member int) time.Duration
}

// New returns the Table of a gateway: its number, the number of gateways, the settings' list of zones and its own zone in
// it. started returns the Unix time at which a member started.
func New(number, gateways int, zones []string, zone int, started func(member int) time.Duration) *Table {
	t := &Table{number: number, zone: zone, zones: len(zones), list: hashOf(zones), entries: make([]entry, gateways), started: started,
		next: number * firstStride % gateways}
	for i := range t.entries {
		t.entries[i].zone = unknown
	}
	return t
}

// hashOf identifies a list of zones.
func hashOf(zones []string) uint32 {
	h := fnv.New32a()
	for _, name := range zones {
		h.Write(append([]byte(name), 0))
	}
	return h.Sum32()
}

// SetOn sets whether this gateway uses a subset of the engines. Until it first does, nothing is sent.
func (t *Table) SetOn(on bool) {
	t.on = on
	t.everOn = t.everOn || on
}

// Zone is the zone of a gateway that uses a subset of the engines; -1 if it is not known to.
func (t *Table) Zone(gateway int) int {
	switch {
	case gateway < 0 || gateway >= len(t.entries):
		return unknown
	case gateway == t.number && t.on:
		return t.zone
	case gateway == t.number:
		return unknown
	}
	return t.entries[gateway].zone
}

// Kind is for membership.
func (t *Table) Kind() uint32 { return ExtensionKind }

// Append appends a message to every datagram for a member that has just started, and to others at intervals.
func (t *Table) Append(now time.Duration, to, room int, dst []byte) []byte {
	if !t.everOn || room < minRoom {
		return dst
	}
	age := now - t.started(to)
	if age > startupPeriod {
		if now-t.sentAt < sendInterval {
			return dst
		}
		t.sentAt = now
	}
	most := maxOthersBytes
	if age <= joinPeriod {
		most = maxJoinBytes
	}
	first := t.next // others advances it
	others := t.others(min(most, room-fieldBytes))
	message := &zonepb.Zones{List: t.list, Own: place(t.Zone(t.number)), First: uint32(first), Others: others}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, message)
	if err != nil {
		return dst // no message of this form fails to encode
	}
	return out
}

// width is the number of bits of an entry in a message.
func (t *Table) width() int { return max(1, bits.Len(uint(t.zones))) }

// others encodes the next entries of the table, from the first again after the last.
func (t *Table) others(bytes int) []byte {
	width := t.width()
	count := min(8*bytes/width, len(t.entries))
	out := make([]byte, (count*width+7)/8)
	for i := range count {
		setBits(out, i*width, width, place(t.Zone((t.next+i)%len(t.entries))))
	}
	t.next = (t.next + count) % len(t.entries)
	return out
}

// place is the code of a zone in a message: its index plus one, 0 for none.
func place(zone int) uint32 { return uint32(zone + 1) }

// Receive applies a message of a member. One that is malformed or refers to another list of zones changes nothing.
func (t *Table) Receive(member int, body []byte) bool {
	var message zonepb.Zones
	if member < 0 || member >= len(t.entries) || member == t.number || proto.Unmarshal(body, &message) != nil ||
		message.List != t.list || int64(message.Own) > int64(t.zones) || int64(message.First) >= int64(len(t.entries)) {
		return false
	}
	places, ok := t.places(message.Others)
	if !ok {
		return false
	}
	t.entries[member] = entry{zone: int(message.Own) - 1, direct: true}
	for i, place := range places {
		e := &t.entries[(int(message.First)+i)%len(t.entries)]
		if !e.direct && place > 0 {
			e.zone = int(place) - 1
		}
	}
	return true
}

// places decodes the entries of a message; ok is false if one is no zone of the list.
func (t *Table) places(others []byte) (places []uint32, ok bool) {
	width := t.width()
	count := min(8*len(others)/width, len(t.entries))
	places = make([]uint32, 0, count)
	for i := range count {
		place := getBits(others, i*width, width)
		if place > uint32(t.zones) {
			return nil, false
		}
		places = append(places, place)
	}
	return places, true
}

// setBits writes a value of at most eight bits into zeroed bytes, the lowest bit first.
func setBits(bytes []byte, from, width int, value uint32) {
	shifted := value << (from % 8)
	bytes[from/8] |= byte(shifted)
	if from%8+width > 8 {
		bytes[from/8+1] |= byte(shifted >> 8)
	}
}

// getBits reads a value that setBits wrote.
func getBits(bytes []byte, from, width int) uint32 {
	value := uint32(bytes[from/8])
	if from%8+width > 8 {
		value |= uint32(bytes[from/8+1]) << 8
	}
	return value >> (from % 8) & (1<<width - 1)
}
