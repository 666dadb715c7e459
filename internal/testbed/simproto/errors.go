package simproto

import (
	"errors"
	"fmt"
)

// ErrMalformedFrame is matched by every error about bytes that do not follow the protocol.
var ErrMalformedFrame = errors.New("malformed frame")

// LimitError reports a field whose value is out of bounds. It matches ErrMalformedFrame.
type LimitError struct {
	Field string
	Value uint64
	Limit uint64 // the largest value allowed
}

// Error names the field, its value and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%v: %s is %d, limit %d", ErrMalformedFrame, e.Field, e.Value, e.Limit)
}

// Unwrap makes errors.Is match ErrMalformedFrame.
func (e *LimitError) Unwrap() error { return ErrMalformedFrame }

// UnknownCodeError reports a record whose code is not one of the frame's kind. It matches ErrMalformedFrame.
type UnknownCodeError struct {
	Record int // index in the frame
	Code   uint8
}

// Error names the record and its code.
func (e *UnknownCodeError) Error() string {
	return fmt.Sprintf("%v: record %d has unknown code %d", ErrMalformedFrame, e.Record, e.Code)
}

// Unwrap makes errors.Is match ErrMalformedFrame.
func (e *UnknownCodeError) Unwrap() error { return ErrMalformedFrame }
