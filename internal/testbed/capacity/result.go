package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Machine describes the machine and the measurement run.
type Machine struct {
	Cores       int     `json:"cores"`
	GoVersion   string  `json:"go_version"`
	System      string  `json:"system"`
	LoadBefore  float64 `json:"load_before"` // one-minute load average at the start of the run
	LoadAfter   float64 `json:"load_after"`  // one-minute load average at the end of the run
	Seconds     float64 `json:"seconds"`     // duration of the run
	Quick       bool    `json:"quick"`       // fewer runs and smaller sizes
	MeasuredDay string  `json:"measured_day"`
}

// Result is the content of the file that `fleettest slopes` writes.
type Result struct {
	Machine Machine `json:"machine"`
	Seed    uint64  `json:"seed"`
	Slopes  []Slope `json:"slopes"`
}

// Encode returns the result as JSON with one line per slope, so that diffs between result files are readable.
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

// MissingSlopeError reports that a result lacks a slope of Definitions.
type MissingSlopeError struct{ Slope string }

// Error returns the name of the missing slope.
func (e *MissingSlopeError) Error() string { return fmt.Sprintf("slopes: %q is missing", e.Slope) }

// DecodeResult decodes and validates a result. The error is a *SlopeError, a *MissingSlopeError, or wraps an error of the
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

// Slope returns the slope with the given name, or an empty one if there is none. A result of DecodeResult has all slopes of
// Definitions.
func (r Result) Slope(name string) Slope {
	slope, _ := r.find(name)
	return slope
}
