// Package measure takes the measurements behind docs/operators/CAPACITY.md, one size of the fleet at a time. They run in one process
// with seeded random numbers, on a virtual clock wherever the measured code has one.
//
// Slopes runs whole groups of measurements; the other functions are single measurements. They must be called one after
// the other, since each reads the processor time or the memory of the whole process. The package writes no files and
// makes no estimates: package capacity does what follows from the measurements.
package measure
