package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Machine describes the machine and the run of the measurements.
type Machine struct {
	Cores       int     `json:"cores"`
	GoVersion   string  `json:"go_version"`
	System      string  `json:"system"`
	LoadBefore  float64 `json:"load_before"` // load average over a minute, when the run began
	LoadAfter   float64 `json:"load_after"`
	Seconds     float64 `json:"seconds"` // that the run took
	Quick       bool    `json:"quick"`   // fewer runs and smaller sizes
	MeasuredDay string  `json:"measured_day"`
}

// Result is the content of the file that `fleettest slopes` writes.
type Result struct {
	Machine Machine `json:"machine"`
	Seed    uint64  `json:"seed"`
	Slopes  []Slope `json:"slopes"`
}

// Encode returns the result as JSON with each slope on a line of its own, so that differences between files can be read.
func (r Result) Encode() ([]byte, error) {
	machine, err := json.Marshal(r.Machine)
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "{\"machine\": %s,\n\"seed\": %d,\n\"slopes\": [", machine, r.Seed)
	for i, slope := range r.Slopes {
		line, err := json.Marshal(slope)
		if err != nil {
			return nil, fmt.Errorf("slopes: %w", err)
		}
		separator := ","
		if i == 0 {
			separator = ""
		}
		fmt.Fprintf(&text, "%s\n%s", separator, line)
	}
	text.WriteString("\n]}\n")
	return text.Bytes(), nil
}

// MissingSlopeError reports a result that lacks a slope of Definitions.
type MissingSlopeError struct{ Slope string }

// Error names the slope.
func (e *MissingSlopeError) Error() string { return fmt.Sprintf("slopes: %q is missing", e.Slope) }

// DecodeResult decodes and validates a result. The error is a *SlopeError, a *MissingSlopeError, or wraps that of the
// JSON decoder.
func DecodeResult(text []byte) (Result, error) {
	var result Result
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&result); err != nil {
		return result, fmt.Errorf("slopes: %w", err)
	}
	for _, slope := range result.Slopes {
		if err := slope.Validate(); err != nil {
			return result, err
		}
	}
	for _, definition := range Definitions() {
		if _, ok := result.find(definition.Name); !ok {
			return result, &MissingSlopeError{Slope: definition.Name}
		}
	}
	return result, nil
}

func (r Result) find(name string) (Slope, bool) {
	for _, slope := range r.Slopes {
		if slope.Name == name {
			return slope, true
		}
	}
	return Slope{}, false
}

// Slope returns the slope of a name, or an empty one. A result of DecodeResult has all slopes of Definitions.
func (r Result) Slope(name string) Slope {
	slope, _ := r.find(name)
	return slope
}
