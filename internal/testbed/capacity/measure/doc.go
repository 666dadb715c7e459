// Package measure takes the measurements for docs/operators/CAPACITY.md. They run in this process with seeded random
// numbers, and on a virtual clock where the measured code supports one.
//
// Slopes runs groups of measurements at several sizes; the other functions take one measurement at one size. They must not
// run concurrently, because each reads the processor time or the memory of the whole process. The package writes no files
// and makes no estimates; package capacity derives these from the measurements.
package measure
