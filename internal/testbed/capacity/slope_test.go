package capacity

import (
	"errors"
	"math"
	"testing"
)

// pointsOn returns points of a curve at four sizes.
func pointsOn(curve func(size float64) float64) (points []Point) {
	for _, size := range []float64{10, 80, 300, 1100} {
		points = append(points, Point{Size: size, Value: curve(size), Runs: 1})
	}
	return points
}

func nearlyEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Max(1, math.Abs(b)) }

// A fit to points on a curve of its form is that curve, without residual.
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
				t.Errorf("%v at 550, not %v; residual %v", fit.ValueAt(550), curve(550), fit.Residual)
			}
		})
	}
}

// The residual is the root mean square of relative deviations: two points 10% above and two 10% below a constant.
func TestResidual(t *testing.T) {
	slope := Slope{Form: Flat, Points: []Point{{Size: 1, Value: 110}, {Size: 2, Value: 90}, {Size: 3, Value: 110}, {Size: 4, Value: 90}}}
	if got := slope.Fit().Residual; !nearlyEqual(got, 0.1) {
		t.Errorf("residual %v", got)
	}
}

// Measurements and interpolations between them take precedence over the curve; beyond three times the largest size an
// estimate is marked as extrapolated.
func TestEstimates(t *testing.T) {
	points := pointsOn(func(size float64) float64 { return size })
	points[1].Value = 160 // off the curve
	slope := Slope{Form: Linear, Points: points}
	if e := slope.EstimateAt(80); e.Value != 160 || !e.Measured || e.Extrapolated {
		t.Errorf("%+v at a measured size", e)
	}
	if e := slope.EstimateAt(190); e.Value != 230 || e.Measured || e.Extrapolated { // half way from 160 at 80 to 300 at 300
		t.Errorf("%+v between measured sizes", e)
	}
	if e := slope.EstimateAt(3300); e.Measured || e.Extrapolated {
		t.Errorf("%+v at three times the largest size", e)
	}
	if e := slope.EstimateAt(3301); !e.Extrapolated {
		t.Errorf("%+v beyond it", e)
	}
}

// Between two points a power is interpolated on logarithmic axes, even where its curve lies above both points; a flat slope
// uses its curve.
func TestInterpolation(t *testing.T) {
	bounded := []Point{{Size: 100, Value: 800}, {Size: 200, Value: 2500}, {Size: 400, Value: 2600}, {Size: 800, Value: 2600}}
	power := Slope{Form: Power, Points: bounded}
	if e := power.EstimateAt(700); !nearlyEqual(e.Value, 2600) || power.Fit().ValueAt(700) < 2800 {
		t.Errorf("%+v, by the curve %v", e, power.Fit().ValueAt(700))
	}
	if e := power.EstimateAt(200 * math.Sqrt2); !nearlyEqual(e.Value, math.Sqrt(2500*2600)) {
		t.Errorf("%+v", e)
	}
	flat := Slope{Form: Flat, Points: bounded}
	if e := flat.EstimateAt(300); !nearlyEqual(e.Value, flat.Fit().ValueAt(300)) {
		t.Errorf("%+v, by the curve %v", e, flat.Fit().ValueAt(300))
	}
}

// Slopes that cannot be fitted are rejected with the reason and the value.
func TestInvalidSlopesAreRejected(t *testing.T) {
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
				t.Fatalf("error %v, want %v", err, c.reason)
			}
			if c.value != nil && invalid.Value != c.value {
				t.Errorf("value %v, want %v", invalid.Value, c.value)
			}
		})
	}
}
