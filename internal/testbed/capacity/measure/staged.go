package measure

import (
	"time"

	"frostpier/internal/control/rollout"
)

const (
	stagedFleet   = "capacity"
	stagedClasses = 5
	stagedRounds  = 50
)

// StagedReports measures what the controller of a staged change spends to read one report of each gateway, and how
// long a report is in bytes.
func StagedReports(gateways int) (processor time.Duration, length int, err error) {
	texts := make([][]byte, gateways)
	for i := range texts {
		report := rollout.Report{Gateway: i, PID: 1000 + i, Started: virtualEpoch, Program: 1 << 63, Settings: 1 << 62,
			Serving: true, MemoryMB: 40}
		for range stagedClasses {
			report.Classes = append(report.Classes, rollout.Counts{Taken: 1 << 20, InTime: 1 << 20, Late: 100, Refused: 100})
		}
		if texts[i], err = report.Append(nil, stagedFleet); err != nil {
			return 0, 0, err
		}
	}
	began := processorTime()
	for range stagedRounds {
		for _, text := range texts {
			if _, err := rollout.ParseReport(text, stagedFleet, gateways, stagedClasses); err != nil {
				return 0, 0, err
			}
		}
	}
	return (processorTime() - began) / stagedRounds, len(texts[0]), nil
}
