// Package simproto encodes and decodes the simulator's binary protocol. It checks all offsets and sizes in the input.
//
// The simulator writes batches of events; the adapter answers each batch with a reply, which is a list of actions. A
// frame consists of a header, records of fixed size, and a tail with the variable-length fields of the records. All
// integers are little-endian and all times are in nanoseconds.
//
// The package contains no decision logic and does not depend on the decision module. Its functions keep no state and are
// safe for concurrent use.
package simproto
