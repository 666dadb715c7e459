package mysql

import "encoding/binary"

// Prefixes of length-encoded integers (MySQL documentation, "Basic Data Types").
const (
	lenencOneByteMax = 0xfa
	lenencTwoBytes   = 0xfc
	lenencThreeBytes = 0xfd
)

// payloadReader reads the fields of a payload in order. A missing field sets malformed, and it and all later
// fields are read as zero. Callers check malformed once at the end.
type payloadReader struct {
	remaining []byte
	malformed bool
}

// next returns the next n bytes, or nil if fewer are left.
func (r *payloadReader) next(n int) []byte {
	if n < 0 || n > len(r.remaining) {
		r.malformed, r.remaining = true, nil
		return nil
	}
	out := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return out
}

func (r *payloadReader) byte() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *payloadReader) uint32() uint32 {
	if b := r.next(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *payloadReader) uint16() uint16 {
	if b := r.next(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

// nulString reads a string<NUL>. Clients may omit the zero byte of the last field, so the end of the payload also ends
// the string.
func (r *payloadReader) nulString() string {
	for i, b := range r.remaining {
		if b == 0 {
			s := string(r.remaining[:i])
			r.remaining = r.remaining[i+1:]
			return s
		}
	}
	s := string(r.remaining)
	r.remaining = nil
	return s
}

// lenencInt reads an int<lenenc> of up to three bytes. The eight-byte form is treated as malformed, because no field that
// is read here can be so long.
func (r *payloadReader) lenencInt() int {
	switch prefix := r.byte(); {
	case prefix <= lenencOneByteMax:
		return int(prefix)
	case prefix == lenencTwoBytes:
		return int(r.uint16())
	case prefix == lenencThreeBytes:
		b := r.next(3)
		if b == nil {
			return 0
		}
		return payloadLength(b)
	}
	r.malformed = true
	return 0
}
