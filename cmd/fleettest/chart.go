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

// chartExtension is the file name extension of a chart; it decides the format.
const chartExtension = ".svg"

// Size of a chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// chartViews draws how many members are in service in the gateways' views over time: in the view with most, and in that
// with fewest.
func chartViews(path string, members int, start time.Time, changes []testfleet.StateChange) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d gateways: members held to be in service", members)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "members"
	p.Y.Min = 0
	fullest, emptiest := viewLines(members, start, changes)
	if err := plotutil.AddLines(p, "in the fullest view", fullest, "in the emptiest view", emptiest); err != nil {
		return err
	}
	p.Legend.YOffs = 5
	return p.Save(chartWidth, chartHeight, path)
}

// viewLines returns the number of members in service over time, in the view with most and in that with fewest.
func viewLines(members int, start time.Time, changes []testfleet.StateChange) (fullest, emptiest plotter.XYs) {
	outOfService := make([]map[int]bool, members) // by viewer
	for i := range outOfService {
		outOfService[i] = map[int]bool{}
	}
	fullest, emptiest = plotter.XYs{{X: 0, Y: float64(members)}}, plotter.XYs{{X: 0, Y: float64(members)}}
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
		fullest = append(fullest, plotter.XY{X: x, Y: float64(members - fewestOut)})
		emptiest = append(emptiest, plotter.XY{X: x, Y: float64(members - mostOut)})
	}
	return fullest, emptiest
}

// chartDetection draws detection times over the size of the fleet.
func chartDetection(path string, rows []membershipRow) error {
	p := plot.New()
	p.Title.Text = "A kill: when it is told"
	p.X.Label.Text, p.Y.Label.Text = "members", "seconds after the kill"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Min = 0
	var median, late, all plotter.XYs
	for _, r := range rows {
		x := float64(r.members)
		first := simulation.Quantile(r.kills.DetectionTimes, 0.5).Seconds()
		median = append(median, plotter.XY{X: x, Y: first})
		late = append(late, plotter.XY{X: x, Y: simulation.Quantile(r.kills.DetectionTimes, 0.99).Seconds()})
		all = append(all, plotter.XY{X: x, Y: first + simulation.Quantile(r.kills.DisseminationTimes, 0.5).Seconds()})
	}
	if err := plotutil.AddLinePoints(p, "first told, median", median, "first told, 99th percentile", late,
		"all told, median", all); err != nil {
		return err
	}
	p.Legend.Top = true
	return p.Save(chartWidth, chartHeight, path)
}
