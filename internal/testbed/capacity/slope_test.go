package capacity

import (
	"errors"
	"math"
	"testing"
)

// pointsOn are points of a curve, four sizes.
func pointsOn(curve func(size float64) float64) (points []Point) {
	for _, size := range []float64{10, 80, 300, 1100} {
		points = append(points, Point{Size: size, Value: curve(size), Runs: 1})
	}
	return points
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Max(1, math.Abs(b)) }

// Points that lie on a curve of the stated form give that curve back, with no residual.
func TestFitsFindTheirCurve(t *testing.T) {
	for form, curve := range map[Form]func(float64) float64{
		Flat:   func(float64) float64 { return 42 },
		Linear: func(size float64) float64 { return 3 + 0.5*size },
		Power:  func(size float64) float64 { return 2 * math.Pow(size, 1.5) },
	} {
		slope := Slope{Name: "test", Form: form, Points: pointsOn(curve)}
		if err := slope.Check(); err != nil {
			t.Fatal(err)
		}
		fit := slope.Fit()
		if !near(fit.At(550), curve(550)) || fit.Residual > 1e-9 {
			t.Errorf("%s: %v at 550, not %v; residual %v", form, fit.At(550), curve(550), fit.Residual)
		}
	}
}

// The residual is the root mean square of relative deviations: two points 10% above and two 10% below a constant.
func TestResidual(t *testing.T) {
	slope := Slope{Form: Flat, Points: []Point{{Size: 1, Value: 110}, {Size: 2, Value: 90}, {Size: 3, Value: 110}, {Size: 4, Value: 90}}}
	if got := slope.Fit().Residual; !near(got, 0.1) {
		t.Errorf("residual %v", got)
	}
}

// What was measured at a size stands before the curve, and so does what lies between two points; beyond three times the largest size a prediction is marked.
func TestEstimates(t *testing.T) {
	points := pointsOn(func(size float64) float64 { return size })
	points[1].Value = 160 // off the curve
	slope := Slope{Form: Linear, Points: points}
	if e := slope.At(80); e.Value != 160 || !e.Measured || e.Extrapolated {
		t.Errorf("%+v at a measured size", e)
	}
	if e := slope.At(190); e.Value != 230 || e.Measured || e.Extrapolated { // half way from 160 at 80 to 300 at 300
		t.Errorf("%+v between measured sizes", e)
	}
	if e := slope.At(3300); e.Measured || e.Extrapolated {
		t.Errorf("%+v at three times the largest size", e)
	}
	if e := slope.At(3301); !e.Extrapolated {
		t.Errorf("%+v beyond it", e)
	}
}

// Between two points a power is joined on logarithmic axes, also where it is bounded and its curve goes beyond both; a flat slope has
// its curve there.
func TestBetweenMeasuredSizes(t *testing.T) {
	bounded := []Point{{Size: 100, Value: 800}, {Size: 200, Value: 2500}, {Size: 400, Value: 2600}, {Size: 800, Value: 2600}}
	power := Slope{Form: Power, Points: bounded}
	if e := power.At(700); !near(e.Value, 2600) || power.Fit().At(700) < 2800 {
		t.Errorf("%+v, by the curve %v", e, power.Fit().At(700))
	}
	if e := power.At(200 * math.Sqrt2); !near(e.Value, math.Sqrt(2500*2600)) {
		t.Errorf("%+v", e)
	}
	flat := Slope{Form: Flat, Points: bounded}
	if e := flat.At(300); !near(e.Value, flat.Fit().At(300)) {
		t.Errorf("%+v, by the curve %v", e, flat.Fit().At(300))
	}
}

// A slope of fewer than four sizes, of an unknown form or with a value that is not positive is refused.
func TestBadSlopesAreRefused(t *testing.T) {
	good := pointsOn(func(size float64) float64 { return size })
	zero := append([]Point(nil), good...)
	zero[2].Value = 0
	for want, slope := range map[error]Slope{
		errFewSizes: {Form: Linear, Points: good[:3]},
		errForm:     {Form: "cubic", Points: good},
		errPositive: {Form: Linear, Points: zero},
	} {
		if err := slope.Check(); !errors.Is(err, want) {
			t.Errorf("%v, not %v", err, want)
		}
	}
}
