package main

import (
	"fmt"
	"slices"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/testbed/emulator"
)

// rolloutSummary sums up the results of one kind of change. Failed plays are left out.
type rolloutSummary struct {
	plays, stoppedFirst, stoppedLater, completed int
	harmed, queries, firstStage                  int
	lost, corrupted, twice                       int
	durations                                    []time.Duration
}

func (s *rolloutSummary) add(r rolloutResult) {
	s.plays++
	switch {
	case r.phase == rollout.RolledBack && r.stage == 0:
		s.stoppedFirst++
	case r.phase == rollout.RolledBack:
		s.stoppedLater++
	case r.phase == rollout.Done || r.phase == phaseRolled:
		s.completed++
	}
	s.harmed += r.harmed
	s.queries += r.queries
	s.firstStage += r.firstStage
	s.lost += r.verdicts[emulator.Lost] + r.verdicts[emulator.Unanswered]
	s.corrupted += r.verdicts[emulator.Corrupted]
	s.twice += r.twice
	s.durations = append(s.durations, r.duration)
}

// row returns the summary as a row of the table.
func (s *rolloutSummary) row(kind string) []string {
	slices.Sort(s.durations)
	queries := float64(max(1, s.queries))
	return []string{
		kind,
		fmt.Sprint(s.plays),
		fmt.Sprint(s.stoppedFirst),
		fmt.Sprint(s.stoppedLater),
		fmt.Sprint(s.completed),
		medianAndMax(s.durations),
		fmt.Sprintf("%.4f", float64(s.harmed)/queries),
		fmt.Sprintf("%.3f", float64(s.firstStage)/queries),
		fmt.Sprint(s.lost),
		fmt.Sprint(s.corrupted),
		fmt.Sprint(s.twice),
	}
}

func (c *rolloutCommand) table(kinds []string, results []rolloutResult) table {
	t := table{header: []string{"change", "plays", "stopped in the first stage", "stopped later", "went through", "s to the end (median / most)",
		"queries harmed, share of all", "share of the first stage in all", "lost or unanswered", "spoilt", "answered twice"}}
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
