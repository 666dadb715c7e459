package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strings"
	"time"

	"frostpier/internal/control/membership/simulation"
	"frostpier/internal/testbed/testfleet"
)

// table is a result: kept as CSV and as Markdown.
type table struct {
	head []string
	rows [][]string
}

func (t table) markdown() string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(t.head)
	line(strings.Split(strings.Repeat("--- ", len(t.head)-1)+"---", " "))
	for _, r := range t.rows {
		line(r)
	}
	return b.String()
}

// write keeps the table beside a chart.
func (t table) write(base string, chart func(path string) error) error {
	if err := os.WriteFile(base+".md", []byte(t.markdown()), 0o644); err != nil {
		return err
	}
	file, err := os.Create(base + ".csv")
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	if err := w.WriteAll(append([][]string{t.head}, t.rows...)); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return chart(base + ".svg")
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }

// spread is the median and the largest of sorted times, in seconds.
func spread(sorted []time.Duration) string {
	if len(sorted) == 0 {
		return "-"
	}
	return seconds(simulation.Quantile(sorted, 0.5)) + " / " + seconds(sorted[len(sorted)-1])
}

func resultTable(results []testfleet.Result) table {
	t := table{head: []string{"step", "does", "gateways", "first told after s (median / most)",
		"all told s later (median / most)", "told dead without need", "views agree s after the fault (median / most)",
		"datagrams a gateway and s", "bytes a gateway and s"}}
	for _, r := range results {
		t.rows = append(t.rows, []string{r.Step, r.Do, fmt.Sprint(r.Gateways), spread(r.FirstDetected), spread(r.AllDetected),
			fmt.Sprint(r.FalseDeaths), spread(r.Converged), fmt.Sprintf("%.2f", r.Datagrams), fmt.Sprintf("%.0f", r.Bytes)})
	}
	return t
}

func simulationTable(rows []measured) table {
	t := table{head: []string{"members", "datagrams a member and s", "bytes a member and s", "kills",
		"first told after s (median / 99th)", "all told s later (median / most)", "not told to all", "false deaths in h",
		"by heartbeats"}}
	for _, r := range rows {
		t.rows = append(t.rows, []string{fmt.Sprint(r.members), fmt.Sprintf("%.2f", r.steady.Datagrams),
			fmt.Sprintf("%.1f", r.steady.Bytes), fmt.Sprint(r.kills.Kills),
			seconds(simulation.Quantile(r.kills.First, 0.5)) + " / " + seconds(simulation.Quantile(r.kills.First, 0.99)),
			spread(r.kills.All), fmt.Sprint(r.kills.Missed),
			fmt.Sprintf("%d in %.0f", r.pauses.FalseDeaths, r.pauses.ProcessHours), fmt.Sprint(r.beatPauses.FalseDeaths)})
	}
	return t
}
