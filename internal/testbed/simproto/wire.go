// Package simproto is the binary codec of the bench: bytes to typed frames and back, with every offset checked.
// It decides nothing and knows nothing of the module behind it.
package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the fixed parts of a frame, in bytes.
const (
	EventSize   = 56
	ActionSize  = 24
	entrySize   = 24
	batchHead   = 16
	replyHead   = 8
	maxFrame    = 1 << 28 // a frame longer than this is taken for garbage
	loadFigures = 4
)

// EngineID is an engine's address: four bytes and a port.
type EngineID struct {
	IP   [4]byte
	Port uint16
}

// Load is a load report of up to four figures; N is how many there are.
type Load struct {
	N      uint8
	Values [loadFigures]float32
}

// Entry is one engine in a list.
type Entry struct {
	Engine  EngineID
	Zone    uint8
	Kind    uint16
	Cell    uint16
	Health  uint8
	Scale   float32
	Started uint64
}

// Record is an event or an action: it names its code and lists its fields once, for reading and writing.
type Record interface {
	code() uint8
	fields(c *cursor)
}

// The events.
type (
	// Table is a numbered list of engines that belongs to the process.
	Table struct {
		Bank    uint16
		Entries []Entry
	}
	// Heartbeat is news of a running attempt.
	Heartbeat struct {
		Inst, Request uint32
		Attempt       uint16
		Engine        EngineID
		Kind          uint8
		Amount        float32
	}
	// Flowing says that a streamed answer has begun.
	Flowing struct {
		Inst, Request uint32
		Took          uint64
		Engine        EngineID
		Attempt       uint16
	}
	// Up starts an instance.
	Up struct {
		Inst  uint32
		Seed  uint64
		Setup []byte
	}
	// WorkItem is a request of a client.
	WorkItem struct {
		Inst, Request uint32
		Opts          uint8
		Key           uint64
		NeedMB        float32
		Class, Tenant uint16
		Tables        float32
		Expected      uint64
		Remaining     uint64
	}
	// CheckResult is what a probe found.
	CheckResult struct {
		Inst   uint32
		Engine EngineID
		Ending uint16
		Took   uint64
		Load   Load
	}
	// Whisper is a message of a peer.
	Whisper struct {
		Inst     uint32
		From     uint16
		Contents []byte
	}
	// Vanished says that a client left.
	Vanished struct{ Inst, Request uint32 }
	// Announce tells an instance of the engines.
	Announce struct {
		Inst       uint32
		Bank       uint16
		Generation uint64
		How        uint8
	}
	// Teardown kills an instance.
	Teardown struct{ Inst uint32 }
	// Done is the end of an attempt.
	Done struct {
		Inst, Request uint32
		Attempt       uint16
		Engine        EngineID
		Ending        uint16
		Took          uint64
		Terminal      uint8
		Note          uint32
		Load          Load
	}
	// Due is a timer that came due.
	Due struct {
		Inst  uint32
		Token uint64
	}
)

// The actions.
type (
	// Dispatch starts an attempt.
	Dispatch struct {
		Inst, Request uint32
		Engine        EngineID
		AllowFor      uint64
	}
	// Refuse is the final answer that declines.
	Refuse struct {
		Inst, Request uint32
		ComeBack      uint64
	}
	// Surrender is the final answer that promises nothing.
	Surrender struct{ Inst, Request uint32 }
	// Abandon cancels an attempt.
	Abandon struct {
		Inst, Request uint32
		Attempt       uint16
	}
	// Timer asks for a Due event.
	Timer struct {
		Inst  uint32
		After uint64
		Token uint64
	}
	// HealthCheck probes an engine.
	HealthCheck struct {
		Inst   uint32
		Engine EngineID
	}
	// DropConns closes idle connections to an engine.
	DropConns struct {
		Inst   uint32
		Engine EngineID
	}
	// Tell sends bytes to a peer.
	Tell struct {
		Inst, Addressee uint32
		Contents        []byte
	}
	// Debug writes a line of the report.
	Debug struct {
		Inst uint32
		Text []byte
	}
	// Fatal declares the decision code broken.
	Fatal struct {
		Inst uint32
		Text []byte
	}
	// KeepInformed subscribes to the list of engines, or ends that.
	KeepInformed struct {
		Inst uint32
		Want uint8
	}
	// Fetch asks for the full list once.
	Fetch struct{ Inst uint32 }
	// SetTerms sets memory and priority of a request.
	SetTerms struct {
		Inst, Request uint32
		GrantMB       float32
		Priority      uint8
	}
)

