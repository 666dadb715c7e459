// Package capacity is the model behind docs/operators/CAPACITY.md. It holds the fleet that operators expect, estimates what each
// part of the program costs there from slopes that were measured at several sizes, and ranks the requirements by the
// fleet size at which each is missed first.
//
// A slope is a quantity measured at several sizes with the curve fitted to it. Package measure takes the measurements;
// `fleettest slopes` and `fleettest capacity` read and write the files. This package does no input or output, reads no
// clock and keeps no state: its values may be used from any goroutine as long as none changes them.
package capacity
