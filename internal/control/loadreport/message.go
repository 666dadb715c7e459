package loadreport

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"frostpier/internal/control/loadreport/loadreportpb"
)

// Parameters of the wire format. A message holds a base time and, for each report, the engine's short ID, the load and the
// age of the report at the base time.
const (
	ageUnit         = 50 * time.Millisecond  // resolution of ages and of the base time
	maxBaseTime     = 1 << 37                // age units: later than any plausible clock, and too small to overflow
	maxClockSkew    = time.Second            // reports further in the future are dropped
	headerSize      = 16                     // bytes: tags and lengths of the lists, and the base time
	shortIDSize     = 4                      // bytes
	freshnessBucket = 500 * time.Millisecond // reports in the same bucket are sent in least-recently-sent order
)

// truncateToAgeUnit truncates a time to the resolution of the wire format.
func truncateToAgeUnit(at time.Duration) time.Duration { return at / ageUnit * ageUnit }

// Kind returns ExtensionKind.
func (d *Digest) Kind() uint32 { return ExtensionKind }

// Append appends a message with as many of the latest reports as fit into maxBytes bytes, or nothing if there are none. Newer
// reports come first. Within a freshness bucket, those sent least recently come first: otherwise all gateways would send
// the same few reports.
func (d *Digest) Append(now time.Duration, _, maxBytes int, dst []byte) []byte {
	if d.disabled {
		return dst
	}
	m := &d.outgoing
	m.Engine, m.Load, m.Age, m.Base = m.Engine[:0], m.Load[:0], m.Age[:0], uint64(now/ageUnit)
	d.sortForSending()
	d.appendReports(m, now, maxBytes-headerSize)
	if len(m.Load) == 0 {
		return dst
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, m)
	if err != nil {
		return dst // unreachable: the message has no string that could be invalid UTF-8
	}
	return out
}

// sortForSending sorts the entries by freshness bucket, newest first, and then by the time when they were last sent.
func (d *Digest) sortForSending() {
	slices.SortFunc(d.entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.reportedAt/freshnessBucket, a.reportedAt/freshnessBucket),
			cmp.Compare(a.lastSent, b.lastSent), cmp.Compare(a.engine, b.engine))
	})
}

// appendReports adds the unexpired reports to m in the order of the entries, and stops at the first that does not fit into
// the remaining bytes.
func (d *Digest) appendReports(m *loadreportpb.Digest, now time.Duration, remaining int) {
	for _, e := range d.entries {
		age := truncateToAgeUnit(now) - e.reportedAt
		if e.reportedAt == 0 || age > Lifetime || age < 0 {
			continue // a report with a future time, from a gateway whose clock is ahead, is not sent before that time
		}
		load, units := uint32(e.load), uint32(age/ageUnit)
		size := shortIDSize + protowire.SizeVarint(uint64(load)) + protowire.SizeVarint(uint64(units))
		if size > remaining {
			return
		}
		remaining -= size
		m.Engine = binary.LittleEndian.AppendUint32(m.Engine, shortID(e.engine))
		m.Load = append(m.Load, load)
		m.Age = append(m.Age, units)
		d.counts.Sent++
		e.lastSent = d.counts.Sent
	}
}

// Receive merges a message from another gateway and returns the reports that were later than the known ones. It counts and
// drops a malformed message.
func (d *Digest) Receive(now time.Duration, body []byte) []Report {
	if d.disabled {
		return nil
	}
	var m loadreportpb.Digest
	if proto.Unmarshal(body, &m) != nil || !wellFormed(&m) {
		d.counts.Malformed++
		return nil
	}
	var applied []Report
	base := time.Duration(m.Base) * ageUnit
	for k, load := range m.Load {
		short := binary.LittleEndian.Uint32(m.Engine[shortIDSize*k:])
		at := base - time.Duration(m.Age[k])*ageUnit
		if e := d.mergeReceived(now, short, load, at); e != nil {
			applied = append(applied, Report{e.engine, e.load, e.reportedAt})
		}
	}
	return applied
}

// wellFormed reports whether the lists of a message have equal lengths and its base time is in range.
func wellFormed(m *loadreportpb.Digest) bool {
	return len(m.Engine) == shortIDSize*len(m.Load) && len(m.Age) == len(m.Load) && m.Base <= maxBaseTime
}

// mergeReceived merges one received report. It returns the engine's entry if the report was later than the known one, and
// nil otherwise.
func (d *Digest) mergeReceived(now time.Duration, short, load uint32, at time.Duration) *entry {
	d.counts.Received++
	e := d.byShortID[short]
	switch {
	case e == nil:
		d.counts.Unlisted++
	case load >= maxLoad:
		d.counts.Malformed++
	case at > now+maxClockSkew:
		d.counts.Ahead++
	case now-at > Lifetime:
		d.counts.Expired++
	case e.merge(int(load), at):
		d.counts.Applied++
		return e
	}
	return nil
}