func (*Table) code() uint8       { return 0 }
func (*Heartbeat) code() uint8   { return 1 }
func (*Flowing) code() uint8     { return 2 }
func (*Up) code() uint8          { return 3 }
func (*WorkItem) code() uint8    { return 4 }
func (*CheckResult) code() uint8 { return 5 }
func (*Whisper) code() uint8     { return 6 }
func (*Vanished) code() uint8    { return 7 }
func (*Announce) code() uint8    { return 8 }
func (*Teardown) code() uint8    { return 9 }
func (*Done) code() uint8        { return 10 }
func (*Due) code() uint8         { return 11 }

func (*Dispatch) code() uint8     { return 64 }
func (*Refuse) code() uint8       { return 65 }
func (*Surrender) code() uint8    { return 66 }
func (*Abandon) code() uint8      { return 67 }
func (*Timer) code() uint8        { return 68 }
func (*HealthCheck) code() uint8  { return 69 }
func (*DropConns) code() uint8    { return 70 }
func (*Tell) code() uint8         { return 71 }
func (*Debug) code() uint8        { return 72 }
func (*Fatal) code() uint8        { return 73 }
func (*KeepInformed) code() uint8 { return 74 }
func (*Fetch) code() uint8        { return 75 }
func (*SetTerms) code() uint8     { return 76 }

func newRecord(code uint8) Record {
	switch code {
	case 0:
		return &Table{}
	case 1:
		return &Heartbeat{}
	case 2:
		return &Flowing{}
	case 3:
		return &Up{}
	case 4:
		return &WorkItem{}
	case 5:
		return &CheckResult{}
	case 6:
		return &Whisper{}
	case 7:
		return &Vanished{}
	case 8:
		return &Announce{}
	case 9:
		return &Teardown{}
	case 10:
		return &Done{}
	case 11:
		return &Due{}
	case 64:
		return &Dispatch{}
	case 65:
		return &Refuse{}
	case 66:
		return &Surrender{}
	case 67:
		return &Abandon{}
	case 68:
		return &Timer{}
	case 69:
		return &HealthCheck{}
	case 70:
		return &DropConns{}
	case 71:
		return &Tell{}
	case 72:
		return &Debug{}
	case 73:
		return &Fatal{}
	case 74:
		return &KeepInformed{}
	case 75:
		return &Fetch{}
	case 76:
		return &SetTerms{}
	}
	return nil
}

func (r *Table) fields(c *cursor) { c.u16(&r.Bank); c.entries(&r.Entries) }
func (r *Heartbeat) fields(c *cursor) {
	c.u32(&r.Inst)
	c.u32(&r.Request)
	c.u16(&r.Attempt)
	c.engine(&r.Engine)
	c.u8(&r.Kind)
	c.f32(&r.Amount)
}
func (r *Flowing) fields(c *cursor) {
	c.u32(&r.Inst)
	c.u32(&r.Request)
	c.u64(&r.Took)
	c.engine(&r.Engine)
	c.u16(&r.Attempt)
}
func (r *Up) fields(c *cursor) { c.u32(&r.Inst); c.u64(&r.Seed); c.bytes(&r.Setup) }
func (r *WorkItem) fields(c *cursor) {
	c.u32(&r.Inst)
	c.u32(&r.Request)
	c.u8(&r.Opts)
	c.u64(&r.Key)
	c.f32(&r.NeedMB)
	c.u16(&r.Class)
	c.u16(&r.Tenant)
	c.f32(&r.Tables)
	c.u64(&r.Expected)
	c.u64(&r.Remaining)
}
func (r *CheckResult) fields(c *cursor) {
	c.u32(&r.Inst)
	c.engine(&r.Engine)
	c.u16(&r.Ending)
	c.u64(&r.Took)
	c.load(&r.Load)
}
func (r *Whisper) fields(c *cursor)  { c.u32(&r.Inst); c.u16(&r.From); c.bytes(&r.Contents) }
func (r *Vanished) fields(c *cursor) { c.u32(&r.Inst); c.u32(&r.Request) }
func (r *Announce) fields(c *cursor) {
	c.u32(&r.Inst)
	c.u16(&r.Bank)
	c.u64(&r.Generation)
	c.u8(&r.How)
}
func (r *Teardown) fields(c *cursor) { c.u32(&r.Inst) }
func (r *Done) fields(c *cursor) {
	c.u32(&r.Inst)
	c.u32(&r.Request)
	c.u16(&r.Attempt)
	c.engine(&r.Engine)
	c.u16(&r.Ending)
	c.u64(&r.Took)
	c.u8(&r.Terminal)
	c.u32(&r.Note)
	c.load(&r.Load)
}
func (r *Due) fields(c *cursor) { c.u32(&r.Inst); c.u64(&r.Token) }

