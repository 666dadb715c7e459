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

// table is a table of results, which is kept as CSV and as Markdown.
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

// saveIn writes the table to a folder, which is made where there is none.
func (t table) saveIn(folder, name string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	return t.save(filepath.Join(folder, name))
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

// seconds formats a time in seconds.
func seconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }

// medianAndMax formats the median and the maximum of sorted times, in seconds.
func medianAndMax(sorted []time.Duration) string {
	if len(sorted) == 0 {
		return "-"
	}
	return seconds(simulation.Quantile(sorted, 0.5)) + " / " + seconds(sorted[len(sorted)-1])
}

// resultTable shows the results of a scenario's steps.
func resultTable(results []testfleet.Result) table {
	t := table{header: []string{"step", "does", "gateways", "first told after s (median / most)",
		"all told s later (median / most)", "told dead without need", "views agree s after the fault (median / most)",
		"datagrams a gateway and s", "bytes a gateway and s"}}
	for _, r := range results {
		t.rows = append(t.rows, []string{r.Step, r.Action, fmt.Sprint(r.Gateways), medianAndMax(r.DetectionTimes), medianAndMax(r.DisseminationTimes),
			fmt.Sprint(r.FalsePositives), medianAndMax(r.ConvergenceTimes), fmt.Sprintf("%.2f", r.DatagramRate), fmt.Sprintf("%.0f", r.ByteRate)})
	}
	return t
}

// simulationTable shows the results of a simulation, a row for each size of the fleet.
func simulationTable(rows []membershipRow) table {
	t := table{header: []string{"members", "datagrams a member and s", "bytes a member and s", "kills",
		"first told after s (median / 99th)", "all told s later (median / most)", "not told to all", "false deaths in h",
		"by heartbeats"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{fmt.Sprint(r.members), fmt.Sprintf("%.2f", r.steady.DatagramRate),
			fmt.Sprintf("%.1f", r.steady.ByteRate), fmt.Sprint(r.kills.Kills),
			seconds(simulation.Quantile(r.kills.DetectionTimes, 0.5)) + " / " + seconds(simulation.Quantile(r.kills.DetectionTimes, 0.99)),
			medianAndMax(r.kills.DisseminationTimes), fmt.Sprint(r.kills.MissedKills),
			fmt.Sprintf("%d in %.0f", r.pauses.FalsePositives, r.pauses.ProcessHours), fmt.Sprint(r.heartbeatPauses.FalsePositives)})
	}
	return t
}
