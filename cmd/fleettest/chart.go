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

const (
	width  = 18 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// chartViews draws how many members the gateways hold to be in service over time: the fewest and the most of all.
func chartViews(path string, members int, began time.Time, told []testfleet.StateChange) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d gateways: members held to be in service", members)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "members"
	p.Y.Min = 0
	out := make([]map[int]bool, members) // by viewer
	for i := range out {
		out[i] = map[int]bool{}
	}
	fewest, most := plotter.XYs{{X: 0, Y: float64(members)}}, plotter.XYs{{X: 0, Y: float64(members)}}
	for _, t := range told {
		if t.Is == "alive" {
			delete(out[t.Viewer], t.Member)
		} else {
			out[t.Viewer][t.Member] = true
		}
		least, all := 0, members
		for v := range out {
			least, all = max(least, len(out[v])), min(all, len(out[v]))
		}
		x := t.At.Sub(began).Seconds()
		fewest = append(fewest, plotter.XY{X: x, Y: float64(members - least)})
		most = append(most, plotter.XY{X: x, Y: float64(members - all)})
	}
	if err := plotutil.AddLines(p, "in the fullest view", most, "in the emptiest view", fewest); err != nil {
		return err
	}
	p.Legend.YOffs = 5
	return p.Save(width, height, path)
}

// chartDetection draws detection times over the fleet's size.
func chartDetection(path string, rows []measured) error {
	p := plot.New()
	p.Title.Text = "A kill: when it is told"
	p.X.Label.Text, p.Y.Label.Text = "members", "seconds after the kill"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Min = 0
	var median, late, all plotter.XYs
	for _, r := range rows {
		x := float64(r.members)
		first := simulation.Quantile(r.kills.First, 0.5).Seconds()
		median = append(median, plotter.XY{X: x, Y: first})
		late = append(late, plotter.XY{X: x, Y: simulation.Quantile(r.kills.First, 0.99).Seconds()})
		all = append(all, plotter.XY{X: x, Y: first + simulation.Quantile(r.kills.All, 0.5).Seconds()})
	}
	if err := plotutil.AddLinePoints(p, "first told, median", median, "first told, 99th percentile", late,
		"all told, median", all); err != nil {
		return err
	}
	p.Legend.Top = true
	return p.Save(width, height, path)
}
