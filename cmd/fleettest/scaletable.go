package main

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"frostpier/internal/testbed/scale"
)

// scaleTable shows the results of steps.
func scaleTable(steps []scale.StepResult) table {
	t := table{header: []string{"step", "real gateways", "hollow gateways", "engines", "duration, s", "statements/s",
		"share served", "CPU cores (mean / max)", "resident MB", "sent B/s", "sent B/s, max over 10 s", "received B/s",
		"received B/s, max over 10 s", "engine list B/s", "connections", "convergence, s", "engines used", "share with known load"}}
	for _, s := range steps {
		t.rows = append(t.rows, []string{s.Name, fmt.Sprint(s.RealGateways), fmt.Sprint(s.HollowGateways), fmt.Sprint(s.Engines),
			fmt.Sprintf("%.0f", s.Seconds), fmt.Sprintf("%.1f", s.StatementsPerSecond), fmt.Sprintf("%.3f", s.StatementsServedShare),
			fmt.Sprintf("%.3f / %.3f", s.MeanCPUCores, s.MaxCPUCores), fmt.Sprintf("%.1f", s.ResidentMB),
			fmt.Sprintf("%.0f", s.SentBytesPerSecond), fmt.Sprintf("%.0f", s.PeakSentBytesPerSecond),
			fmt.Sprintf("%.0f", s.ReceivedBytesPerSecond), fmt.Sprintf("%.0f", s.PeakReceivedBytesPerSecond),
			fmt.Sprintf("%.0f", s.EngineListBytesPerSecond), fmt.Sprintf("%.0f", s.Connections),
			fmt.Sprintf("%.1f", s.ConvergenceSeconds), fmt.Sprintf("%.1f", s.EnginesUsed), fmt.Sprintf("%.2f", s.EnginesKnownShare)})
	}
	return t
}

// scaleChart is a chart of one measurement over the size of the fleet, with a line for each step.
type scaleChart struct {
	file, title, unit string
	value             func(scale.StepResult) float64
}

var scaleCharts = []scaleChart{
	{"scale-processor.svg", "CPU usage of a real gateway, mean", "cores",
		func(s scale.StepResult) float64 { return s.MeanCPUCores }},
	{"scale-memory.svg", "Resident memory of a real gateway, maximum", "MB",
		func(s scale.StepResult) float64 { return s.ResidentMB }},
	{"scale-bytes.svg", "Datagram bytes sent by a real gateway, mean", "bytes per second",
		func(s scale.StepResult) float64 { return s.SentBytesPerSecond }},
	{"scale-peak.svg", "Datagram bytes sent by a real gateway, maximum over 10 s", "bytes per second",
		func(s scale.StepResult) float64 { return s.PeakSentBytesPerSecond }},
	{"scale-known.svg", "Convergence time", "seconds",
		func(s scale.StepResult) float64 { return s.ConvergenceSeconds }},
}

// drawScaleCharts writes all charts to files in a directory.
func drawScaleCharts(dir string, file scale.File) error {
	for _, chart := range scaleCharts {
		if err := chart.draw(filepath.Join(dir, chart.file), file); err != nil {
			return fmt.Errorf("%s: %w", chart.file, err)
		}
	}
	return nil
}

// draw writes the chart to a file.
func (c scaleChart) draw(path string, file scale.File) error {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text, p.Y.Label.Text = "gateways", c.unit
	p.Y.Min = 0
	var lines []any
	for _, step := range file.StepNames() {
		var points plotter.XYs
		for _, result := range file.ResultsBySize(step) {
			points = append(points, plotter.XY{X: float64(result.Members()), Y: c.value(result)})
		}
		lines = append(lines, step, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(chartWidth, chartHeight, path)
}
