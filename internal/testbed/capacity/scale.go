package capacity

import (
	"encoding/json"
	"fmt"
)

// ScaleStep holds the measurements of one step of `fleettest scale`, taken from its real gateway processes.
type ScaleStep struct {
	Name                   string  `json:"name"`
	RealGateways           int     `json:"real_gateways"`
	HollowGateways         int     `json:"hollow_gateways"`
	Engines                int     `json:"engines"`
	StatementsPerSecond    float64 `json:"statements_per_second"`
	CPUCores               float64 `json:"processor_share"`
	ResidentMB             float64 `json:"resident_mb"`
	SentBytesPerSecond     float64 `json:"mean_bytes_per_second"`
	PeakSentBytesPerSecond float64 `json:"highest_bytes_per_second_10s"`
	Connections            float64 `json:"connections"`
	ConvergenceSeconds     float64 `json:"seconds_until_all_know"`
	EnginesUsed            float64 `json:"engines_used"`        // mean over hollow gateways; 0 in older files, which lack it
	EnginesKnownShare      float64 `json:"engines_known_share"` // share of the engines in use whose load is known
}

// ScaleResult is the part of a result file of `fleettest scale` that the page shows. Other fields are ignored.
type ScaleResult struct {
	Runs []struct {
		Facts struct {
			Subset int `json:"subset_least"` // smallest number of engines that a gateway uses; 0 = all
		} `json:"facts"`
		Steps []ScaleStep `json:"steps"`
	} `json:"runs"`
}

// DecodeScale decodes a result file of `fleettest scale`. The error wraps that of the JSON decoder.
func DecodeScale(text []byte) (ScaleResult, error) {
	var result ScaleResult
	if err := json.Unmarshal(text, &result); err != nil {
		return result, fmt.Errorf("scale results: %w", err)
	}
	return result, nil
}

// Table returns a table with one row for each step of each run.
func (r ScaleResult) Table() Table {
	table := Table{Header: []string{
		"run",
		"subset of at least",
		"step",
		"gateways: real, hollow",
		"engines",
		"statements/s per real gateway",
		"processor",
		"resident MB",
		"bytes/s sent, mean",
		"bytes/s sent, maximum over 10 s",
		"connections",
		"convergence, s",
		"engines used",
		"share with known load",
	}}
	for number, run := range r.Runs {
		for _, step := range run.Steps {
			table.Rows = append(table.Rows, step.row(number+1, run.Facts.Subset))
		}
	}
	return table
}

// row returns the table row of the step.
func (s ScaleStep) row(run, subset int) []string {
	return []string{
		fmt.Sprint(run),
		formatSubsetSize(subset),
		s.Name,
		fmt.Sprintf("%d, %d", s.RealGateways, s.HollowGateways),
		fmt.Sprint(s.Engines),
		formatNumber(s.StatementsPerSecond),
		formatPercent(s.CPUCores),
		formatNumber(s.ResidentMB),
		formatNumber(s.SentBytesPerSecond),
		formatNumber(s.PeakSentBytesPerSecond),
		formatNumber(s.Connections),
		formatNumber(s.ConvergenceSeconds),
		formatOrDash(s.EnginesUsed, formatNumber),
		formatNumber(s.EnginesKnownShare),
	}
}

// formatSubsetSize formats the minimum subset size of a run; 0 means that subsetting is off.
func formatSubsetSize(minimum int) string {
	if minimum == 0 {
		return "off"
	}
	return fmt.Sprint(minimum)
}
