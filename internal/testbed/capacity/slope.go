package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Form is the curve that is fitted to a slope's points.
type Form string

// The forms.
const (
	Flat   Form = "flat"   // a constant
	Linear Form = "linear" // base + size * rate, by relative least squares
	Power  Form = "power"  // base * size ^ rate, by least squares of the logarithms
)

const (
	leastSizes  = 4 // of a slope
	extrapolate = 3 // times the largest size measured: a prediction beyond is marked
)

// Point is what was measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"` // median of the runs
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
	Runs  int     `json:"runs"`
	Over  float64 `json:"over,omitempty"` // of a peak of bytes: seconds for which the budget was exceeded, most of the runs
	Note  string  `json:"note,omitempty"` // what else differs between the points
}

// Slope is how a quantity grows with a size.
type Slope struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	SizeOf  string  `json:"size_of"` // what the size counts
	Form    Form    `json:"form"`
	Points  []Point `json:"points"`
	Command string  `json:"command"` // reproduces it
}

// Fit is a curve through the points of a slope.
type Fit struct {
	Form       Form
	Base, Rate float64
	Residual   float64 // root mean square of the points' deviations, each over the curve's value
}

// Estimate is what a slope says of a size.
type Estimate struct {
	Value        float64
	Measured     bool // at that very size
	Extrapolated bool // beyond three times the largest size measured
}

var (
	errFewSizes = fmt.Errorf("fewer than %d sizes", leastSizes)
	errForm     = errors.New("unknown form")
	errPositive = errors.New("a point that is not positive")
)

// Check reports a slope that cannot be fitted.
func (s Slope) Check() error {
	sizes := map[float64]bool{}
	for _, point := range s.Points {
		sizes[point.Size] = true
		if point.Size <= 0 || !(point.Value > 0) {
			return fmt.Errorf("slope %q: %w: %+v", s.Name, errPositive, point)
		}
	}
	switch {
	case len(sizes) < leastSizes:
		return fmt.Errorf("slope %q: %w", s.Name, errFewSizes)
	case s.Form != Flat && s.Form != Linear && s.Form != Power:
		return fmt.Errorf("slope %q: %w: %q", s.Name, errForm, s.Form)
	}
	return nil
}

// Fit fits the stated form. All forms weigh relative deviations, so that small sizes count as much as large ones.
func (s Slope) Fit() Fit {
	var sizes, values, weights []float64
	for _, point := range s.Points {
		sizes, values = append(sizes, point.Size), append(values, point.Value)
		weights = append(weights, 1/(point.Value*point.Value))
	}
	fit := Fit{Form: s.Form}
	switch s.Form {
	case Flat:
		fit.Base = stat.Mean(values, nil)
	case Linear:
		fit.Base, fit.Rate = stat.LinearRegression(sizes, values, weights, false)
	case Power:
		base, rate := stat.LinearRegression(logarithms(sizes), logarithms(values), nil, false)
		fit.Base, fit.Rate = math.Exp(base), rate
	}
	fit.Residual = residual(fit, sizes, values)
	return fit
}

func logarithms(list []float64) []float64 {
	out := make([]float64, len(list))
	for i, x := range list {
		out[i] = math.Log(x)
	}
	return out
}

func residual(fit Fit, sizes, values []float64) float64 {
	squares := 0.0
	for i, size := range sizes {
		deviation := values[i]/fit.At(size) - 1
		squares += deviation * deviation
	}
	return math.Sqrt(squares / float64(len(sizes)))
}

// At is the curve's value.
func (f Fit) At(size float64) float64 {
	switch f.Form {
	case Linear:
		return f.Base + f.Rate*size
	case Power:
		return f.Base * math.Pow(size, f.Rate)
	}
	return f.Base
}

// String writes the curve as a formula.
func (f Fit) String() string {
	switch f.Form {
	case Linear:
		return fmt.Sprintf("%.3g + %.3g n", f.Base, f.Rate)
	case Power:
		return fmt.Sprintf("%.3g n^%.2f", f.Base, f.Rate)
	}
	return fmt.Sprintf("%.3g", f.Base)
}

// Largest is the largest size measured.
func (s Slope) Largest() (size float64) {
	for _, point := range s.Points {
		size = max(size, point.Size)
	}
	return size
}

// Smallest is the smallest size measured.
func (s Slope) Smallest() float64 {
	size := math.Inf(1)
	for _, point := range s.Points {
		size = min(size, point.Size)
	}
	return size
}

// least is the smallest of the runs at a size that was measured.
func (s Slope) least(size float64) float64 {
	for _, point := range s.Points {
		if point.Size == size {
			return point.Least
		}
	}
	return 0
}

// At is what the slope says of a size: the point measured there if there is one; between two measured sizes what lies between
// their points; else the curve. A flat slope has the curve between them too.
func (s Slope) At(size float64) Estimate { return s.estimate(s.Fit(), size) }

func (s Slope) estimate(fit Fit, size float64) Estimate {
	for _, point := range s.Points {
		if point.Size == size {
			return Estimate{Value: point.Value, Measured: true}
		}
	}
	below, above, between := s.neighbours(size)
	if between && s.Form != Flat {
		return Estimate{Value: s.interpolate(below, above, size)}
	}
	return Estimate{Value: fit.At(size), Extrapolated: size > extrapolate*s.Largest()}
}

// neighbours are the points next to a size on both sides; between is false where there is none on one of them.
func (s Slope) neighbours(size float64) (below, above Point, between bool) {
	for _, point := range s.Points {
		if point.Size < size && (below.Size == 0 || point.Size > below.Size) {
			below = point
		}
		if point.Size > size && (above.Size == 0 || point.Size < above.Size) {
			above = point
		}
	}
	return below, above, below.Size > 0 && above.Size > 0
}

// interpolate joins two points by a straight line, for a power on logarithmic axes.
func (s Slope) interpolate(below, above Point, size float64) float64 {
	if s.Form == Power {
		part := math.Log(size/below.Size) / math.Log(above.Size/below.Size)
		return below.Value * math.Pow(above.Value/below.Value, part)
	}
	part := (size - below.Size) / (above.Size - below.Size)
	return below.Value + part*(above.Value-below.Value)
}
