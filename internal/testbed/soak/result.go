package soak

import "fmt"

// Problems describes each violation in a result in one line.
func (r Result) Problems() (out []string) {
	for _, request := range r.Requests {
		if request.Outcome.IsViolation() || request.Duplicates > 0 {
			out = append(out, request.String())
		}
	}
	for i, exit := range r.Exits {
		if exit.Err != nil {
			out = append(out, fmt.Sprintf("gateway %d exited %v after SIGTERM: %v", i, exit.AfterTerm, exit.Err))
		}
	}
	return append(out, r.Alarms...)
}

// CountOutcomes counts the requests by outcome.
func (r Result) CountOutcomes() (counts [numOutcomes]int) {
	for _, request := range r.Requests {
		counts[request.Outcome]++
	}
	return counts
}