func (r *Dispatch) fields(c *cursor) {
	c.u32(&r.Inst)
	c.u32(&r.Request)
	c.engine(&r.Engine)
	c.u64(&r.AllowFor)
}
func (r *Refuse) fields(c *cursor)       { c.u32(&r.Inst); c.u32(&r.Request); c.u64(&r.ComeBack) }
func (r *Surrender) fields(c *cursor)    { c.u32(&r.Inst); c.u32(&r.Request) }
func (r *Abandon) fields(c *cursor)      { c.u32(&r.Inst); c.u32(&r.Request); c.u16(&r.Attempt) }
func (r *Timer) fields(c *cursor)        { c.u32(&r.Inst); c.u64(&r.After); c.u64(&r.Token) }
func (r *HealthCheck) fields(c *cursor)  { c.u32(&r.Inst); c.engine(&r.Engine) }
func (r *DropConns) fields(c *cursor)    { c.u32(&r.Inst); c.engine(&r.Engine) }
func (r *Tell) fields(c *cursor)         { c.u32(&r.Inst); c.u32(&r.Addressee); c.bytes(&r.Contents) }
func (r *Debug) fields(c *cursor)        { c.u32(&r.Inst); c.bytes(&r.Text) }
func (r *Fatal) fields(c *cursor)        { c.u32(&r.Inst); c.bytes(&r.Text) }
func (r *KeepInformed) fields(c *cursor) { c.u32(&r.Inst); c.u8(&r.Want) }
func (r *Fetch) fields(c *cursor)        { c.u32(&r.Inst) }
func (r *SetTerms) fields(c *cursor) {
	c.u32(&r.Inst)
	c.u32(&r.Request)
	c.f32(&r.GrantMB)
	c.u8(&r.Priority)
}

// cursor walks over one record; the same calls read it or, with writing set, write it.
type cursor struct {
	rec     []byte
	at      int
	writing bool
	tail    []byte
	err     error
}

func (c *cursor) next(n int) []byte {
	b := c.rec[c.at : c.at+n]
	c.at += n
	return b
}

func (c *cursor) u8(v *uint8) {
	b := c.next(1)
	if c.writing {
		b[0] = *v
		return
	}
	*v = b[0]
}

func (c *cursor) u16(v *uint16) {
	b := c.next(2)
	if c.writing {
		binary.LittleEndian.PutUint16(b, *v)
		return
	}
	*v = binary.LittleEndian.Uint16(b)
}

func (c *cursor) u32(v *uint32) {
	b := c.next(4)
	if c.writing {
		binary.LittleEndian.PutUint32(b, *v)
		return
	}
	*v = binary.LittleEndian.Uint32(b)
}

func (c *cursor) u64(v *uint64) {
	b := c.next(8)
	if c.writing {
		binary.LittleEndian.PutUint64(b, *v)
		return
	}
	*v = binary.LittleEndian.Uint64(b)
}

func (c *cursor) f32(v *float32) {
	bits := math.Float32bits(*v)
	c.u32(&bits)
	*v = math.Float32frombits(bits)
}

func (c *cursor) engine(v *EngineID) {
	for i := range v.IP {
		c.u8(&v.IP[i])
	}
	c.u16(&v.Port)
}

func (c *cursor) load(v *Load) {
	c.u8(&v.N)
	if v.N > loadFigures {
		c.fail("a load report of %d figures", v.N)
		v.N = 0
	}
	for i := range v.Values {
		c.f32(&v.Values[i])
	}
}

// span reads or writes a reference to the tail: offset and count of units of the given size.
func (c *cursor) span(count int, unit int) []byte {
	off, n := uint32(len(c.tail)), uint32(count)
	c.u32(&off)
	c.u32(&n)
	if c.writing {
		return nil
	}
	size := uint64(n) * uint64(unit)
	if uint64(off)+size > uint64(len(c.tail)) {
		c.fail("bytes %d to %d of a tail of %d", off, uint64(off)+size, len(c.tail))
		return nil
	}
	return c.tail[off : uint64(off)+size]
}

func (c *cursor) bytes(v *[]byte) {
	b := c.span(len(*v), 1)
	if c.writing {
		c.tail = append(c.tail, *v...)
		return
	}
	*v = append([]byte(nil), b...)
}

