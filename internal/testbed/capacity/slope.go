package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Form is the form of the curve that is fitted to the points of a slope.
type Form string

// The forms.
const (
	Flat   Form = "flat"   // a constant
	Linear Form = "linear" // base + rate * size, fitted by least squares of the relative deviations
	Power  Form = "power"  // base * size^rate, fitted by least squares of the logarithms
)

const (
	minSizes            = 4 // number of different sizes that a slope must have
	extrapolationFactor = 3 // estimates for more than this multiple of the largest measured size count as extrapolated
)

// Point is the measurement at one size.
type Point struct {
	Size              float64 `json:"size"`
	Value             float64 `json:"value"` // median of the runs
	Min               float64 `json:"least"`
	Max               float64 `json:"most"`
	Runs              int     `json:"runs"`
	SecondsOverBudget float64 `json:"over,omitempty"` // for network traffic: how long it exceeded the budget, longest of the runs
	Note              string  `json:"note,omitempty"` // conditions of this point that differ from those of other points
}

// Slope is a quantity measured at several sizes.
type Slope struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	SizeOf  string  `json:"size_of"` // what the size counts
	Form    Form    `json:"form"`
	Points  []Point `json:"points"`
	Command string  `json:"command"` // command line that measures the slope
}

// Fit is a curve fitted to the points of a slope.
type Fit struct {
	Form       Form
	Base, Rate float64
	Residual   float64 // root mean square of the points' relative deviations from the curve
}

// Estimate is the value of a slope at a size.
type Estimate struct {
	Value        float64
	Measured     bool // Value was measured at this size
	Extrapolated bool // the size is more than three times the largest measured size
}

// Reasons why a slope cannot be fitted. A SlopeError wraps one of them.
var (
	errInsufficientSizes = fmt.Errorf("fewer than %d sizes", minSizes)
	errUnknownForm       = errors.New("unknown form")
	errNotPositive       = errors.New("point is not positive")
)

// SlopeError reports a slope that cannot be fitted.
type SlopeError struct {
	Slope string // name of the slope
	Value any    // the invalid number of sizes, form or point
	Err   error
}

// Error returns the name of the slope, the reason and the invalid value.
func (e *SlopeError) Error() string { return fmt.Sprintf("slope %q: %v: %+v", e.Slope, e.Err, e.Value) }

// Unwrap returns the reason.
func (e *SlopeError) Unwrap() error { return e.Err }

// Validate returns a *SlopeError if the slope cannot be fitted.
func (s Slope) Validate() error {
	sizes := map[float64]bool{}
	for _, point := range s.Points {
		sizes[point.Size] = true
		positive := point.Size > 0 && point.Value > 0 // false for NaN too
		if !positive {
			return &SlopeError{Slope: s.Name, Value: point, Err: errNotPositive}
		}
	}
	switch {
	case len(sizes) < minSizes:
		return &SlopeError{Slope: s.Name, Value: len(sizes), Err: errInsufficientSizes}
	case s.Form != Flat && s.Form != Linear && s.Form != Power:
		return &SlopeError{Slope: s.Name, Value: s.Form, Err: errUnknownForm}
	}
	return nil
}

// Fit fits a curve of the slope's form to the points. Linear and power fits minimize relative deviations, so that small
// sizes weigh as much as large ones.
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

func logarithms(values []float64) []float64 {
	logs := make([]float64, len(values))
	for i, value := range values {
		logs[i] = math.Log(value)
	}
	return logs
}

func residual(fit Fit, sizes, values []float64) float64 {
	squares := 0.0
	for i, size := range sizes {
		deviation := values[i]/fit.ValueAt(size) - 1
		squares += deviation * deviation
	}
	return math.Sqrt(squares / float64(len(sizes)))
}

// ValueAt returns the value of the curve at the given size.
func (f Fit) ValueAt(size float64) float64 {
	switch f.Form {
	case Linear:
		return f.Base + f.Rate*size
	case Power:
		return f.Base * math.Pow(size, f.Rate)
	}
	return f.Base
}

// String returns the curve as a formula in the size n.
func (f Fit) String() string {
	switch f.Form {
	case Linear:
		return fmt.Sprintf("%.3g + %.3g n", f.Base, f.Rate)
	case Power:
		return fmt.Sprintf("%.3g n^%.2f", f.Base, f.Rate)
	}
	return fmt.Sprintf("%.3g", f.Base)
}

// MaxSize returns the largest measured size.
func (s Slope) MaxSize() (size float64) {
	for _, point := range s.Points {
		size = max(size, point.Size)
	}
	return size
}

// MinSize returns the smallest measured size.
func (s Slope) MinSize() float64 {
	size := math.Inf(1)
	for _, point := range s.Points {
		size = min(size, point.Size)
	}
	return size
}

// minAt returns the smallest value of the runs at a measured size, and 0 for a size that was not measured.
func (s Slope) minAt(size float64) float64 {
	for _, point := range s.Points {
		if point.Size == size {
			return point.Min
		}
	}
	return 0
}

// EstimateAt estimates the value of the slope at the given size. It returns the measurement at a measured size, interpolates
// between the neighboring points at a size between two measured ones unless the slope is flat, and uses the fitted curve
// otherwise.
func (s Slope) EstimateAt(size float64) Estimate { return s.estimate(s.Fit(), size) }

func (s Slope) estimate(fit Fit, size float64) Estimate {
	for _, point := range s.Points {
		if point.Size == size {
			return Estimate{Value: point.Value, Measured: true}
		}
	}
	below, above, between := s.neighbors(size)
	if between && s.Form != Flat {
		return Estimate{Value: s.interpolate(below, above, size)}
	}
	return Estimate{Value: fit.ValueAt(size), Extrapolated: size > extrapolationFactor*s.MaxSize()}
}

// neighbors returns the nearest measured points below and above a size. The result between is false if one of them does
// not exist.
func (s Slope) neighbors(size float64) (below, above Point, between bool) {
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

// interpolate interpolates linearly between two points, on logarithmic axes if the slope has the form Power.
func (s Slope) interpolate(below, above Point, size float64) float64 {
	if s.Form == Power {
		fraction := math.Log(size/below.Size) / math.Log(above.Size/below.Size)
		return below.Value * math.Pow(above.Value/below.Value, fraction)
	}
	fraction := (size - below.Size) / (above.Size - below.Size)
	return below.Value + fraction*(above.Value-below.Value)
}
