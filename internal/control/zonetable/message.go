package zonetable

import (
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/zonetable/zonepb"
)

// Times and sizes of messages.
const (
	sendInterval    = 2 * time.Second  // between two messages to members past their startupPeriod
	startupPeriod   = 30 * time.Second // from a member's start; every datagram to it in this period carries a message
	joinPeriod      = 15 * time.Second // from a member's start; it chooses its first subset in this period
	maxEntryBytes   = 96               // maximum size of the entries in a message: less than half of a datagram
	maxJoinBytes    = 160              // the same for messages to a member in its joinPeriod, which needs few load reports yet
	minMessageBytes = 24               // no message is sent if fewer bytes are available
	maxFieldBytes   = 18               // maximum total size of all fields except the entries
)

// Kind returns ExtensionKind.
func (t *Table) Kind() uint32 { return ExtensionKind }

// Append appends a message with this gateway's zone and the next entries of the table to dst. It does so in every datagram
// to a member in its startupPeriod, and once per sendInterval otherwise. The message has at most maxBytes bytes.
func (t *Table) Append(now time.Duration, to, maxBytes int, dst []byte) []byte {
	if !t.everUsedSubset || maxBytes < minMessageBytes {
		return dst
	}
	age := now - t.startedAt(to)
	if age > startupPeriod && now-t.lastSentAt < sendInterval {
		return dst
	}
	if age > startupPeriod {
		t.lastSentAt = now
	}
	limit := maxEntryBytes
	if age <= joinPeriod {
		limit = maxJoinBytes
	}
	message := &zonepb.Zones{List: t.zoneListHash, Own: zoneCode(t.Zone(t.self)), First: uint32(t.nextEntry)}
	message.Others = t.encodeNextEntries(min(limit, maxBytes-maxFieldBytes))
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, message)
	if err != nil {
		return dst // unreachable: the message has no string that could be invalid UTF-8
	}
	return out
}

// encodeNextEntries encodes the next entries of the table into at most maxBytes, and advances nextEntry. After the last
// entry it continues with the first.
func (t *Table) encodeNextEntries(maxBytes int) []byte {
	width := t.zoneCodeBits()
	count := min(8*maxBytes/width, len(t.entries))
	out := make([]byte, (count*width+7)/8)
	for i := range count {
		zone := t.Zone((t.nextEntry + i) % len(t.entries))
		setBits(out, i*width, width, zoneCode(zone))
	}
	t.nextEntry = (t.nextEntry + count) % len(t.entries)
	return out
}

// Receive merges a message from a member. It returns false and changes nothing if the message is malformed or was encoded
// for a different list of zones.
func (t *Table) Receive(member int, body []byte) bool {
	if member < 0 || member >= len(t.entries) || member == t.self {
		return false
	}
	var message zonepb.Zones
	if proto.Unmarshal(body, &message) != nil || !t.valid(&message) {
		return false
	}
	codes, ok := t.decodeCodes(message.Others)
	if !ok {
		return false
	}
	t.entries[member] = entry{zone: zoneOf(message.Own), selfReported: true}
	for i, code := range codes {
		gateway := (int(message.First) + i) % len(t.entries)
		t.setReportedByOther(gateway, zoneOf(code))
	}
	return true
}

// valid reports whether a message was encoded for this gateway's list of zones and its fields are in range.
func (t *Table) valid(message *zonepb.Zones) bool {
	return message.List == t.zoneListHash && int64(message.Own) <= int64(t.zoneCount) && int64(message.First) < int64(len(t.entries))
}

// decodeCodes decodes the entries of a message. ok is false if an entry is out of the range of the list of zones.
func (t *Table) decodeCodes(encoded []byte) (codes []uint32, ok bool) {
	width := t.zoneCodeBits()
	count := min(8*len(encoded)/width, len(t.entries))
	codes = make([]uint32, 0, count)
	for i := range count {
		code := getBits(encoded, i*width, width)
		if code > uint32(t.zoneCount) {
			return nil, false
		}
		codes = append(codes, code)
	}
	return codes, true
}

// zoneCode returns the code of a zone in messages: its index plus one, or 0 for unknownZone.
func zoneCode(zone int) uint32 { return uint32(zone + 1) }

// zoneOf returns the zone with the given code.
func zoneOf(code uint32) int { return int(code) - 1 }

// zoneCodeBits returns the width of a zone code in messages.
func (t *Table) zoneCodeBits() int { return max(1, bits.Len(uint(t.zoneCount))) }

// setBits writes a value of at most eight bits into zeroed bytes, starting with the lowest bit.
func setBits(bytes []byte, from, width int, value uint32) {
	shifted := value << (from % 8)
	bytes[from/8] |= byte(shifted)
	if from%8+width > 8 {
		bytes[from/8+1] |= byte(shifted >> 8)
	}
}

// getBits returns a value written by setBits.
func getBits(bytes []byte, from, width int) uint32 {
	value := uint32(bytes[from/8])
	if from%8+width > 8 {
		value |= uint32(bytes[from/8+1]) << 8
	}
	return value >> (from % 8) & (1<<width - 1)
}
