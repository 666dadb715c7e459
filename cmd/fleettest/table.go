package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"frostpier/internal/control/membership/simulation"
	"frostpier/internal/testbed/testfleet"
)

// table is a table of results, which is saved as CSV and as Markdown.
type table struct {
	header []string
	rows   [][]string
}

// markdown returns the table as Markdown.
func (t table) markdown() string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.header)
	line(strings.Split(strings.Repeat("--- ", len(t.header)-1)+"---", " "))
	for _, r := range t.rows {
		line(r)
	}
	return b.String()
}

// saveIn writes the table to files in a directory, which it creates if necessary.
func (t table) saveIn(dir, name string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return t.save(filepath.Join(dir, name))
}

// save writes the table to base.md and base.csv.
func (t table) save(base string) error {
	if err := os.WriteFile(base+".md", []byte(t.markdown()), 0o644); err != nil {
		return err
	}
	file, err := os.Create(base + ".csv")
	if err != nil {
		return err
	}
	err = csv.NewWriter(file).WriteAll(append([][]string{t.header}, t.rows...))
	return errors.Join(err, file.Close())
}

// seconds formats a duration in seconds.
func seconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }

// medianAndMax formats the median and the maximum of sorted durations, in seconds.
func medianAndMax(sorted []time.Duration) string {
	if len(sorted) == 0 {
		return "-"
	}
	return seconds(simulation.Quantile(sorted, 0.5)) + " / " + seconds(sorted[len(sorted)-1])
}

// resultTable shows the results of a scenario, with a row for each step.
func resultTable(results []testfleet.Result) table {
	t := table{header: []string{"step", "fault", "affected gateways", "detection, s (median / max)", "dissemination, s (median / max)",
		"false positives", "convergence after the fault, s (median / max)", "datagrams/s per gateway", "bytes/s per gateway"}}
	for _, r := range results {
		t.rows = append(t.rows, []string{r.Step, r.Action, fmt.Sprint(r.Gateways), medianAndMax(r.DetectionTimes), medianAndMax(r.DisseminationTimes),
			fmt.Sprint(r.FalsePositives), medianAndMax(r.ConvergenceTimes), fmt.Sprintf("%.2f", r.DatagramRate), fmt.Sprintf("%.0f", r.ByteRate)})
	}
	return t
}

// simulationTable shows the results of the simulations, with a row for each size of the fleet.
func simulationTable(rows []membershipRow) table {
	t := table{header: []string{"members", "datagrams/s per member", "bytes/s per member", "kills", "detection, s (median / p99)",
		"dissemination, s (median / max)", "missed kills", "false positives in process-hours", "false positives with heartbeats"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{fmt.Sprint(r.members), fmt.Sprintf("%.2f", r.steady.DatagramRate),
			fmt.Sprintf("%.1f", r.steady.ByteRate), fmt.Sprint(r.kills.Kills),
			seconds(simulation.Quantile(r.kills.DetectionTimes, 0.5)) + " / " + seconds(simulation.Quantile(r.kills.DetectionTimes, 0.99)),
			medianAndMax(r.kills.DisseminationTimes), fmt.Sprint(r.kills.MissedKills),
			fmt.Sprintf("%d in %.0f", r.pauses.FalsePositives, r.pauses.ProcessHours), fmt.Sprint(r.heartbeatPauses.FalsePositives)})
	}
	return t
}
