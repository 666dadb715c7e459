// Package zonetable keeps the zones of the other gateways, which the platform's configuration does not contain. Each
// gateway that uses a subset of the engines piggybacks its own zone and a part of its table on membership datagrams.
//
// The package owns the table and its wire format. It performs no I/O, reads no clock and starts no goroutine, and is not
// safe for concurrent use: all calls come from the gateway's event loop.
//
// The zone that a gateway reports for itself overrides what other gateways report about it. A gateway whose zone is unknown
// is assumed to use every engine. This includes gateways of older versions, which do not send zones. An entry is kept when
// its gateway restarts, because a gateway nearly always restarts in the same zone.
package zonetable

import (
	"hash/fnv"
	"time"
)

const (
	// ExtensionKind identifies zone messages among the extensions of membership.
	ExtensionKind = 3
	// MaxZones is the maximum number of zones in the settings, because a zone code has at most eight bits.
	MaxZones = 254
)

const (
	unknownZone = -1
	// startStride is the distance between the table positions at which gateways with consecutive numbers start to send, so
	// that different gateways start with different parts of the table.
	startStride = 619
)

// entry is the zone of one gateway.
type entry struct {
	zone         int  // index in the settings' list of zones, or unknownZone
	selfReported bool // reported by the gateway itself
}

// Table is one gateway's table of zones, with an entry for each configured gateway. It implements membership.Extension.
type Table struct {
	self           int // number of this gateway
	zone           int // zone of this gateway
	zoneCount      int
	zoneListHash   uint32
	usesSubset     bool
	everUsedSubset bool // if true, messages are sent even if the gateway uses every engine again, so that other gateways learn this
	entries        []entry
	nextEntry      int           // first gateway in the next message
	lastSentAt     time.Duration // time of the last message to a member past its startupPeriod
	startedAt      func(member int) time.Duration
}

// New returns the Table of the gateway with the given number. gateways is the number of configured gateways, zones is the
// list of zones in the settings, and zone is the index of the gateway's own zone in this list. startedAt returns the Unix
// time at which a member started.
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

// zoneListHash returns the FNV-1a hash that identifies a list of zones in messages.
func zoneListHash(zones []string) uint32 {
	h := fnv.New32a()
	for _, name := range zones {
		h.Write(append([]byte(name), 0))
	}
	return h.Sum32()
}

// SetUsesSubset sets whether this gateway uses a subset of the engines. No message is sent before the first call with true.
func (t *Table) SetUsesSubset(usesSubset bool) {
	t.usesSubset = usesSubset
	t.everUsedSubset = t.everUsedSubset || usesSubset
}

// Zone returns the zone of a gateway that uses a subset of the engines, as an index in the settings' list. It returns -1 if
// the gateway uses every engine or is not known to use a subset.
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

// setReportedByOther stores a gateway's zone as reported by another gateway, unless the gateway has reported its zone itself.
func (t *Table) setReportedByOther(gateway, zone int) {
	e := &t.entries[gateway]
	if !e.selfReported && zone != unknownZone {
		e.zone = zone
	}
}
