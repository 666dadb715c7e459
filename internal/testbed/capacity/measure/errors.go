package measure

import (
	"errors"
	"fmt"
)

// errConnectTimeout reports that connections were not established within connectTimeout.
var errConnectTimeout = errors.New("connections were not established in time")

// ConnectionLimitError reports that a measurement of more than MaxConnections connections was requested.
type ConnectionLimitError struct{ Requested, Limit int }

// Error returns a message with the requested number and the limit.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("%d connections requested, limit %d", e.Requested, e.Limit)
}

// DescriptorLimitError reports that RLIMIT_NOFILE is too low for a measurement.
type DescriptorLimitError struct{ Needed, Limit uint64 }

// Error returns a message with the needed number and the limit.
func (e *DescriptorLimitError) Error() string {
	return fmt.Sprintf("not enough file descriptors for the connection measurement: %d needed, limit %d", e.Needed, e.Limit)
}

// MemoryLimitError reports that measurements need more memory than is allowed.
type MemoryLimitError struct{ Needed, Allowed int64 } // bytes

// Error returns a message with the needed and the allowed memory in MB of 2^20 bytes.
func (e *MemoryLimitError) Error() string {
	return fmt.Sprintf("memory limit too low for the measurements: about %d MB needed, %d MB allowed", e.Needed>>20, e.Allowed>>20)
}

// IncompleteError reports that not every submitted statement was served.
type IncompleteError struct{ Served, Submitted int }

// Error returns a message with both numbers.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("not every statement was served: %d of %d", e.Served, e.Submitted)
}
