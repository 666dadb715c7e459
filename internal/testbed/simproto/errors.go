package simproto

import (
	"errors"
	"fmt"
)

// ErrMalformedFrame is wrapped by all errors about input that violates the protocol.
var ErrMalformedFrame = errors.New("malformed frame")

// LimitError reports a field that exceeds its maximum. It matches ErrMalformedFrame.
type LimitError struct {
	Field string
	Value uint64
	Limit uint64 // maximum value
}

// Error returns a message with the field, its value and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%v: %s is %d, limit %d", ErrMalformedFrame, e.Field, e.Value, e.Limit)
}

// Unwrap makes errors.Is match ErrMalformedFrame.
func (e *LimitError) Unwrap() error { return ErrMalformedFrame }

// UnknownCodeError reports a record code that is not valid in the frame, such as an action code in a batch. It matches
// ErrMalformedFrame.
type UnknownCodeError struct {
	Record int // index in the frame
	Code   uint8
}

// Error returns a message with the index of the record and its code.
func (e *UnknownCodeError) Error() string {
	return fmt.Sprintf("%v: record %d has unknown code %d", ErrMalformedFrame, e.Record, e.Code)
}

// Unwrap makes errors.Is match ErrMalformedFrame.
func (e *UnknownCodeError) Unwrap() error { return ErrMalformedFrame }