func (c *cursor) entries(v *[]Entry) {
	b := c.span(len(*v), entrySize)
	if c.writing {
		for i := range *v {
			row := cursor{rec: make([]byte, entrySize), writing: true}
			row.entry(&(*v)[i])
			c.tail = append(c.tail, row.rec...)
		}
		return
	}
	*v = make([]Entry, len(b)/entrySize)
	for i := range *v {
		row := cursor{rec: b[i*entrySize : (i+1)*entrySize]}
		row.entry(&(*v)[i])
		if (*v)[i].Health > 2 {
			c.fail("an engine of health %d", (*v)[i].Health)
		}
	}
}

func (c *cursor) entry(e *Entry) {
	c.engine(&e.Engine)
	c.u8(&e.Zone)
	c.u16(&e.Kind)
	c.u16(&e.Cell)
	c.u8(&e.Health)
	c.f32(&e.Scale)
	c.u64(&e.Started)
}

func (c *cursor) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("malformed frame: "+format, args...)
	}
}

// decode reads count records of the given size from body; first and last bound the codes allowed.
func decode(body []byte, count uint32, size int, first, last uint8) ([]Record, error) {
	if uint64(count)*uint64(size) > uint64(len(body)) {
		return nil, fmt.Errorf("malformed frame: %d records do not fit %d bytes", count, len(body))
	}
	tail := body[int(count)*size:]
	out := make([]Record, 0, count)
	for i := range int(count) {
		rec := body[i*size : (i+1)*size]
		if rec[0] < first || rec[0] > last {
			return nil, fmt.Errorf("malformed frame: record %d has unknown code %d", i, rec[0])
		}
		r := newRecord(rec[0])
		c := cursor{rec: rec, at: 1, tail: tail}
		r.fields(&c)
		if c.err != nil {
			return nil, fmt.Errorf("record %d: %w", i, c.err)
		}
		out = append(out, r)
	}
	return out, nil
}

func encode(dst []byte, records []Record, size int) []byte {
	base := len(dst)
	dst = append(dst, make([]byte, len(records)*size)...)
	c := cursor{writing: true}
	for i, r := range records {
		c.rec, c.at = dst[base+i*size:base+(i+1)*size], 1
		c.rec[0] = r.code()
		r.fields(&c)
	}
	return append(dst, c.tail...)
}

// Batch is what the simulator sends: events at one moment, in nanoseconds of its clock.
type Batch struct {
	Now    uint64
	Events []Record
}

// ReadBatch reads the next batch; io.EOF means that the input ended between two frames.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [batchHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("malformed frame: header cut short: %w", err)
	}
	body, err := readBody(r, binary.LittleEndian.Uint32(head[:]))
	if err != nil {
		return Batch{}, err
	}
	events, err := decode(body, binary.LittleEndian.Uint32(head[4:]), EventSize, 0, 11)
	return Batch{Now: binary.LittleEndian.Uint64(head[8:]), Events: events}, err
}

func readBody(r io.Reader, n uint32) ([]byte, error) {
	if n > maxFrame {
		return nil, fmt.Errorf("malformed frame: %d bytes announced, %d at most", n, maxFrame)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("malformed frame: body cut short: %w", err)
	}
	return body, nil
}

// AppendBatch encodes a batch behind dst.
func AppendBatch(dst []byte, b Batch) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, batchHead)...)
	dst = encode(dst, b.Events, EventSize)
	binary.LittleEndian.PutUint32(dst[at:], uint32(len(dst)-at-batchHead))
	binary.LittleEndian.PutUint32(dst[at+4:], uint32(len(b.Events)))
	binary.LittleEndian.PutUint64(dst[at+8:], b.Now)
	return dst
}

// ReadReply reads a reply, as the simulator would.
func ReadReply(r io.Reader) ([]Record, error) {
	var head [replyHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("malformed frame: header cut short: %w", err)
	}
	body, err := readBody(r, binary.LittleEndian.Uint32(head[:]))
	if err != nil {
		return nil, err
	}
	return decode(body, binary.LittleEndian.Uint32(head[4:]), ActionSize, 64, 76)
}

// AppendReply encodes a reply behind dst.
func AppendReply(dst []byte, actions []Record) []byte {
	at := len(dst)
	dst = append(dst, make([]byte, replyHead)...)
	dst = encode(dst, actions, ActionSize)
	binary.LittleEndian.PutUint32(dst[at:], uint32(len(dst)-at-replyHead))
	binary.LittleEndian.PutUint32(dst[at+4:], uint32(len(actions)))
	return dst
}
