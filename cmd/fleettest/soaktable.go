package main

import (
	"fmt"
	"time"

	"frostpier/internal/testbed/soak"
)

// soakTable shows the results of graceful shutdowns, with a row for each seed. Columns of outcomes have the names that
// soak.Outcome.String returns.
func soakTable(results []soak.Result) table {
	t := table{header: []string{"seed", "clients", "MySQL", "disturbance", "requests", "served", "rejected", "failed", "aborted", "crossed",
		"cut by kill", "lost (sent before SIGTERM / up to 0.7 s after / later)", "lost at kill", "late", "corrupted", "answered twice", "exit",
		"last exit, s after SIGTERM"}}
	for _, r := range results {
		counts := r.CountOutcomes()
		t.rows = append(t.rows, []string{
			fmt.Sprint(r.Scenario.Seed), fmt.Sprint(r.Scenario.Clients), fmt.Sprint(r.Scenario.MySQLClients), r.Scenario.Disturbance.String(),
			fmt.Sprint(len(r.Requests)), fmt.Sprint(counts[soak.Served]), fmt.Sprint(counts[soak.Rejected]), fmt.Sprint(counts[soak.Failed]),
			fmt.Sprint(counts[soak.Aborted]), fmt.Sprint(counts[soak.RacedClose]), fmt.Sprint(counts[soak.CutByKill]), lossesByTime(r),
			fmt.Sprint(counts[soak.LostAtKill]), fmt.Sprint(counts[soak.Late]), fmt.Sprint(counts[soak.Corrupted]), fmt.Sprint(answeredTwice(r)),
			exitText(r.Exits), lastExit(r.Exits),
		})
	}
	return t
}

// lossesByTime formats the numbers of lost requests that were sent before SIGTERM, up to soak.KillGrace after it, and later.
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

// answeredTwice returns the number of requests with more than one answer.
func answeredTwice(r soak.Result) (n int) {
	for _, request := range r.Requests {
		if request.Duplicates > 0 {
			n++
		}
	}
	return n
}

// exitText formats the number of gateways that exited with an error; if there are none, the number that were killed, or 0.
func exitText(exits []soak.Exit) string {
	var killed, failed int
	for _, e := range exits {
		switch {
		case e.Err != nil:
			failed++
		case e.Killed:
			killed++
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

// lastExit formats the longest time from a gateway's SIGTERM until its exit, in seconds.
func lastExit(exits []soak.Exit) string {
	longest := time.Duration(0)
	for _, e := range exits {
		longest = max(longest, e.AfterTerm)
	}
	return fmt.Sprintf("%.2f", longest.Seconds())
}
