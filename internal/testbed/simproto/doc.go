// Package simproto is the codec of the simulator's binary protocol: it turns bytes into typed records and back, with
// every offset checked.
//
// The simulator writes batches of events; the adapter answers each batch with a reply, a list of actions. A frame is a
// header, a number of records of fixed size, and a tail that holds their variable-length fields. All integers are
// little-endian and all times are nanoseconds.
//
// The package makes no decision and knows nothing of the decision module. Its functions keep no state and may be called
// from any goroutine.
package simproto
