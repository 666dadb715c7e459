package measure

import (
	"slices"

	"frostpier/internal/testbed/capacity"
)

// series collects the measurements of one slope.
type series struct {
	values     map[float64][]float64 // one value per run, by size
	notes      map[float64]string    // by size
	overBudget map[float64]float64   // longest time over the budget in seconds, by size
}

// collector holds the series of all slopes by slope name.
type collector map[string]*series

// add adds the value of one run at the given size.
func (c collector) add(name string, size int, value float64, note string) {
	s := c[name]
	if s == nil {
		s = &series{values: map[float64][]float64{}, notes: map[float64]string{}, overBudget: map[float64]float64{}}
		c[name] = s
	}
	at := float64(size)
	s.values[at] = append(s.values[at], value)
	s.notes[at] = note
}

// addPeak adds a peak of bytes per second, with the number of seconds for which the budget was exceeded.
func (c collector) addPeak(name string, size int, value, over float64) {
	c.add(name, size, value, "")
	at := float64(size)
	c[name].overBudget[at] = max(c[name].overBudget[at], over)
}

// points returns one point per size, ordered by size. Its value is the median of the runs.
func (s *series) points() (points []capacity.Point) {
	for size, values := range s.values {
		slices.Sort(values)
		points = append(points, capacity.Point{
			Size:              size,
			Value:             values[len(values)/2],
			Min:               values[0],
			Max:               values[len(values)-1],
			Runs:              len(values),
			SecondsOverBudget: s.overBudget[size],
			Note:              s.notes[size],
		})
	}
	slices.SortFunc(points, func(a, b capacity.Point) int { return int(a.Size - b.Size) })
	return points
}

// slopes returns the measured slopes in the order of capacity.Definitions.
func (c collector) slopes() (slopes []capacity.Slope) {
	for _, definition := range capacity.Definitions() {
		s := c[definition.Name]
		if s == nil {
			continue
		}
		slopes = append(slopes, capacity.Slope{
			Name:    definition.Name,
			Unit:    definition.Unit,
			SizeOf:  definition.SizeOf,
			Form:    definition.Form,
			Points:  s.points(),
			Command: definition.Command(),
		})
	}
	return slopes
}
