package measure

import (
	"errors"
	"fmt"
)

// errConnectTimeout reports connections that were not established within connectTimeout.
var errConnectTimeout = errors.New("connections did not come up in time")

// ConnectionLimitError reports a measurement of more connections than are allowed.
type ConnectionLimitError struct{ Requested, Limit int }

// Error gives the number requested and the limit.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("%d connections requested, limit %d", e.Requested, e.Limit)
}

// DescriptorLimitError reports that the process may not open enough file descriptors (RLIMIT_NOFILE).
type DescriptorLimitError struct{ Needed, Limit uint64 }

// Error gives the number needed and the limit.
func (e *DescriptorLimitError) Error() string {
	return fmt.Sprintf("not enough descriptors for the connection measurement: %d needed, the limit is %d", e.Needed, e.Limit)
}

// MemoryLimitError reports measurements that need more memory than is allowed.
type MemoryLimitError struct{ Needed, Allowed int64 } // bytes

// Error gives the memory needed and allowed, in MB of 2^20 bytes.
func (e *MemoryLimitError) Error() string {
	return fmt.Sprintf("not enough memory allowed: about %d MB are needed, %d MB allowed", e.Needed>>20, e.Allowed>>20)
}

// IncompleteError reports that not every statement of a load was served.
type IncompleteError struct{ Served, Submitted int }

// Error gives both numbers.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("not every statement was served: %d of %d", e.Served, e.Submitted)
}
