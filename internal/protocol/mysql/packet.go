package mysql

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// errMalformedPacket is wrapped by every error about bytes that violate the protocol.
var errMalformedPacket = errors.New("malformed packet")

// packetSizeError reports a packet whose payload is larger than the receiver accepts. It matches errMalformedPacket.
type packetSizeError struct{ size, limit int } // payload bytes

// Error gives the payload size and the limit.
func (e *packetSizeError) Error() string {
	return fmt.Sprintf("%v: payload of %d bytes, limit %d", errMalformedPacket, e.size, e.limit)
}

// Unwrap makes errors.Is match errMalformedPacket.
func (e *packetSizeError) Unwrap() error { return errMalformedPacket }

// packet is one complete packet of the protocol.
type packet struct {
	sequenceID byte
	payload    []byte
	raw        []byte // header and payload as received
}

// framer splits a byte stream into packets with a payload of at most maxPayload bytes.
type framer struct {
	buf        []byte
	maxPayload int
}

func (f *framer) append(b []byte) { f.buf = append(f.buf, b...) }

// nextPacket returns the next complete packet; ok is false while it is incomplete.
func (f *framer) nextPacket() (p packet, ok bool, err error) {
	if len(f.buf) < headerSize {
		return packet{}, false, nil
	}
	size := payloadLength(f.buf)
	// A payload of the protocol's maximum size, which continues in the next packet, is over every limit that is used here.
	if size > f.maxPayload {
		return packet{}, false, &packetSizeError{size: size, limit: f.maxPayload}
	}
	if len(f.buf) < headerSize+size {
		return packet{}, false, nil
	}
	raw := append([]byte(nil), f.buf[:headerSize+size]...)
	f.buf = f.buf[headerSize+size:]
	if len(f.buf) == 0 {
		f.buf = nil // releases the memory of an idle connection
	}
	return packet{sequenceID: raw[3], payload: raw[headerSize:], raw: raw}, true, nil
}

// payloadLength reads the three-byte little-endian length at the start of b.
func payloadLength(b []byte) int { return int(b[0]) | int(b[1])<<8 | int(b[2])<<16 }

// frame prepends the packet header to a payload of less than maxPayload bytes.
func frame(sequenceID byte, payload []byte) []byte {
	size := len(payload)
	return append([]byte{byte(size), byte(size >> 8), byte(size >> 16), sequenceID}, payload...)
}

// commandPacket returns a command. Its sequence id is always 0.
func commandPacket(code byte, parts ...[]byte) []byte {
	payload := []byte{code}
	for _, part := range parts {
		payload = append(payload, part...)
	}
	return frame(0, payload)
}

func okPacket(sequenceID byte) []byte {
	return frame(sequenceID, []byte{okHeader, 0, 0, serverStatusAutocommit, 0, 0, 0})
}

func eofPacket(sequenceID byte) []byte {
	return frame(sequenceID, []byte{eofHeader, 0, 0, serverStatusAutocommit, 0})
}

func errPacket(sequenceID byte, code int, message string) []byte {
	state, known := sqlStates[code]
	if !known {
		state = defaultSQLState
	}
	payload := binary.LittleEndian.AppendUint16([]byte{errHeader}, uint16(code))
	payload = append(payload, sqlStateMarker)
	payload = append(payload, state+message...)
	return frame(sequenceID, payload)
}

// errPacketCode returns the error code of an ERR packet, or 0 if the payload is too short.
func errPacketCode(payload []byte) int {
	if len(payload) < 3 {
		return 0
	}
	return int(binary.LittleEndian.Uint16(payload[1:]))
}

func isEOFPacket(payload []byte) bool {
	return len(payload) > 0 && len(payload) <= maxEOFPayload && payload[0] == eofHeader
}
