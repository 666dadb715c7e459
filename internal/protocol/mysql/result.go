package mysql

import (
	"encoding/binary"
	"fmt"
)

// resultStream relays an engine's response to a query while it arrives. It holds back the metadata (column count, column
// definitions, EOF packet) until the first row, so that a failed query can still be retried. Rows are relayed as they
// arrive, also in part.
type resultStream struct {
	buf             []byte
	metadata        []byte // complete packets that have not been relayed yet
	columnCount     int    // 0 until it has been read
	definitionsRead int
	inRows          bool // the metadata has been read
	rowsRelayed     bool
	rowBytesLeft    int  // payload bytes of the current row packet that are not relayed yet
	rowContinues    bool // the current row continues in a further packet
	sequenceID      byte // sequence id of the last row packet relayed
	complete        bool
	errCode         int // error code of the ERR packet that ended the result, or 0
}

// received handles bytes of the response. relay must be sent to the client at once; last is the rest of the response when it
// is complete. An error wraps errMalformedPacket; relay is valid nevertheless.
func (r *resultStream) received(b []byte) (relay, last []byte, err error) {
	r.buf = append(r.buf, b...)
	for !r.complete {
		relay = r.relayRow(relay)
		if r.rowBytesLeft > 0 || len(r.buf) < headerSize+1 {
			return relay, nil, nil
		}
		size := payloadLength(r.buf)
		if r.inRows && (r.rowContinues || !endsRows(r.buf[headerSize], size)) {
			relay = r.beginRow(relay, size)
			continue
		}
		accepted, err := r.acceptNonRow(size)
		if err != nil || !accepted {
			return relay, nil, err
		}
	}
	if len(r.buf) > 0 {
		return relay, nil, fmt.Errorf("%w: %d bytes after the end of a result", errMalformedPacket, len(r.buf))
	}
	last, r.metadata = r.metadata, nil
	return relay, last, nil
}

// relayRow appends the received part of the current row packet to relay.
func (r *resultStream) relayRow(relay []byte) []byte {
	n := min(r.rowBytesLeft, len(r.buf))
	relay = append(relay, r.buf[:n]...)
	r.buf = r.buf[n:]
	r.rowBytesLeft -= n
	return relay
}

// endsRows reports whether a packet after the metadata is an EOF or ERR packet. Any other packet is a row.
func endsRows(header byte, size int) bool {
	return header == errHeader || header == eofHeader && size <= maxEOFPayload
}

// beginRow appends the header of a row packet to relay, preceded by the metadata if it is the first row.
func (r *resultStream) beginRow(relay []byte, size int) []byte {
	relay = append(relay, r.metadata...)
	relay = append(relay, r.buf[:headerSize]...)
	r.sequenceID, r.metadata, r.rowsRelayed = r.buf[3], nil, true
	r.rowBytesLeft, r.rowContinues = size, size == maxPayload
	r.buf = r.buf[headerSize:]
	return relay
}

// acceptNonRow handles the packet at the start of the buffer, which is not a row. accepted is false while the packet is
// incomplete.
func (r *resultStream) acceptNonRow(size int) (accepted bool, err error) {
	if size == 0 {
		return false, fmt.Errorf("%w: empty payload in a result", errMalformedPacket)
	}
	if size > maxNonRowPacket {
		return false, &packetSizeError{size: size, limit: maxNonRowPacket}
	}
	if len(r.buf) < headerSize+size {
		return false, nil
	}
	raw := r.buf[:headerSize+size]
	if len(r.metadata)+len(raw) > maxResultMetadata {
		return false, fmt.Errorf("%w: result metadata over %d bytes", errMalformedPacket, maxResultMetadata)
	}
	r.metadata = append(r.metadata, raw...)
	if err := r.acceptPacket(raw[headerSize:]); err != nil {
		return false, err
	}
	r.buf = r.buf[headerSize+size:]
	return true, nil
}

// acceptPacket handles the payload of a packet that is not a row.
func (r *resultStream) acceptPacket(payload []byte) error {
	header := payload[0]
	switch {
	case header == errHeader:
		r.complete, r.errCode = true, errPacketCode(payload)
	case r.inRows:
		return r.acceptRowsEnd(payload)
	case r.columnCount == 0 && header == okHeader:
		r.complete = true
	case r.columnCount == 0:
		return r.acceptColumnCount(payload)
	case r.definitionsRead < r.columnCount:
		r.definitionsRead++
	case isEOFPacket(payload):
		r.inRows = true
	default:
		return fmt.Errorf("%w: header %#x after the column definitions", errMalformedPacket, header)
	}
	return nil
}

// acceptRowsEnd handles the EOF packet after the rows. The gateway sends single statements only, so no further
// result may follow.
func (r *resultStream) acceptRowsEnd(payload []byte) error {
	r.complete = true
	if len(payload) >= 5 && binary.LittleEndian.Uint16(payload[3:])&serverMoreResultsExist != 0 {
		return fmt.Errorf("%w: unexpected second result", errMalformedPacket)
	}
	return nil
}

func (r *resultStream) acceptColumnCount(payload []byte) error {
	fields := payloadReader{remaining: payload}
	r.columnCount = fields.lenencInt()
	if fields.malformed || r.columnCount == 0 || len(fields.remaining) > 0 {
		return fmt.Errorf("%w: invalid column count, first byte %#x", errMalformedPacket, payload[0])
	}
	return nil
}

// truncationPacket returns the ERR packet that ends a truncated result. Within a row it returns nil: the client would read any
// packet as part of the row, so that only closing its connection can end the result.
func (r *resultStream) truncationPacket() []byte {
	if r.rowBytesLeft > 0 || r.rowContinues {
		return nil
	}
	return errPacket(r.sequenceID+1, erUnknownError, "the engine broke off in the middle of the rows")
}
