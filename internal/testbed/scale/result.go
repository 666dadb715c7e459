package scale

import (
	"encoding/json"
	"fmt"
	"slices"
)

// StepResult is what was measured of the real gateways in one step. Bytes are the payload of datagrams as the relay counted
// them, sent by a real gateway unless the name says otherwise.
type StepResult struct {
	Name                       string  `json:"name"`
	RealGateways               int     `json:"real_gateways"`
	HollowGateways             int     `json:"hollow_gateways"`
	Engines                    int     `json:"engines"`
	Seconds                    float64 `json:"seconds"`                               // length of the step
	StatementsPerSecond        float64 `json:"statements_per_second"`                 // that clients sent each real gateway
	StatementsServedShare      float64 `json:"statements_served_share"`               // of them; 0 where none was sent
	MeanCPUCores               float64 `json:"processor_share"`                       // of a core, mean over the real gateways
	MaxCPUCores                float64 `json:"processor_share_highest"`               // of the busiest of them
	ResidentMB                 float64 `json:"resident_mb"`                           // of the largest of them, at its peak
	SentBytesPerSecond         float64 `json:"mean_bytes_per_second"`                 // sent, mean over the real gateways
	PeakSentBytesPerSecond     float64 `json:"highest_bytes_per_second_10s"`          // sent by any of them over 10 s
	ReceivedBytesPerSecond     float64 `json:"received_bytes_per_second"`             // mean over the real gateways
	PeakReceivedBytesPerSecond float64 `json:"received_highest_bytes_per_second_10s"` // by any of them over 10 s
	EngineListBytesPerSecond   float64 `json:"list_bytes_per_second"`                 // that the discovery server sent a watch, mean
	Connections                float64 `json:"connections"`                           // TCP connections of a real gateway at the end, mean
	ConvergenceSeconds         float64 `json:"seconds_until_all_know"`                // 0 where nothing changed
	EnginesUsed                float64 `json:"engines_used"`                          // ready ones, mean over hollow gateways
	EnginesKnownShare          float64 `json:"engines_known_share"`                   // of them, whose load is known; mean over hollow gateways
}

// EngineUsage is how the hollow gateways use the engines, as means over the gateways.
type EngineUsage struct {
	Used       float64 // ready engines that a gateway uses
	KnownShare float64 // share of them whose load it knows
}

// RunMetadata are the conditions of a run.
type RunMetadata struct {
	Cores              int     `json:"cores"`
	MemoryMB           int     `json:"memory_mb"`
	GoVersion          string  `json:"go_version"`
	Seed               uint64  `json:"seed"`
	SubsetMinEngines   int     `json:"subset_least,omitempty"` // engines that a gateway uses at least; 0 = all
	LoadAverageAtStart float64 `json:"load_average_at_start"`  // over a minute
	LoadAverageAtEnd   float64 `json:"load_average_at_end"`
	Zones              int     `json:"zones"`
	Regions            int     `json:"regions"`
	EngineDelayMS      float64 `json:"engine_delay_ms"`
	ReportsPerSecond   float64 `json:"reports_per_second"` // load reports that each hollow gateway makes up
	DateUTC            string  `json:"date_utc"`
	Options            string  `json:"options"` // of cmd/fleettest that reproduce the run
}

// Run is the result of one run.
type Run struct {
	Metadata RunMetadata  `json:"facts"`
	Steps    []StepResult `json:"steps"`
}

// File is the content of a result file.
type File struct {
	Runs []Run `json:"runs"`
}

// Encode returns the file as JSON.
func (f File) Encode() ([]byte, error) {
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	return append(text, '\n'), nil
}

// DecodeFile decodes a result file. It returns an error for text that is not JSON of its form.
func DecodeFile(text []byte) (File, error) {
	var f File
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("results: %w", err)
	}
	return f, nil
}

// ResultsBySize returns the results of one step, sorted by the size of the fleet.
func (f File) ResultsBySize(step string) (out []StepResult) {
	for _, run := range f.Runs {
		for _, result := range run.Steps {
			if result.Name == step {
				out = append(out, result)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b StepResult) int { return a.Members() - b.Members() })
	return out
}

// Members returns the size of the fleet.
func (r StepResult) Members() int { return r.RealGateways + r.HollowGateways }

// StepNames returns the names of all steps, in the order of their first results.
func (f File) StepNames() (out []string) {
	for _, run := range f.Runs {
		for _, result := range run.Steps {
			if !slices.Contains(out, result.Name) {
				out = append(out, result.Name)
			}
		}
	}
	return out
}
