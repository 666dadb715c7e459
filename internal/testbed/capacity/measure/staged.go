package measure

import (
	"time"

	"frostpier/internal/control/rollout"
)

// Conditions of the measurement of staged changes.
const (
	stagedFleet   = "capacity"
	stagedClasses = 5
	stagedRounds  = 50
)

// StagedReports measures the processor time that the controller of a staged change needs to parse one report from each
// gateway, and the length of a report in bytes.
func StagedReports(gateways int) (processor time.Duration, length int, err error) {
	texts := make([][]byte, gateways)
	for i := range texts {
		texts[i], err = stagedReport(i).Append(nil, stagedFleet)
		if err != nil {
			return 0, 0, err
		}
	}
	started := processorTime()
	for range stagedRounds {
		for _, text := range texts {
			if _, err := rollout.ParseReport(text, stagedFleet, gateways, stagedClasses); err != nil {
				return 0, 0, err
			}
		}
	}
	return (processorTime() - started) / stagedRounds, len(texts[0]), nil
}

// stagedReport returns a typical report of a gateway.
func stagedReport(gateway int) rollout.Report {
	report := rollout.Report{
		Gateway: gateway, PID: 1000 + gateway, StartedAt: virtualEpoch, Program: 1 << 63, Settings: 1 << 62, Serving: true, MemoryMB: 40,
	}
	for range stagedClasses {
		report.Classes = append(report.Classes, rollout.Counts{Requests: 1 << 20, InTime: 1 << 20, Late: 100, Rejected: 100})
	}
	return report
}
