// Package loadreport shares load reports of engines among the gateways of a fleet. A gateway that is one of hundreds gets a
// report from most engines seldom, so gateways piggyback what they receive on membership datagrams. The package is state
// and decisions alone: it uses no socket, clock or goroutine.
//
// A load report is the load of an engine and when the engine reported it, by the Unix clock of the gateway that received
// it. Of two reports the later one wins; merging commutes and is idempotent, so it does not matter in which order reports
// arrive, how often, how late or over how many gateways: an age that each hop measured anew would make a report younger
// each time that it waited for its reader. Reports expire after Lifetime, so a false one does harm for no longer. A gateway
// whose clock is off neither applies nor spreads reports, and has its own alone. Reports on engines that the own list
// does not name are dropped.
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

const (
	// ExtensionKind identifies this subsystem among the extensions of membership.
	ExtensionKind = 1
	// Interval is the time between two datagrams of a gateway for its digest alone: with some 300 gateways it has a report
	// under a second old of nearly every engine, at half a datagram a query where each sees six queries a second.
	Interval = 300 * time.Millisecond
	// Lifetime is when a report expires: after it, the load has little to do with what was reported.
	Lifetime = 5 * time.Second
	// MaxEngines bounds the table.
	MaxEngines = 1024

	ageUnit      = 50 * time.Millisecond // of an age on the wire
	maxClockSkew = time.Second           // that another's clock may be before this one
	maxBase      = 1 << 37               // steps: a time that is in the far future
	maxLoad      = 1 << 16               // queries at an engine that are believed: no engine runs as many
	headerSize   = 16                    // bytes of the lists' tags and lengths, and of the base
)

// LoadReport is the load of an engine at a time.
type LoadReport struct {
	Engine uint64        // its number
	Load   int           // queries running there
	At     time.Duration // when the engine reported it
}

type entry struct {
	number       uint64
	load         int
	at           time.Duration // 0 = nothing is known
	sentSequence uint64        // Counts.Sent when it was last sent; the least recently sent goes first among equals
}

// Digest is one gateway's part.
type Digest struct {
	byShort  map[uint32]*entry
	order    []*entry // freshest first when it was last sorted
	msg      loadreportpb.Digest
	disabled bool
	counts   Counts
}

// Counts are totals since the start.
type Counts struct {
	Recorded, Sent, Received uint64 // reports: of own answers, sent, received
	Applied                  uint64 // received that were later than what was known
	Unlisted, Expired        uint64 // received of engines that the own list does not name; past their life
	Ahead                    uint64 // received from a time to come: a clock is off
	Malformed                uint64 // messages that could not be decoded, or held impossible values
}

// New makes a Digest that knows no engine.
func New() *Digest { return &Digest{byShort: map[uint32]*entry{}} }

// SetEngines sets the engines that the own list names. What is known of others is dropped.
func (d *Digest) SetEngines(numbers []uint64) {
	next := map[uint32]*entry{}
	d.order = d.order[:0]
	for _, n := range numbers {
		short := uint32(n)
		if other, taken := next[short]; taken && other != nil {
			next[short] = nil // two engines of one short number could not be told apart
			continue
		}
		if len(next) == MaxEngines {
			break
		}
		h := d.byShort[short]
		if h == nil || h.number != n {
			h = &entry{number: n}
		}
		next[short] = h
	}
	for short, h := range next {
		if h == nil {
			delete(next, short)
			continue
		}
		d.order = append(d.order, h)
	}
	slices.SortFunc(d.order, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	d.byShort = next
}

// Record takes the load that an engine reported to this gateway at now.
func (d *Digest) Record(now time.Duration, engine uint64, load int) {
	if h := d.byShort[uint32(engine)]; h != nil && h.number == engine && load >= 0 && load < maxLoad {
		d.counts.Recorded++
		h.merge(load, now/ageUnit*ageUnit) // as it stands on the wire, so that it comes back as the same report
	}
}

// merge takes a report over if it is later; of two of one time the higher load holds, wherever they meet.
func (h *entry) merge(load int, at time.Duration) bool {
	if at < h.at || at == h.at && load <= h.load {
		return false
	}
	h.load, h.at = load, at
	return true
}

// Latest returns the latest report on an engine, if it has not expired.
func (d *Digest) Latest(now time.Duration, engine uint64) (LoadReport, bool) {
	h := d.byShort[uint32(engine)]
	if h == nil || h.number != engine || h.at == 0 || now-h.at > Lifetime {
		return LoadReport{}, false
	}
	return LoadReport{engine, h.load, h.at}, true
}

// Counts are totals since the start.
func (d *Digest) Counts() Counts { return d.counts }

// Kind is for membership.
func (d *Digest) Kind() uint32 { return ExtensionKind }

// Disable stops publishing and receiving, or starts both again.
func (d *Digest) Disable(on bool) { d.disabled = on }

// Append appends the latest reports, as many as fit. Within the same half second those sent least recently go first:
// otherwise all gateways would pass on the same few.
func (d *Digest) Append(now time.Duration, _, room int, dst []byte) []byte {
	if d.disabled {
		return dst
	}
	m := &d.msg
	m.Engine, m.Load, m.Age, m.Base = m.Engine[:0], m.Load[:0], m.Age[:0], uint64(now/ageUnit)
	slices.SortFunc(d.order, func(a, b *entry) int {
		const like = 500 * time.Millisecond
		return cmp.Or(cmp.Compare(b.at/like, a.at/like), cmp.Compare(a.sentSequence, b.sentSequence), cmp.Compare(a.number, b.number))
	})
	room -= headerSize
	for _, h := range d.order {
		age := now/ageUnit*ageUnit - h.at
		if h.at == 0 || age > Lifetime || age < 0 {
			continue // one from a clock that is ahead waits until it is past
		}
		load, steps := uint32(h.load), uint32(age/ageUnit)
		size := 4 + protowire.SizeVarint(uint64(load)) + protowire.SizeVarint(uint64(steps))
		if size > room {
			break
		}
		room -= size
		m.Engine = binary.LittleEndian.AppendUint32(m.Engine, uint32(h.number))
		m.Load, m.Age = append(m.Load, load), append(m.Age, steps)
		d.counts.Sent++
		h.sentSequence = d.counts.Sent
	}
	if len(m.Load) == 0 {
		return dst
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, m)
	if err != nil {
		return dst // no message of this form fails to encode
	}
	return out
}

// Receive takes a message of another gateway and returns the reports that are newer than what was known here.
func (d *Digest) Receive(now time.Duration, body []byte) []LoadReport {
	if d.disabled {
		return nil
	}
	var m loadreportpb.Digest
	if proto.Unmarshal(body, &m) != nil || len(m.Engine) != 4*len(m.Load) || len(m.Age) != len(m.Load) ||
		m.Base > maxBase {
		d.counts.Malformed++
		return nil
	}
	var applied []LoadReport
	for k, load := range m.Load {
		d.counts.Received++
		at := time.Duration(m.Base)*ageUnit - time.Duration(m.Age[k])*ageUnit
		h := d.byShort[binary.LittleEndian.Uint32(m.Engine[4*k:])]
		switch {
		case h == nil:
			d.counts.Unlisted++
		case load >= maxLoad:
			d.counts.Malformed++
		case at > now+maxClockSkew:
			d.counts.Ahead++
		case now-at > Lifetime:
			d.counts.Expired++
		case h.merge(int(load), at):
			d.counts.Applied++
			applied = append(applied, LoadReport{h.number, h.load, h.at})
		}
	}
	return applied
}
