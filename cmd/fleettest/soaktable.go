package main

import (
	"fmt"
	"time"

	"frostpier/internal/testbed/soak"
)

// soakTable shows the results of planned stops, a row for each.
func soakTable(results []soak.Result) table {
	t := table{header: []string{"seed", "clients", "MySQL", "disturbance", "requests", "served", "rejected", "failed", "aborted", "crossed",
		"cut by kill", "lost (sent before SIGTERM / to 0.7 s / later)", "lost at kill", "late", "corrupted", "answered twice", "exit",
		"s after SIGTERM"}}
	for _, r := range results {
		ends := r.CountOutcomes()
		t.rows = append(t.rows, []string{
			fmt.Sprint(r.Scenario.Seed), fmt.Sprint(r.Scenario.Clients), fmt.Sprint(r.Scenario.MySQLClients), r.Scenario.Disturbance.String(),
			fmt.Sprint(len(r.Requests)), fmt.Sprint(ends[soak.Served]), fmt.Sprint(ends[soak.Rejected]), fmt.Sprint(ends[soak.Failed]),
			fmt.Sprint(ends[soak.Aborted]), fmt.Sprint(ends[soak.RacedClose]), fmt.Sprint(ends[soak.CutByKill]), lossesByTime(r),
			fmt.Sprint(ends[soak.LostAtKill]), fmt.Sprint(ends[soak.Late]), fmt.Sprint(ends[soak.Corrupted]), fmt.Sprint(answeredTwice(r)),
			exitText(r.Exits), lastExit(r.Exits),
		})
	}
	return t
}

// lossesByTime counts the lost requests by when they were sent.
func lossesByTime(r soak.Result) string {
	var before, early, late int
	for _, request := range r.Requests {
		switch {
		case request.Outcome != soak.Lost:
		case request.SentAfterTerm < 0:
			before++
		case request.SentAfterTerm <= soak.KillGrace:
			early++
		default:
			late++
		}
	}
	return fmt.Sprintf("%d / %d / %d", before, early, late)
}

func answeredTwice(r soak.Result) (n int) {
	for _, request := range r.Requests {
		if request.Duplicates > 0 {
			n++
		}
	}
	return n
}

// exitText sums up how the gateways ended.
func exitText(exits []soak.Exit) string {
	var byItself, killed, failed int
	for _, e := range exits {
		switch {
		case e.Err != nil:
			failed++
		case e.Killed:
			killed++
		default:
			byItself++
		}
	}
	switch {
	case failed > 0:
		return fmt.Sprintf("%d failed", failed)
	case killed > 0:
		return fmt.Sprintf("%d killed", killed)
	}
	return "0"
}

// lastExit returns when the last gateway ended after its SIGTERM, in seconds.
func lastExit(exits []soak.Exit) string {
	longest := time.Duration(0)
	for _, e := range exits {
		longest = max(longest, e.AfterTerm)
	}
	return fmt.Sprintf("%.2f", longest.Seconds())
}
