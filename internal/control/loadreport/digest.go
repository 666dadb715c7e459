// Package loadreport shares the load reports of engines among the gateways of a fleet. A gateway that is one of hundreds
// seldom receives a report from an engine itself, so gateways piggyback the reports that they know on membership
// datagrams.
//
// The package owns the table of the latest reports and their wire format. It opens no socket, reads no clock and starts no
// goroutine, and is not safe for concurrent use: all calls come from the gateway's event loop.
//
// A load report is the load of an engine and the time at which the engine reported it, by the Unix clock of the gateway
// that received it. Of two reports the later one wins (last writer wins). Merging is commutative and idempotent, so the
// result does not depend on the order in which reports arrive, how often, how late and over how many gateways. (An age that
// each gateway measured anew would make a report younger whenever it waits to be read.) A report expires after Lifetime,
// which bounds the effect of a false one. A gateway whose clock is wrong neither applies reports of others nor has its own
// applied by them. Reports on engines that are not in the own engine list are dropped.
package loadreport

import (
	"cmp"
	"slices"
	"time"

	"frostpier/internal/control/loadreport/loadreportpb"
)

const (
	// ExtensionKind identifies this subsystem among the extensions of membership.
	ExtensionKind = 1
	// Interval is the time between two datagrams of a gateway that carry its digest alone. With some 300 gateways each then
	// has a report younger than a second of nearly every engine, for half a datagram per query at six queries a second.
	Interval = 300 * time.Millisecond
	// Lifetime is the age at which a report expires: after that an engine's load has little to do with the one reported.
	Lifetime = 5 * time.Second
	// MaxEngines is the upper bound of the table's length.
	MaxEngines = 1024
)

// maxLoad is the exclusive upper bound of a valid load, in queries: no engine runs as many.
const maxLoad = 1 << 16

// Report is the load of an engine at a time.
type Report struct {
	Engine     uint64        // number of the engine
	Load       int           // queries that it runs
	ReportedAt time.Duration // when it reported the load, since the Unix epoch
}

// entry is the latest report on a listed engine.
type entry struct {
	engine       uint64
	load         int
	reportedAt   time.Duration // 0 = no report
	sentSequence uint64        // Counts.Sent when it was last sent: among reports of equal age the least recently sent goes first
}

// Digest is the table of the latest load reports of one gateway. It implements membership.Extension.
type Digest struct {
	byWireNumber map[uint32]*entry
	entries      []*entry // the same; freshest first as of the last Append
	outgoing     loadreportpb.Digest
	disabled     bool
	counts       Counts
}

// Counts are totals since New.
type Counts struct {
	Recorded, Sent, Received uint64 // reports: of engines to this gateway, sent and received
	Applied                  uint64 // received, and later than the one known
	Unlisted, Expired        uint64 // received: of an engine that is not listed; older than Lifetime
	FromFuture               uint64 // received: from the future, so one of the clocks is wrong
	Malformed                uint64 // messages that could not be decoded, and reports with impossible values
}

// New returns a Digest without engines.
func New() *Digest { return &Digest{byWireNumber: map[uint32]*entry{}} }

// wireNumber returns the part of an engine's number that is sent.
func wireNumber(engine uint64) uint32 { return uint32(engine) }

// SetEngines sets the listed engines, at most MaxEngines. The reports on others are dropped. Engines whose wire numbers
// collide cannot be told apart and are left out.
func (d *Digest) SetEngines(engines []uint64) {
	listed := d.entriesByWireNumber(engines)
	d.entries = d.entries[:0]
	for short, e := range listed {
		if e == nil {
			delete(listed, short)
			continue
		}
		d.entries = append(d.entries, e)
	}
	slices.SortFunc(d.entries, func(a, b *entry) int { return cmp.Compare(a.engine, b.engine) })
	d.byWireNumber = listed
}

// entriesByWireNumber returns the entries of engines by wire number, new ones for those that are unknown, and nil for a wire
// number that two engines share.
func (d *Digest) entriesByWireNumber(engines []uint64) map[uint32]*entry {
	listed := map[uint32]*entry{}
	for _, engine := range engines {
		short := wireNumber(engine)
		if other, taken := listed[short]; taken && other != nil {
			listed[short] = nil
			continue
		}
		if len(listed) == MaxEngines {
			break
		}
		e := d.byWireNumber[short]
		if e == nil || e.engine != engine {
			e = &entry{engine: engine}
		}
		listed[short] = e
	}
	return listed
}

// find returns the entry of an engine; nil if it is not listed.
func (d *Digest) find(engine uint64) *entry {
	e := d.byWireNumber[wireNumber(engine)]
	if e == nil || e.engine != engine {
		return nil
	}
	return e
}

// Record records the load that an engine reported to this gateway at now. An engine that is not listed is ignored.
func (d *Digest) Record(now time.Duration, engine uint64, load int) {
	e := d.find(engine)
	if e == nil || load < 0 || load >= maxLoad {
		return
	}
	d.counts.Recorded++
	e.merge(load, truncateToAgeUnit(now)) // as on the wire, so that the report is the same when it comes back
}

// merge applies a report if it is later than the known one, and reports whether it did. Of two reports of the same time
// the higher load wins, so that all gateways agree.
func (e *entry) merge(load int, at time.Duration) bool {
	if at < e.reportedAt || at == e.reportedAt && load <= e.load {
		return false
	}
	e.load, e.reportedAt = load, at
	return true
}

// Latest returns the latest report on an engine, if there is one that has not expired.
func (d *Digest) Latest(now time.Duration, engine uint64) (Report, bool) {
	e := d.find(engine)
	if e == nil || e.reportedAt == 0 || now-e.reportedAt > Lifetime {
		return Report{}, false
	}
	return Report{engine, e.load, e.reportedAt}, true
}

// Counts returns the totals since New.
func (d *Digest) Counts() Counts { return d.counts }

// SetDisabled stops sending and receiving (true), or resumes both (false).
func (d *Digest) SetDisabled(disabled bool) { d.disabled = disabled }
