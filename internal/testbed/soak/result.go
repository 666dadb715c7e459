package soak

import "fmt"

// Problems describes everything in a result that breaks a rule, a line each.
func (r Result) Problems() (out []string) {
	for _, request := range r.Requests {
		if request.Outcome.IsViolation() || request.Duplicates > 0 {
			out = append(out, request.String())
		}
	}
	for i, exit := range r.Exits {
		if exit.Err != nil {
			out = append(out, fmt.Sprintf("gateway %d ended %v after SIGTERM: %v", i, exit.AfterTerm, exit.Err))
		}
	}
	return append(out, r.Alarms...)
}

// CountOutcomes counts the requests by their end.
func (r Result) CountOutcomes() (counts [ends]int) {
	for _, request := range r.Requests {
		counts[request.Outcome]++
	}
	return counts
}
