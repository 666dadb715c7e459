package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes of the parts of a frame, in bytes.
const (
	EventSize       = 56 // encoded event
	ActionSize      = 24 // encoded action
	batchHeaderSize = 16 // body size, number of events, time
	replyHeaderSize = 8  // body size, number of actions
	maxBodySize     = 1 << 28
)

// Batch contains events of the simulator that occur at the same time.
type Batch struct {
	Now    uint64 // ns of the simulator's clock
	Events []Record
}

// ReadBatch reads the next batch. At the end of the input it returns io.EOF unwrapped; all other errors match
// ErrMalformedFrame.
func ReadBatch(r io.Reader) (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("%w: truncated header: %w", ErrMalformedFrame, err)
	}
	body, err := readBody(r, binary.LittleEndian.Uint32(header[:]))
	if err != nil {
		return Batch{}, err
	}
	events, err := decode(body, binary.LittleEndian.Uint32(header[4:]), EventSize, firstEvent, lastEvent)
	return Batch{Now: binary.LittleEndian.Uint64(header[8:]), Events: events}, err
}

// AppendBatch appends an encoded batch to dst and returns the extended slice.
func AppendBatch(dst []byte, b Batch) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, batchHeaderSize)...)
	dst = encode(dst, b.Events, EventSize)
	putSizes(dst[start:], batchHeaderSize, len(b.Events))
	binary.LittleEndian.PutUint64(dst[start+8:], b.Now)
	return dst
}

// ReadReply reads the reply to a batch and returns its actions. All errors match ErrMalformedFrame.
func ReadReply(r io.Reader) ([]Record, error) {
	var header [replyHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, fmt.Errorf("%w: truncated header: %w", ErrMalformedFrame, err)
	}
	body, err := readBody(r, binary.LittleEndian.Uint32(header[:]))
	if err != nil {
		return nil, err
	}
	return decode(body, binary.LittleEndian.Uint32(header[4:]), ActionSize, firstAction, lastAction)
}

// AppendReply appends an encoded reply to dst and returns the extended slice.
func AppendReply(dst []byte, actions []Record) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, replyHeaderSize)...)
	dst = encode(dst, actions, ActionSize)
	putSizes(dst[start:], replyHeaderSize, len(actions))
	return dst
}

// putSizes writes the first two fields of a header: the size of the body and the number of records.
func putSizes(frame []byte, headerSize, records int) {
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-headerSize))
	binary.LittleEndian.PutUint32(frame[4:], uint32(records))
}

func readBody(r io.Reader, size uint32) ([]byte, error) {
	if size > maxBodySize {
		return nil, &LimitError{Field: "body size", Value: uint64(size), Limit: maxBodySize}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("%w: truncated body: %w", ErrMalformedFrame, err)
	}
	return body, nil
}

// decode decodes count records of the given size from body. Their codes must be in the range from first to last.
func decode(body []byte, count uint32, size int, first, last uint8) ([]Record, error) {
	if uint64(count)*uint64(size) > uint64(len(body)) {
		return nil, &LimitError{Field: "number of records", Value: uint64(count), Limit: uint64(len(body) / size)}
	}
	tail := body[int(count)*size:]
	records := make([]Record, 0, count)
	for i := range int(count) {
		encoded := body[i*size : (i+1)*size]
		if code := encoded[0]; code < first || code > last {
			return nil, &UnknownCodeError{Record: i, Code: code}
		}
		record := newRecord(encoded[0])
		c := cursor{record: encoded, offset: 1, tail: tail}
		record.fields(&c)
		if c.err != nil {
			return nil, fmt.Errorf("record %d: %w", i, c.err)
		}
		records = append(records, record)
	}
	return records, nil
}

// encode appends the encoded records, each of the given size, and their tail to dst.
func encode(dst []byte, records []Record, size int) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, len(records)*size)...)
	c := cursor{writing: true}
	for i, r := range records {
		c.record, c.offset = dst[start+i*size:start+(i+1)*size], 1
		c.record[0] = r.code()
		r.fields(&c)
	}
	return append(dst, c.tail...)
}
