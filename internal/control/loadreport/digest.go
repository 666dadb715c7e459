// Package loadreport shares the load reports of engines among the gateways of a fleet. In a fleet of hundreds of gateways,
// each gateway seldom receives a report directly from a given engine, so gateways piggyback the reports that they know on
// membership datagrams.
//
// The package owns the table of the latest reports and their wire format. It opens no socket, reads no clock and starts no
// goroutine, and is not safe for concurrent use: all calls come from the gateway's event loop.
//
// A load report consists of an engine's load and the time at which the engine reported it, by the Unix clock of the gateway
// that received it. The latest report on an engine wins (last writer wins). Merging is commutative and idempotent, so the
// result does not depend on the order, the number of copies, the delay or the path of the reports. Reports carry the time
// and not an age that each gateway measures again, because a report would then become younger while it waits in a receive
// buffer. A report expires after Lifetime, which bounds the effect of a wrong one. If the clock of a gateway is wrong, it
// rejects the reports of other gateways and they reject its reports. Reports on engines that are not in the gateway's
// engine list are dropped.
package loadreport

import (
	"cmp"
	"slices"
	"time"

	"frostpier/internal/control/loadreport/loadreportpb"
)

const (
	// ExtensionKind identifies load reports among the extensions of membership.
	ExtensionKind = 1
	// Interval is the time between two datagrams that a gateway sends only to share load reports. With 300 gateways, each
	// gateway then has a report younger than one second on nearly every engine. At six queries per second and gateway, this
	// costs half a datagram per query.
	Interval = 300 * time.Millisecond
	// Lifetime is the age at which a report expires, because it no longer says anything about the engine's current load.
	Lifetime = 5 * time.Second
	// MaxEngines is the maximum number of engines in the table.
	MaxEngines = 1024
)

// maxLoad is the exclusive upper bound of a valid load, in queries. No engine runs this many.
const maxLoad = 1 << 16

// Report is a load report of an engine.
type Report struct {
	Engine     uint64        // ID of the engine
	Load       int           // running queries
	ReportedAt time.Duration // since the Unix epoch
}

// entry is the latest report on a listed engine.
type entry struct {
	engine     uint64
	load       int
	reportedAt time.Duration // since the Unix epoch; 0 = no report
	lastSent   uint64        // value of Counts.Sent after the entry was last sent
}

// Digest is one gateway's table of the latest load reports. It implements membership.Extension.
type Digest struct {
	byShortID map[uint32]*entry
	entries   []*entry // the entries of byShortID, in the order in which Append sends them
	outgoing  loadreportpb.Digest
	disabled  bool
	counts    Counts
}

// Counts holds totals since New.
type Counts struct {
	Recorded       uint64 // reports that engines sent to this gateway
	Sent, Received uint64 // reports exchanged with other gateways
	Applied        uint64 // received reports that were later than the known one
	Unlisted       uint64 // received reports on engines that are not listed
	Expired        uint64 // received reports older than Lifetime
	Ahead          uint64 // received reports from the future: the clock of one of the gateways is wrong
	Malformed      uint64 // malformed messages, and reports with a load out of range
}

// New returns a Digest with no engines.
func New() *Digest { return &Digest{byShortID: map[uint32]*entry{}} }

// shortID returns the low 32 bits of an engine ID, which stand for the engine in messages.
func shortID(engine uint64) uint32 { return uint32(engine) }

// SetEngines sets the listed engines, of which it keeps at most MaxEngines, and drops the reports on all other engines.
// Engines with equal short IDs are ignored because messages cannot distinguish them.
func (d *Digest) SetEngines(engines []uint64) {
	listed := d.entriesByShortID(engines)
	d.entries = d.entries[:0]
	for short, e := range listed {
		if e == nil {
			delete(listed, short)
			continue
		}
		d.entries = append(d.entries, e)
	}
	slices.SortFunc(d.entries, func(a, b *entry) int { return cmp.Compare(a.engine, b.engine) })
	d.byShortID = listed
}

// entriesByShortID returns the entries of the engines by short ID. It creates entries for new engines, and maps a short ID
// that two engines share to nil.
func (d *Digest) entriesByShortID(engines []uint64) map[uint32]*entry {
	listed := map[uint32]*entry{}
	for _, engine := range engines {
		short := shortID(engine)
		if other, found := listed[short]; found && other != nil {
			listed[short] = nil
			continue
		}
		if len(listed) == MaxEngines {
			break
		}
		e := d.byShortID[short]
		if e == nil || e.engine != engine {
			e = &entry{engine: engine}
		}
		listed[short] = e
	}
	return listed
}

// find returns the entry of an engine, or nil if the engine is not listed.
func (d *Digest) find(engine uint64) *entry {
	e := d.byShortID[shortID(engine)]
	if e == nil || e.engine != engine {
		return nil
	}
	return e
}

// Record stores the load that an engine reported to this gateway at now. It ignores engines that are not listed.
func (d *Digest) Record(now time.Duration, engine uint64, load int) {
	e := d.find(engine)
	if e == nil || load < 0 || load >= maxLoad {
		return
	}
	d.counts.Recorded++
	e.merge(load, truncateToAgeUnit(now)) // truncated as in messages, so that other gateways do not echo it as a later report
}

// merge applies a report if it is later than the known one, and reports whether it did so. If both have the same time, the
// higher load wins, so that all gateways agree.
func (e *entry) merge(load int, at time.Duration) bool {
	if at < e.reportedAt || at == e.reportedAt && load <= e.load {
		return false
	}
	e.load, e.reportedAt = load, at
	return true
}

// Latest returns the latest report on an engine. The result is false if there is none or it has expired.
func (d *Digest) Latest(now time.Duration, engine uint64) (Report, bool) {
	e := d.find(engine)
	if e == nil || e.reportedAt == 0 || now-e.reportedAt > Lifetime {
		return Report{}, false
	}
	return Report{engine, e.load, e.reportedAt}, true
}

// Counts returns the totals since New.
func (d *Digest) Counts() Counts { return d.counts }

// SetDisabled sets whether the Digest is disabled. A disabled Digest sends no messages and ignores received ones.
func (d *Digest) SetDisabled(disabled bool) { d.disabled = disabled }
