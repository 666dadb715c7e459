package capacity

import (
	"errors"
	"math"
	"testing"
)

// pointsOn returns the points of a curve at four sizes.
func pointsOn(curve func(size float64) float64) (points []Point) {
	for _, size := range []float64{10, 80, 300, 1100} {
		points = append(points, Point{Size: size, Value: curve(size), Runs: 1})
	}
	return points
}

func nearlyEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Max(1, math.Abs(b)) }

// TestFitRecoversCurve checks that fitting points of a curve yields this curve, with a residual of 0.
func TestFitRecoversCurve(t *testing.T) {
	for form, curve := range map[Form]func(float64) float64{
		Flat:   func(float64) float64 { return 42 },
		Linear: func(size float64) float64 { return 3 + 0.5*size },
		Power:  func(size float64) float64 { return 2 * math.Pow(size, 1.5) },
	} {
		t.Run(string(form), func(t *testing.T) {
			slope := Slope{Name: "test", Form: form, Points: pointsOn(curve)}
			if err := slope.Validate(); err != nil {
				t.Fatal(err)
			}
			fit := slope.Fit()
			if !nearlyEqual(fit.ValueAt(550), curve(550)) || fit.Residual > 1e-9 {
				t.Errorf("value %v at size 550, want %v; residual %v, want 0", fit.ValueAt(550), curve(550), fit.Residual)
			}
		})
	}
}

// TestFitResidualIsRootMeanSquareDeviation checks that the residual is the root mean square of the relative deviations, for points 10% above and
// below a constant.
func TestFitResidualIsRootMeanSquareDeviation(t *testing.T) {
	slope := Slope{Form: Flat, Points: []Point{{Size: 1, Value: 110}, {Size: 2, Value: 90}, {Size: 3, Value: 110}, {Size: 4, Value: 90}}}
	if got := slope.Fit().Residual; !nearlyEqual(got, 0.1) {
		t.Errorf("residual %v, want 0.1", got)
	}
}

// TestEstimateAtPrefersMeasurements checks that measured and interpolated values take precedence over the curve, and that
// estimates beyond three times the largest measured size are marked as extrapolated.
func TestEstimateAtPrefersMeasurements(t *testing.T) {
	points := pointsOn(func(size float64) float64 { return size })
	points[1].Value = 160 // off the curve
	slope := Slope{Form: Linear, Points: points}
	if e := slope.EstimateAt(80); e.Value != 160 || !e.Measured || e.Extrapolated {
		t.Errorf("estimate %+v at a measured size, want the measured 160", e)
	}
	if e := slope.EstimateAt(190); e.Value != 230 || e.Measured || e.Extrapolated { // halfway between the value 160 at size 80 and 300 at size 300
		t.Errorf("estimate %+v between measured sizes, want the interpolated 230", e)
	}
	if e := slope.EstimateAt(3300); e.Measured || e.Extrapolated {
		t.Errorf("estimate %+v at three times the largest size, want a value from the curve, not extrapolated", e)
	}
	if e := slope.EstimateAt(3301); !e.Extrapolated {
		t.Errorf("estimate %+v beyond three times the largest size, want it marked as extrapolated", e)
	}
}

// TestEstimateAtInterpolates checks that a power slope is interpolated on logarithmic axes between two points, even where
// its curve is above both points, and that a flat slope uses its curve.
func TestEstimateAtInterpolates(t *testing.T) {
	bounded := []Point{{Size: 100, Value: 800}, {Size: 200, Value: 2500}, {Size: 400, Value: 2600}, {Size: 800, Value: 2600}}
	power := Slope{Form: Power, Points: bounded}
	if e := power.EstimateAt(700); !nearlyEqual(e.Value, 2600) || power.Fit().ValueAt(700) < 2800 {
		t.Errorf("power slope at 700: estimate %+v, want 2600; curve %v, want at least 2800", e, power.Fit().ValueAt(700))
	}
	if e := power.EstimateAt(200 * math.Sqrt2); !nearlyEqual(e.Value, math.Sqrt(2500*2600)) {
		t.Errorf("power slope between 200 and 400: estimate %+v, want the geometric mean of both values", e)
	}
	flat := Slope{Form: Flat, Points: bounded}
	if e := flat.EstimateAt(300); !nearlyEqual(e.Value, flat.Fit().ValueAt(300)) {
		t.Errorf("flat slope at 300: estimate %+v, want %v from the curve", e, flat.Fit().ValueAt(300))
	}
}

// TestValidateRejectsInvalidSlopes checks the reason and the value in the error for each kind of invalid slope.
func TestValidateRejectsInvalidSlopes(t *testing.T) {
	good := pointsOn(func(size float64) float64 { return size })
	zero := append([]Point(nil), good...)
	zero[2].Value = 0
	notANumber := append([]Point(nil), good...)
	notANumber[1].Value = math.NaN()
	for name, c := range map[string]struct {
		slope  Slope
		reason error
		value  any // nil: not compared
	}{
		"too few sizes": {Slope{Name: "s", Form: Linear, Points: good[:3]}, errInsufficientSizes, 3},
		"unknown form":  {Slope{Name: "s", Form: "cubic", Points: good}, errUnknownForm, Form("cubic")},
		"zero value":    {Slope{Name: "s", Form: Linear, Points: zero}, errNotPositive, zero[2]},
		"not a number":  {Slope{Name: "s", Form: Linear, Points: notANumber}, errNotPositive, nil},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.slope.Validate()
			var invalid *SlopeError
			if !errors.Is(err, c.reason) || !errors.As(err, &invalid) || invalid.Slope != "s" {
				t.Fatalf("error %v, want a SlopeError for slope s that wraps %q", err, c.reason)
			}
			if c.value != nil && invalid.Value != c.value {
				t.Errorf("value %v in the error, want %v", invalid.Value, c.value)
			}
		})
	}
}
