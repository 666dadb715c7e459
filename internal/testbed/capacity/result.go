package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Machine is where slopes were measured.
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

// Result is the file that `fleettest slopes` writes.
type Result struct {
	Machine Machine `json:"machine"`
	Seed    uint64  `json:"seed"`
	Slopes  []Slope `json:"slopes"`
}

// Encode writes the file, each slope on a line of its own.
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

// DecodeResult reads the file and checks every slope in it, and that none is missing.
func DecodeResult(text []byte) (Result, error) {
	var result Result
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&result); err != nil {
		return result, fmt.Errorf("slopes: %w", err)
	}
	for _, slope := range result.Slopes {
		if err := slope.Check(); err != nil {
			return result, err
		}
	}
	for _, definition := range Definitions() {
		if _, ok := result.find(definition.Name); !ok {
			return result, fmt.Errorf("slopes: %q is missing", definition.Name)
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

// Slope is a slope by its name; DecodeResult has seen to it that all of Definitions are there.
func (r Result) Slope(name string) Slope {
	slope, _ := r.find(name)
	return slope
}
