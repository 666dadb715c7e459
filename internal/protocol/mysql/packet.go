// Package mysql speaks the MySQL wire protocol as state machines fed bytes: the front that clients connect to, and
// the exchange that carries one attempt to an engine. It knows no socket and no clock.
package mysql

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The commands that the front knows.
const (
	comQuit       = 0x01
	comInitDB     = 0x02
	comQuery      = 0x03
	comPing       = 0x0e
	comPrepare    = 0x16
	comExecute    = 0x17
	comLongData   = 0x18
	comStmtClose  = 0x19
	comStmtReset  = 0x1a
	headSize      = 4
	fullPayload   = 1<<24 - 1
	maxCommand    = 1 << 20  // of a client's command, and of what a statement holds as long data
	maxControl    = 64 << 10 // of an engine's packet that is not a row
	maxHead       = 1 << 20  // of the column definitions of a result
	maxStatements = 256      // of a client's connection
)

// The capabilities that the front offers and that engines are asked for: results look the same on both sides.
const (
	capLongPassword = 1 << 0
	capLongFlag     = 1 << 2
	capConnectDB    = 1 << 3
	capProtocol41   = 1 << 9
	capTransactions = 1 << 13
	capSecure       = 1 << 15
	capPluginAuth   = 1 << 19
	capAuthLenEnc   = 1 << 21
	capabilities    = capLongPassword | capLongFlag | capConnectDB | capProtocol41 | capTransactions | capSecure | capPluginAuth
	statusAuto      = 2 // autocommit
	charset         = 45
	nativePassword  = "mysql_native_password"
)

// The errors that the front words.
const (
	errTooMany     = 1040
	errAccess      = 1045
	errUnknownCom  = 1047
	errFailed      = 1105
	errTooBig      = 1153
	errNotYet      = 1235
	errUnknownStmt = 1243
	errTooManyStmt = 1461
	errMalformed   = 1835
	errDeadline    = 3024
)

var states = map[int]string{errTooMany: "08004", errAccess: "28000", errUnknownCom: "08S01", errTooBig: "08S01",
	errNotYet: "42000", errTooManyStmt: "42000"}

var errPacket = errors.New("malformed packet")

// packet is one of the protocol's: whole, and as it came.
type packet struct {
	seq     byte
	payload []byte
	raw     []byte
}

// framer cuts a stream into whole packets of at most limit bytes.
type framer struct {
	buf   []byte
	limit int
}

func (f *framer) feed(b []byte) { f.buf = append(f.buf, b...) }

// next returns the next whole packet; ok is false while there is none.
func (f *framer) next() (p packet, ok bool, err error) {
	if len(f.buf) < headSize {
		return packet{}, false, nil
	}
	n := length(f.buf)
	if n > f.limit { // one of full size goes on in a further packet, and is over any limit here as well
		return packet{}, false, fmt.Errorf("%w: %d bytes, %d at most", errPacket, n, f.limit)
	}
	if len(f.buf) < headSize+n {
		return packet{}, false, nil
	}
	raw := append([]byte(nil), f.buf[:headSize+n]...)
	f.buf = f.buf[headSize+n:]
	if len(f.buf) == 0 {
		f.buf = nil
	}
	return packet{seq: raw[3], payload: raw[headSize:], raw: raw}, true, nil
}

func length(b []byte) int { return int(b[0]) | int(b[1])<<8 | int(b[2])<<16 }

// frame wraps a payload of less than full size.
func frame(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

func command(code byte, parts ...[]byte) []byte {
	payload := []byte{code}
	for _, p := range parts {
		payload = append(payload, p...)
	}
	return frame(0, payload)
}

func okPacket(seq byte) []byte { return frame(seq, []byte{0, 0, 0, statusAuto, 0, 0, 0}) }

func eofPacket(seq byte) []byte { return frame(seq, []byte{0xfe, 0, 0, statusAuto, 0}) }

func errorPacket(seq byte, code int, text string) []byte {
	state, known := states[code]
	if !known {
		state = "HY000"
	}
	b := binary.LittleEndian.AppendUint16([]byte{0xff}, uint16(code))
	return frame(seq, append(append(b, '#'), state+text...))
}

// errorCode reads the code of an error packet.
func errorCode(payload []byte) int {
	if len(payload) < 3 {
		return 0
	}
	return int(binary.LittleEndian.Uint16(payload[1:]))
}

func isEOF(payload []byte) bool { return len(payload) < 9 && len(payload) > 0 && payload[0] == 0xfe }

// cursor reads the fields of a payload; after the first that is not there all are empty.
type cursor struct {
	b   []byte
	bad bool
}

func (c *cursor) take(n int) []byte {
	if n < 0 || n > len(c.b) {
		c.bad, c.b = true, nil
		return nil
	}
	out := c.b[:n]
	c.b = c.b[n:]
	return out
}

func (c *cursor) byte() byte {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if b := c.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if b := c.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

// text reads up to a zero byte, or to the end where the last field may leave it out.
func (c *cursor) text() string {
	for i, b := range c.b {
		if b == 0 {
			s := string(c.b[:i])
			c.b = c.b[i+1:]
			return s
		}
	}
	s := string(c.b)
	c.b = nil
	return s
}

// lenenc reads a length-encoded integer.
func (c *cursor) lenenc() int {
	switch n := c.byte(); {
	case n < 0xfb:
		return int(n)
	case n == 0xfc:
		return int(c.u16())
	case n == 0xfd:
		b := c.take(3)
		if b == nil {
			return 0
		}
		return length(b)
	}
	c.bad = true // nothing that is read here is longer
	return 0
}
