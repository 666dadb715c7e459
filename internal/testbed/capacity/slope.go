package capacity

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Form is the form of the curve that is fitted to a slope's points.
type Form string

// The forms.
const (
	Flat   Form = "flat"   // a constant
	Linear Form = "linear" // base + rate * size, by least squares of the relative deviations
	Power  Form = "power"  // base * size^rate, by least squares of the logarithms
)

const (
	minSizes            = 4 // number of sizes that a slope needs
	extrapolationFactor = 3 // an estimate beyond this multiple of the largest size measured is extrapolated
)

// Point is the measurement at one size.
type Point struct {
	Size              float64 `json:"size"`
	Value             float64 `json:"value"` // median of the runs
	Min               float64 `json:"least"`
	Max               float64 `json:"most"`
	Runs              int     `json:"runs"`
	SecondsOverBudget float64 `json:"over,omitempty"` // for peaks of bytes: how long the budget was exceeded, the longest of the runs
	Note              string  `json:"note,omitempty"` // conditions that differ between the points
}

// Slope is a quantity measured at several sizes.
type Slope struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	SizeOf  string  `json:"size_of"` // what the size counts
	Form    Form    `json:"form"`
	Points  []Point `json:"points"`
	Command string  `json:"command"` // measures the slope again
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
	Measured     bool // at that very size, so Value is a measurement
	Extrapolated bool // beyond three times the largest size measured
}

// Reasons for which a slope cannot be fitted; a SlopeError wraps one of them.
var (
	errInsufficientSizes = fmt.Errorf("fewer than %d sizes", minSizes)
	errUnknownForm       = errors.New("unknown form")
	errNotPositive       = errors.New("point is not positive")
)

// SlopeError reports a slope that cannot be fitted.
type SlopeError struct {
	Slope string // name
	Value any    // the number of sizes, the form or the point that is out of bounds
	Err   error
}

// Error names the slope, the bound and the value.
func (e *SlopeError) Error() string { return fmt.Sprintf("slope %q: %v: %+v", e.Slope, e.Err, e.Value) }

// Unwrap returns the reason.
func (e *SlopeError) Unwrap() error { return e.Err }

// Validate returns a *SlopeError for a slope that cannot be fitted.
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

// Fit fits a curve of the slope's form. All forms weigh relative deviations, so that small sizes count as much as large
// ones.
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

// ValueAt returns the value of the curve at a size.
func (f Fit) ValueAt(size float64) float64 {
	switch f.Form {
	case Linear:
		return f.Base + f.Rate*size
	case Power:
		return f.Base * math.Pow(size, f.Rate)
	}
	return f.Base
}

// String returns the curve as a formula in n, the size.
func (f Fit) String() string {
	switch f.Form {
	case Linear:
		return fmt.Sprintf("%.3g + %.3g n", f.Base, f.Rate)
	case Power:
		return fmt.Sprintf("%.3g n^%.2f", f.Base, f.Rate)
	}
	return fmt.Sprintf("%.3g", f.Base)
}

// MaxSize returns the largest size measured.
func (s Slope) MaxSize() (size float64) {
	for _, point := range s.Points {
		size = max(size, point.Size)
	}
	return size
}

// MinSize returns the smallest size measured.
func (s Slope) MinSize() float64 {
	size := math.Inf(1)
	for _, point := range s.Points {
		size = min(size, point.Size)
	}
	return size
}

// minAt returns the smallest value of the runs at a size that was measured, else 0.
func (s Slope) minAt(size float64) float64 {
	for _, point := range s.Points {
		if point.Size == size {
			return point.Min
		}
	}
	return 0
}

// EstimateAt returns the value of the slope at a size: the measurement if there is one; between two measured sizes the
// interpolation of their points, or the curve of a flat slope; elsewhere the curve.
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

// neighbors returns the measured points next below and above a size; between is false if one of them does not exist.
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

// interpolate interpolates linearly between two points, for a power on logarithmic axes.
func (s Slope) interpolate(below, above Point, size float64) float64 {
	if s.Form == Power {
		fraction := math.Log(size/below.Size) / math.Log(above.Size/below.Size)
		return below.Value * math.Pow(above.Value/below.Value, fraction)
	}
	fraction := (size - below.Size) / (above.Size - below.Size)
	return below.Value + fraction*(above.Value-below.Value)
}
