package capacity

import (
	"encoding/json"
	"fmt"
)

// ScaleStep is what a step of `fleettest scale` read of its real processes.
type ScaleStep struct {
	Name                  string  `json:"name"`
	RealGateways          int     `json:"real_gateways"`
	HollowGateways        int     `json:"hollow_gateways"`
	Engines               int     `json:"engines"`
	StatementsPerSecond   float64 `json:"statements_per_second"`
	ProcessorShare        float64 `json:"processor_share"`
	ResidentMB            float64 `json:"resident_mb"`
	MeanBytesPerSecond    float64 `json:"mean_bytes_per_second"`
	HighestBytesPerSecond float64 `json:"highest_bytes_per_second_10s"`
	Connections           float64 `json:"connections"`
	SecondsUntilAllKnow   float64 `json:"seconds_until_all_know"`
	EnginesUsed           float64 `json:"engines_used"`        // by a hollow gateway, mean; 0 in files from before it was read
	EnginesKnownShare     float64 `json:"engines_known_share"` // of these, by load reports
}

// ScaleResult is the file that `fleettest scale` writes; what else stands in it is left alone.
type ScaleResult struct {
	Runs []struct {
		Facts struct {
			Subset int `json:"subset_least"` // engines that a gateway uses, at the least; 0 = all
		} `json:"facts"`
		Steps []ScaleStep `json:"steps"`
	} `json:"runs"`
}

// DecodeScale reads the file.
func DecodeScale(text []byte) (ScaleResult, error) {
	var result ScaleResult
	if err := json.Unmarshal(text, &result); err != nil {
		return result, fmt.Errorf("scale results: %w", err)
	}
	return result, nil
}

// Table shows every step of every run.
func (r ScaleResult) Table() Table {
	table := Table{Head: []string{"run", "subset of at least", "step", "gateways: real, hollow", "engines", "statements/s a real gateway", "processor", "resident MB",
		"bytes/s, mean", "bytes/s, highest over 10 s", "connections", "all know after s", "engines used", "of these known"}}
	for number, run := range r.Runs {
		for _, step := range run.Steps {
			table.Rows = append(table.Rows, []string{fmt.Sprint(number + 1), subsetSize(run.Facts.Subset), step.Name,
				fmt.Sprintf("%d, %d", step.RealGateways, step.HollowGateways), fmt.Sprint(step.Engines), digits(step.StatementsPerSecond),
				percent(step.ProcessorShare), digits(step.ResidentMB), digits(step.MeanBytesPerSecond),
				digits(step.HighestBytesPerSecond), digits(step.Connections), digits(step.SecondsUntilAllKnow),
				usedEngines(step.EnginesUsed), digits(step.EnginesKnownShare)})
		}
	}
	return table
}

// subsetSize is the least size of subsets in a run.
func subsetSize(least int) string {
	if least == 0 {
		return "off"
	}
	return fmt.Sprint(least)
}

// usedEngines is how many engines a gateway used, where that was read.
func usedEngines(count float64) string {
	if count == 0 {
		return "-"
	}
	return digits(count)
}
