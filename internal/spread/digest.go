// Package spread holds what the gateways of a fleet know together of the engines' load. A gateway that is one of
// hundreds hears of most engines seldom: what each learns rides on membership's datagrams to the others. It is state
// and decisions alone: it knows no socket, clock or goroutine.
//
// A word on an engine is the load that a report told and when, by the Unix clock of the gateway that had the report. Of
// two words the later one holds; merging commutes and is idempotent, so it does not matter in which order words come,
// how often, how late or over how many gateways: an age that each hop measured anew would make a word younger each
// time that it waited for its reader. Words end after Life, so a false one does harm for no longer. A gateway whose
// clock is off hears nothing and is not heard, and has its own reports. Engines that the own list does not name are
// not heard of.
package spread

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"frostpier/internal/spread/spreadpb"
)

const (
	// RiderKind names this subsystem among membership's riders.
	RiderKind = 1
	// Every is the time between two datagrams of a gateway for its digest alone: with some 300 gateways it has a word
	// under a second old of nearly every engine, at half a datagram a query where each sees six queries a second.
	Every = 300 * time.Millisecond
	// Life is how long a word holds: after it, the load has little to do with what was told.
	Life = 5 * time.Second
	// MostEngines bounds the table.
	MostEngines = 1024

	step     = 50 * time.Millisecond // of an age on the wire
	ahead    = time.Second           // that another's clock may be before this one
	mostBase = 1 << 37               // steps: a time that is in the far future
	mostLoad = 1 << 16               // queries at an engine that are believed: no engine runs as many
	heads    = 16                    // bytes of the lists' tags and lengths, and of the base
)

// Word is what was told of an engine.
type Word struct {
	Engine uint64        // its number
	Load   int           // queries running there
	At     time.Duration // when an engine's report told so
}

type held struct {
	number uint64
	load   int
	at     time.Duration // 0 = nothing is known
	told   uint64        // count of datagrams at which it was last told; older ones go first among equals
}

// Digest is one gateway's part.
type Digest struct {
	byShort map[uint32]*held
	order   []*held // freshest first when it was last sorted
	msg     spreadpb.Digest
	mute    bool
	counts  Counts
}

// Counts are totals since the start.
type Counts struct {
	Noted, Told, Heard uint64 // words: of own reports, sent, received
	News               uint64 // received that were later than what was known
	Unlisted, Late     uint64 // received of engines that the own list does not name; past their life
	Ahead              uint64 // received from a time to come: a clock is off
	Garbled            uint64 // messages that could not be read, or said what cannot be
}

// New makes a Digest that knows no engine.
func New() *Digest { return &Digest{byShort: map[uint32]*held{}} }

// List sets the engines that the own list names. What is known of others is dropped.
func (d *Digest) List(numbers []uint64) {
	next := map[uint32]*held{}
	d.order = d.order[:0]
	for _, n := range numbers {
		short := uint32(n)
		if other, taken := next[short]; taken && other != nil {
			next[short] = nil // two engines of one short number could not be told apart
			continue
		}
		if len(next) == MostEngines {
			break
		}
		h := d.byShort[short]
		if h == nil || h.number != n {
			h = &held{number: n}
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
	slices.SortFunc(d.order, func(a, b *held) int { return cmp.Compare(a.number, b.number) })
	d.byShort = next
}

// Note takes in what an engine's own report told at now.
func (d *Digest) Note(now time.Duration, engine uint64, load int) {
	if h := d.byShort[uint32(engine)]; h != nil && h.number == engine && load >= 0 && load < mostLoad {
		d.counts.Noted++
		h.merge(load, now/step*step) // as it stands on the wire, so that it comes back as the same word
	}
}

// merge takes a word over if it is later; of two of one time the higher load holds, wherever they meet.
func (h *held) merge(load int, at time.Duration) bool {
	if at < h.at || at == h.at && load <= h.load {
		return false
	}
	h.load, h.at = load, at
	return true
}

// Known is what is known of an engine.
func (d *Digest) Known(now time.Duration, engine uint64) (Word, bool) {
	h := d.byShort[uint32(engine)]
	if h == nil || h.number != engine || h.at == 0 || now-h.at > Life {
		return Word{}, false
	}
	return Word{engine, h.load, h.at}, true
}

// Counts are totals since the start.
func (d *Digest) Counts() Counts { return d.counts }

// Kind is for membership.
func (d *Digest) Kind() uint32 { return RiderKind }

// Mute has nothing told and nothing heard, or both again.
func (d *Digest) Mute(on bool) { d.mute = on }

// Ride writes the freshest words, as many as fit. What was told of late gives way to what was not, within the same
// half second: else all would pass on the same few.
func (d *Digest) Ride(now time.Duration, _, room int, dst []byte) []byte {
	if d.mute {
		return dst
	}
	m := &d.msg
	m.Engine, m.Load, m.Age, m.Base = m.Engine[:0], m.Load[:0], m.Age[:0], uint64(now/step)
	slices.SortFunc(d.order, func(a, b *held) int {
		const like = 500 * time.Millisecond
		return cmp.Or(cmp.Compare(b.at/like, a.at/like), cmp.Compare(a.told, b.told), cmp.Compare(a.number, b.number))
	})
	room -= heads
	for _, h := range d.order {
		age := now/step*step - h.at
		if h.at == 0 || age > Life || age < 0 {
			continue // one from a clock that is ahead waits until it is past
		}
		load, steps := uint32(h.load), uint32(age/step)
		size := 4 + protowire.SizeVarint(uint64(load)) + protowire.SizeVarint(uint64(steps))
		if size > room {
			break
		}
		room -= size
		m.Engine = binary.LittleEndian.AppendUint32(m.Engine, uint32(h.number))
		m.Load, m.Age = append(m.Load, load), append(m.Age, steps)
		d.counts.Told++
		h.told = d.counts.Told
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

// Hear takes a message of another gateway and returns the words that are news here.
func (d *Digest) Hear(now time.Duration, body []byte) []Word {
	if d.mute {
		return nil
	}
	var m spreadpb.Digest
	if proto.Unmarshal(body, &m) != nil || len(m.Engine) != 4*len(m.Load) || len(m.Age) != len(m.Load) ||
		m.Base > mostBase {
		d.counts.Garbled++
		return nil
	}
	var news []Word
	for k, load := range m.Load {
		d.counts.Heard++
		at := time.Duration(m.Base)*step - time.Duration(m.Age[k])*step
		h := d.byShort[binary.LittleEndian.Uint32(m.Engine[4*k:])]
		switch {
		case h == nil:
			d.counts.Unlisted++
		case load >= mostLoad:
			d.counts.Garbled++
		case at > now+ahead:
			d.counts.Ahead++
		case now-at > Life:
			d.counts.Late++
		case h.merge(int(load), at):
			d.counts.News++
			news = append(news, Word{h.number, h.load, h.at})
		}
	}
	return news
}
