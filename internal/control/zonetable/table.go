// Package zonetable keeps the zones of the other gateways, which the platform's configuration does not contain. Each
// gateway that uses a subset of the engines piggybacks its own zone and a part of its table on membership datagrams.
//
// The package owns the table and its wire format. It does no input or output, reads no clock and starts no goroutine, and
// is not safe for concurrent use: all calls come from the gateway's event loop.
//
// What a gateway reports of itself overrides what others report of it. A gateway without a known zone counts as one that
// uses every engine; so do gateways of older versions, which send no such message. An entry survives a restart of its
// gateway, which nearly always returns in the same zone.
package zonetable

import (
	"hash/fnv"
	"time"
)

const (
	// ExtensionKind identifies this subsystem among the extensions of membership.
	ExtensionKind = 3
	// MaxZones is the upper bound of the number of zones in the settings: the code of a zone takes at most eight bits.
	MaxZones = 254
)

const (
	unknownZone = -1
	// startStride is the distance between the first entries that gateways of successive numbers send, so that they start
	// with different parts of the table.
	startStride = 619
)

// entry is the zone of one gateway.
type entry struct {
	zone      int  // index in the settings' list of zones, or unknownZone
	firstHand bool // reported by the gateway itself
}

// Table is the table of one gateway. Its size depends on the number of gateways alone. It implements
// membership.Extension.
type Table struct {
	self           int // own gateway number
	zone           int // own zone
	zoneCount      int
	zoneListHash   uint32
	usesSubset     bool
	everUsedSubset bool // from then on messages are sent, also to report that the gateway uses every engine again
	entries        []entry
	nextEntry      int           // first gateway in the next message
	lastSentAt     time.Duration // time of the last message to a member that had not just started
	startedAt      func(member int) time.Duration
}

// New returns the Table of a gateway: its number, the number of gateways, the settings' list of zones and the index of its
// own zone in the list. startedAt returns the Unix time at which a member started.
func New(number, gateways int, zones []string, zone int, startedAt func(member int) time.Duration) *Table {
	t := &Table{
		self:         number,
		zone:         zone,
		zoneCount:    len(zones),
		zoneListHash: zoneListHash(zones),
		entries:      make([]entry, gateways),
		startedAt:    startedAt,
		nextEntry:    number * startStride % gateways,
	}
	for i := range t.entries {
		t.entries[i].zone = unknownZone
	}
	return t
}

// zoneListHash returns a hash that identifies a list of zones on the wire (FNV-1a).
func zoneListHash(zones []string) uint32 {
	h := fnv.New32a()
	for _, name := range zones {
		h.Write(append([]byte(name), 0))
	}
	return h.Sum32()
}

// SetUsesSubset sets whether this gateway uses a subset of the engines. Until it first does, no message is sent.
func (t *Table) SetUsesSubset(usesSubset bool) {
	t.usesSubset = usesSubset
	t.everUsedSubset = t.everUsedSubset || usesSubset
}

// Zone returns the zone of a gateway that uses a subset of the engines, as an index in the settings' list; -1 if the
// gateway uses every engine, or is not known to use a subset.
func (t *Table) Zone(gateway int) int {
	switch {
	case gateway < 0 || gateway >= len(t.entries):
		return unknownZone
	case gateway == t.self && t.usesSubset:
		return t.zone
	case gateway == t.self:
		return unknownZone
	}
	return t.entries[gateway].zone
}

// setReported records the zone that another gateway reports of one, unless that gateway reported its zone itself.
func (t *Table) setReported(gateway, zone int) {
	e := &t.entries[gateway]
	if !e.firstHand && zone != unknownZone {
		e.zone = zone
	}
}
