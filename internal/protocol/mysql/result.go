package mysql

import (
	"encoding/binary"
	"fmt"
)

// result follows an engine's answer to a query, as it comes in: the head is kept until the first row, and rows
// pass in whatever pieces they come.
type result struct {
	buf     []byte
	head    []byte // whole packets that are not passed on yet
	columns int
	defs    int
	rows    bool // the definitions are through
	began   bool // a row went out
	left    int  // bytes of a row that are still to come
	more    bool // the row goes on in a further packet
	seq     byte // of the last packet passed on
	over    bool
	failed  int // code of the error that ended it
}

// feed takes bytes in. pass goes to the client at once; last, once over, is the end of the answer.
func (r *result) feed(b []byte) (pass, last []byte, err error) {
	r.buf = append(r.buf, b...)
	for !r.over {
		if r.left > 0 {
			n := min(r.left, len(r.buf))
			pass, r.buf, r.left = append(pass, r.buf[:n]...), r.buf[n:], r.left-n
			if r.left > 0 {
				return pass, nil, nil
			}
		}
		if len(r.buf) < headSize+1 {
			return pass, nil, nil
		}
		n := length(r.buf)
		if row := r.rows && (r.more || !control(r.buf[headSize], n)); row {
			pass = r.row(pass, n)
			continue
		}
		if n > maxControl || n == 0 {
			return pass, nil, fmt.Errorf("%w: %d bytes in an answer's head", errPacket, n)
		}
		if len(r.buf) < headSize+n {
			return pass, nil, nil
		}
		p := packet{seq: r.buf[3], payload: r.buf[headSize : headSize+n], raw: r.buf[:headSize+n]}
		if err := r.control(p); err != nil {
			return pass, nil, err
		}
		r.buf = r.buf[headSize+n:]
	}
	if len(r.buf) > 0 {
		return pass, nil, fmt.Errorf("%w: bytes behind an answer", errPacket)
	}
	last, r.head = r.head, nil
	return pass, last, nil
}

// control reports whether a packet behind the definitions is the end or an error; anything else is a row.
func control(first byte, n int) bool { return first == 0xff || first == 0xfe && n < 9 }

// row starts to pass a row on, with the head before the first.
func (r *result) row(pass []byte, n int) []byte {
	pass = append(append(pass, r.head...), r.buf[:headSize]...)
	r.seq, r.head, r.began = r.buf[3], nil, true
	r.left, r.more, r.buf = n, n == fullPayload, r.buf[headSize:]
	return pass
}

// control takes a packet that is not a row.
func (r *result) control(p packet) error {
	if len(r.head)+len(p.raw) > maxHead {
		return fmt.Errorf("%w: an answer's head over %d bytes", errPacket, maxHead)
	}
	r.head = append(r.head, p.raw...)
	first := p.payload[0]
	switch {
	case first == 0xff:
		r.over, r.failed = true, errorCode(p.payload)
	case r.rows: // the end of the rows
		r.over = true
		if len(p.payload) >= 5 && binary.LittleEndian.Uint16(p.payload[3:])&8 != 0 {
			return fmt.Errorf("%w: more results than were asked for", errPacket)
		}
	case r.columns == 0 && first == 0:
		r.over = true
	case r.columns == 0:
		c := cursor{b: p.payload}
		if r.columns = c.lenenc(); c.bad || r.columns == 0 || len(c.b) > 0 {
			return fmt.Errorf("%w: an answer starts with %#x", errPacket, first)
		}
	case r.defs < r.columns:
		r.defs++
	case isEOF(p.payload):
		r.rows = true
	default:
		return fmt.Errorf("%w: %#x after the definitions", errPacket, first)
	}
	return nil
}

// broken is what tells the client that an answer under way has no end: an error, or nothing in the middle of a row,
// where only the connection's end can tell.
func (r *result) broken() []byte {
	if r.left > 0 || r.more {
		return nil
	}
	return errorPacket(r.seq+1, errFailed, "the engine broke off in the middle of the rows")
}
