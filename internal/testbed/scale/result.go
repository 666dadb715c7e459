package scale

import (
	"encoding/json"
	"fmt"
	"slices"
)

// StepResult holds the measurements of the real gateways in one step. Sent and received bytes are the payload of datagrams,
// as counted by the relay. Means and maxima are over the real gateways, unless stated otherwise.
type StepResult struct {
	Name                       string  `json:"name"`
	RealGateways               int     `json:"real_gateways"`
	HollowGateways             int     `json:"hollow_gateways"`
	Engines                    int     `json:"engines"`
	Seconds                    float64 `json:"seconds"`                               // length of the step
	StatementsPerSecond        float64 `json:"statements_per_second"`                 // sent by clients to each real gateway
	StatementsServedShare      float64 `json:"statements_served_share"`               // share of the statements that were served; 0 if none was sent
	MeanCPUCores               float64 `json:"processor_share"`                       // mean processor time per second, in cores
	MaxCPUCores                float64 `json:"processor_share_highest"`               // processor time per second of the busiest real gateway, in cores
	ResidentMB                 float64 `json:"resident_mb"`                           // maximum resident memory of any real gateway
	SentBytesPerSecond         float64 `json:"mean_bytes_per_second"`                 // mean rate of datagram bytes sent
	PeakSentBytesPerSecond     float64 `json:"highest_bytes_per_second_10s"`          // maximum over any 10 s of any real gateway
	ReceivedBytesPerSecond     float64 `json:"received_bytes_per_second"`             // mean rate of datagram bytes received
	PeakReceivedBytesPerSecond float64 `json:"received_highest_bytes_per_second_10s"` // maximum over any 10 s of any real gateway
	EngineListBytesPerSecond   float64 `json:"list_bytes_per_second"`                 // sent by the discovery server, mean over the watches
	Connections                float64 `json:"connections"`                           // mean number of TCP connections at the end of the step
	ConvergenceSeconds         float64 `json:"seconds_until_all_know"`                // time until the fleet converged; 0 if nothing changed
	EnginesUsed                float64 `json:"engines_used"`                          // see EngineUsage
	EnginesKnownShare          float64 `json:"engines_known_share"`                   // see EngineUsage
}

// EngineUsage is the usage of engines by hollow gateways, as means over the hollow gateways.
type EngineUsage struct {
	Used       float64 // number of ready engines that a gateway uses
	KnownShare float64 // share of the used engines whose load the gateway knows
}

// RunMetadata describes the machine, the time and the parameters of a run.
type RunMetadata struct {
	Cores              int     `json:"cores"`
	MemoryMB           int     `json:"memory_mb"`
	GoVersion          string  `json:"go_version"`
	Seed               uint64  `json:"seed"`
	SubsetMinEngines   int     `json:"subset_least,omitempty"` // minimum size of a gateway's engine subset; 0 = all engines
	LoadAverageAtStart float64 `json:"load_average_at_start"`  // load average over one minute
	LoadAverageAtEnd   float64 `json:"load_average_at_end"`
	Zones              int     `json:"zones"`
	Regions            int     `json:"regions"`
	EngineDelayMS      float64 `json:"engine_delay_ms"`
	ReportsPerSecond   float64 `json:"reports_per_second"` // load reports that each hollow gateway generates per second
	DateUTC            string  `json:"date_utc"`
	Options            string  `json:"options"` // command line options that repeat the run
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

// DecodeFile decodes a result file. The error wraps that of the JSON decoder.
func DecodeFile(text []byte) (File, error) {
	var f File
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("results: %w", err)
	}
	return f, nil
}

// ResultsBySize returns the results of one step from all runs, sorted by the size of the fleet.
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

// Members returns the number of gateways in the fleet, real and hollow.
func (r StepResult) Members() int { return r.RealGateways + r.HollowGateways }

// StepNames returns the names of all steps, in the order in which they first occur.
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
