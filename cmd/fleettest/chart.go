package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"frostpier/internal/control/membership/simulation"
	"frostpier/internal/testbed/testfleet"
)

// chartExtension is the file name extension of charts, which determines their format.
const chartExtension = ".svg"

// Size of a chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// chartServiceViews draws the number of members in service over time: the highest and the lowest number in any gateway's view.
func chartServiceViews(path string, members int, start time.Time, changes []testfleet.StateChange) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d gateways: members in service in the gateways' views", members)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "members"
	p.Y.Min = 0
	highest, lowest := serviceViewLines(members, start, changes)
	if err := plotutil.AddLines(p, "highest of all views", highest, "lowest of all views", lowest); err != nil {
		return err
	}
	p.Legend.YOffs = 5
	return p.Save(chartWidth, chartHeight, path)
}

// serviceViewLines returns the highest and the lowest number of members in service in any gateway's view, over time.
func serviceViewLines(members int, start time.Time, changes []testfleet.StateChange) (highest, lowest plotter.XYs) {
	outOfService := make([]map[int]bool, members) // members by viewer
	for i := range outOfService {
		outOfService[i] = map[int]bool{}
	}
	highest, lowest = plotter.XYs{{X: 0, Y: float64(members)}}, plotter.XYs{{X: 0, Y: float64(members)}}
	for _, change := range changes {
		if change.State == "alive" {
			delete(outOfService[change.Viewer], change.Member)
		} else {
			outOfService[change.Viewer][change.Member] = true
		}
		fewestOut, mostOut := members, 0
		for _, out := range outOfService {
			fewestOut, mostOut = min(fewestOut, len(out)), max(mostOut, len(out))
		}
		x := change.At.Sub(start).Seconds()
		highest = append(highest, plotter.XY{X: x, Y: float64(members - fewestOut)})
		lowest = append(lowest, plotter.XY{X: x, Y: float64(members - mostOut)})
	}
	return highest, lowest
}

// chartDetection draws detection and dissemination times over the size of the fleet.
func chartDetection(path string, rows []membershipRow) error {
	p := plot.New()
	p.Title.Text = "Detection of a killed member"
	p.X.Label.Text, p.Y.Label.Text = "members", "seconds after the kill"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Min = 0
	var median, p99, all plotter.XYs
	for _, r := range rows {
		x := float64(r.members)
		first := simulation.Quantile(r.kills.DetectionTimes, 0.5).Seconds()
		median = append(median, plotter.XY{X: x, Y: first})
		p99 = append(p99, plotter.XY{X: x, Y: simulation.Quantile(r.kills.DetectionTimes, 0.99).Seconds()})
		all = append(all, plotter.XY{X: x, Y: first + simulation.Quantile(r.kills.DisseminationTimes, 0.5).Seconds()})
	}
	if err := plotutil.AddLinePoints(p, "detected by the first member, median", median, "detected by the first member, 99th percentile", p99,
		"known to all members, median", all); err != nil {
		return err
	}
	p.Legend.Top = true
	return p.Save(chartWidth, chartHeight, path)
}
