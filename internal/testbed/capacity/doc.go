// Package capacity is the model behind docs/CAPACITY.md: the fleet that operators expect, what each part of the
// program costs there by slopes that were measured at several sizes, and which requirement breaks first as the fleet
// grows. It does no input or output: `fleettest slopes` measures, reads and writes files.
package capacity
