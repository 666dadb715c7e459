package simproto

import (
	"encoding/binary"
	"math"
)

// Maximum values of fields.
const (
	maxLoadValues = 4
	maxHealth     = 2
)

// engineEntrySize is the size of an encoded EngineEntry, in bytes.
const engineEntrySize = 24

// cursor reads or writes the fields of one record in wire order. Each method reads a field into its argument or, if
// writing is set, encodes its argument. Fixed-size fields are stored in record; variable-length fields are stored in the
// frame's tail, and record contains references to them.
type cursor struct {
	record  []byte
	offset  int // offset in record of the next field
	writing bool
	tail    []byte
	err     error // first error
}

// next returns the next n bytes of the record and advances the offset.
func (c *cursor) next(n int) []byte {
	b := c.record[c.offset : c.offset+n]
	c.offset += n
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

func (c *cursor) loadReport(v *LoadReport) {
	c.u8(&v.Count)
	if v.Count > maxLoadValues {
		c.setLimitError("number of load values", uint64(v.Count), maxLoadValues)
		v.Count = 0
	}
	for i := range v.Values {
		c.f32(&v.Values[i])
	}
}

// tailReference reads or writes a reference to elements of the given size in the tail: their offset and their number.
// When reading, it returns the referenced bytes. When writing, it returns nil, and the caller must append the elements to
// the tail.
func (c *cursor) tailReference(count, elementSize int) []byte {
	offset, elements := uint32(len(c.tail)), uint32(count)
	c.u32(&offset)
	c.u32(&elements)
	if c.writing {
		return nil
	}
	end := uint64(offset) + uint64(elements)*uint64(elementSize)
	if end > uint64(len(c.tail)) {
		c.setLimitError("end of tail reference", end, uint64(len(c.tail)))
		return nil
	}
	return c.tail[offset:end]
}

func (c *cursor) bytes(v *[]byte) {
	b := c.tailReference(len(*v), 1)
	if c.writing {
		c.tail = append(c.tail, *v...)
		return
	}
	*v = append([]byte(nil), b...)
}

func (c *cursor) entries(v *[]EngineEntry) {
	b := c.tailReference(len(*v), engineEntrySize)
	if c.writing {
		c.appendEntries(*v)
		return
	}
	*v = make([]EngineEntry, len(b)/engineEntrySize)
	for i := range *v {
		element := cursor{record: b[i*engineEntrySize : (i+1)*engineEntrySize]}
		element.entry(&(*v)[i])
		if health := (*v)[i].Health; health > maxHealth {
			c.setLimitError("engine health", uint64(health), maxHealth)
		}
	}
}

// appendEntries appends the encoded entries to the tail.
func (c *cursor) appendEntries(entries []EngineEntry) {
	for i := range entries {
		element := cursor{record: make([]byte, engineEntrySize), writing: true}
		element.entry(&entries[i])
		c.tail = append(c.tail, element.record...)
	}
}

func (c *cursor) entry(e *EngineEntry) {
	c.engine(&e.Engine)
	c.u8(&e.Zone)
	c.u16(&e.MachineType)
	c.u16(&e.Cell)
	c.u8(&e.Health)
	c.f32(&e.Scale)
	c.u64(&e.Started)
}

// setLimitError sets err, unless it is set already, for a field that is out of bounds. Reading continues, so that the
// methods that read fields need no error results.
func (c *cursor) setLimitError(field string, value, limit uint64) {
	if c.err == nil {
		c.err = &LimitError{Field: field, Value: value, Limit: limit}
	}
}
