// Package capacity is the capacity model that generates the tables of docs/operators/CAPACITY.md. It defines the fleet that
// operators expect, estimates what each part of the program costs at that size, and ranks the requirements by the smallest
// fleet that misses them.
//
// The estimates are derived from slopes. A slope is a quantity measured at several sizes, with a curve fitted to it.
// Package measure takes the measurements; `fleettest slopes` and `fleettest capacity` read and write the files. This
// package does no I/O, reads no clock and has no global state. Its values are safe for concurrent use as long as no
// goroutine modifies them.
package capacity
