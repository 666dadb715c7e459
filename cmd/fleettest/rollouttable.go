package main

import (
	"fmt"
	"slices"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/testbed/emulator"
)

// rolloutSummary sums up the results of one kind of change, without the runs that ended with an error.
type rolloutSummary struct {
	runs, rolledBackInFirst, rolledBackLater, completed int
	affected, queries, firstStage                       int
	lost, corrupted, duplicates                         int
	durations                                           []time.Duration
}

func (s *rolloutSummary) add(r rolloutResult) {
	s.runs++
	switch {
	case r.phase == rollout.RolledBack && r.stage == 0:
		s.rolledBackInFirst++
	case r.phase == rollout.RolledBack:
		s.rolledBackLater++
	case r.phase == rollout.Done || r.phase == phaseRollingRestart:
		s.completed++
	}
	s.affected += r.affected
	s.queries += r.queries
	s.firstStage += r.firstStage
	s.lost += r.verdicts[emulator.Lost] + r.verdicts[emulator.Unanswered]
	s.corrupted += r.verdicts[emulator.Corrupted]
	s.duplicates += r.duplicates
	s.durations = append(s.durations, r.duration)
}

// row returns the summary as a row of the table.
func (s *rolloutSummary) row(kind string) []string {
	slices.Sort(s.durations)
	queries := float64(max(1, s.queries))
	return []string{
		kind,
		fmt.Sprint(s.runs),
		fmt.Sprint(s.rolledBackInFirst),
		fmt.Sprint(s.rolledBackLater),
		fmt.Sprint(s.completed),
		medianAndMax(s.durations),
		fmt.Sprintf("%.4f", float64(s.affected)/queries),
		fmt.Sprintf("%.3f", float64(s.firstStage)/queries),
		fmt.Sprint(s.lost),
		fmt.Sprint(s.corrupted),
		fmt.Sprint(s.duplicates),
	}
}

func (c *rolloutCommand) table(kinds []string, results []rolloutResult) table {
	t := table{header: []string{"change", "runs", "rolled back in the first stage", "rolled back later", "completed", "duration, s (median / max)",
		"share of queries affected", "share of queries at the first stage", "lost or unanswered", "corrupted", "duplicate answers"}}
	for _, kind := range kinds {
		var s rolloutSummary
		for _, r := range results {
			if r.kind == kind && r.err == nil {
				s.add(r)
			}
		}
		t.rows = append(t.rows, s.row(kind))
	}
	return t
}
