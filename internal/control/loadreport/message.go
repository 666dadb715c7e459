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

// Parameters of the wire format. A message holds a base time and, for each report, the wire number, the load and the age
// before the base time.
const (
	ageUnit         = 50 * time.Millisecond  // of an age and of the base time
	maxBase         = 1 << 37                // age units: later than any plausible clock, and safe from overflow
	maxClockSkew    = time.Second            // by which a report may come from the future
	headerSize      = 16                     // bytes of the tags and lengths of the lists, and of the base time
	wireNumberSize  = 4                      // bytes
	freshnessBucket = 500 * time.Millisecond // reports of one bucket count as of equal age
)

// truncateToAgeUnit returns a time in the resolution of the wire format.
func truncateToAgeUnit(at time.Duration) time.Duration { return at / ageUnit * ageUnit }

// Kind returns ExtensionKind.
func (d *Digest) Kind() uint32 { return ExtensionKind }

// Append appends a message with the latest reports, as many as fit into room bytes; nothing if there are none. Among
// reports of the same freshness bucket those sent least recently go first: otherwise all gateways would send the same few.
func (d *Digest) Append(now time.Duration, _, room int, dst []byte) []byte {
	if d.disabled {
		return dst
	}
	m := &d.outgoing
	m.Engine, m.Load, m.Age, m.Base = m.Engine[:0], m.Load[:0], m.Age[:0], uint64(now/ageUnit)
	d.sortForSending()
	d.appendReports(m, now, room-headerSize)
	if len(m.Load) == 0 {
		return dst
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, m)
	if err != nil {
		return dst // does not happen: the message has no string that could be invalid UTF-8
	}
	return out
}

// sortForSending sorts the entries by freshness bucket, then by when they were last sent.
func (d *Digest) sortForSending() {
	slices.SortFunc(d.entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.reportedAt/freshnessBucket, a.reportedAt/freshnessBucket),
			cmp.Compare(a.sentSequence, b.sentSequence), cmp.Compare(a.engine, b.engine))
	})
}

// appendReports appends the reports that have not expired, in the order of the entries, until one does not fit.
func (d *Digest) appendReports(m *loadreportpb.Digest, now time.Duration, room int) {
	for _, e := range d.entries {
		age := truncateToAgeUnit(now) - e.reportedAt
		if e.reportedAt == 0 || age > Lifetime || age < 0 {
			continue // one from the future, by a clock that is ahead, is sent once its time has come
		}
		load, units := uint32(e.load), uint32(age/ageUnit)
		size := wireNumberSize + protowire.SizeVarint(uint64(load)) + protowire.SizeVarint(uint64(units))
		if size > room {
			return
		}
		room -= size
		m.Engine = binary.LittleEndian.AppendUint32(m.Engine, wireNumber(e.engine))
		m.Load = append(m.Load, load)
		m.Age = append(m.Age, units)
		d.counts.Sent++
		e.sentSequence = d.counts.Sent
	}
}

// Receive merges a message of another gateway and returns the reports that are later than those known. A malformed message
// is counted and dropped.
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
		number := binary.LittleEndian.Uint32(m.Engine[wireNumberSize*k:])
		at := base - time.Duration(m.Age[k])*ageUnit
		if e := d.mergeReceived(now, number, load, at); e != nil {
			applied = append(applied, Report{e.engine, e.load, e.reportedAt})
		}
	}
	return applied
}

// wellFormed reports whether the lists of a message have the same length and its base time is in range.
func wellFormed(m *loadreportpb.Digest) bool {
	return len(m.Engine) == wireNumberSize*len(m.Load) && len(m.Age) == len(m.Load) && m.Base <= maxBase
}

// mergeReceived merges one report and returns its entry if the report is later than the known one, else nil.
func (d *Digest) mergeReceived(now time.Duration, number, load uint32, at time.Duration) *entry {
	d.counts.Received++
	e := d.byWireNumber[number]
	switch {
	case e == nil:
		d.counts.Unlisted++
	case load >= maxLoad:
		d.counts.Malformed++
	case at > now+maxClockSkew:
		d.counts.FromFuture++
	case now-at > Lifetime:
		d.counts.Expired++
	case e.merge(int(load), at):
		d.counts.Applied++
		return e
	}
	return nil
}
