package controller

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/program"
	"frostpier/internal/settings"
)

// Gateway is one of the fleet, as its configuration has it.
type Gateway struct {
	Name   string
	Config string // the configuration's absolute path, by which its process is known
	Listen string // where clients connect
}

// Fleet is what a plan is about.
type Fleet struct {
	Gateways []Gateway // by their numbers
	Classes  []string
	Aims     []time.Duration // of the classes
}

var errFleet = errors.New("fleet")

// ReadFleet reads the configurations that a pattern names, one for each gateway.
func ReadFleet(pattern string) (Fleet, error) {
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		return Fleet{}, fmt.Errorf("%w: configs: %q names no file", errFleet, pattern)
	}
	f := Fleet{Gateways: make([]Gateway, len(paths))}
	for _, path := range paths {
		if path, err = filepath.Abs(path); err != nil {
			return f, fmt.Errorf("%w: %w", errFleet, err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return f, fmt.Errorf("%w: %w", errFleet, err)
		}
		conf, err := settings.ParseConfig(text)
		if err != nil {
			return f, fmt.Errorf("%w: %s: %w", errFleet, path, err)
		}
		host, err := settings.ParseHost(conf.Settings)
		if err != nil {
			return f, fmt.Errorf("%w: %s: %w", errFleet, path, err)
		}
		var classes []string
		f.Aims = nil
		for _, c := range host.Module.Classes {
			classes, f.Aims = append(classes, c.Name), append(f.Aims, c.LatencyObjective)
		}
		n := host.Module.Number
		switch {
		case host.Module.Gateways != len(paths) || n < 0 || n >= len(paths):
			return f, fmt.Errorf("%w: %s: number %d of %d, there are %d configurations", errFleet, path, n, host.Module.Gateways, len(paths))
		case f.Gateways[n].Config != "":
			return f, fmt.Errorf("%w: %s: number %d is %s's", errFleet, path, n, f.Gateways[n].Name)
		case f.Classes != nil && !slices.Equal(f.Classes, classes):
			return f, fmt.Errorf("%w: %s: its classes are not the others'", errFleet, path)
		}
		f.Classes = classes
		f.Gateways[n] = Gateway{Name: conf.Name, Config: path, Listen: conf.Listen}
	}
	return f, nil
}

// Checked is a plan that was checked whole: its versions exist and can be read.
type Checked struct {
	Plan  rollout.Plan
	Text  []byte
	Fleet Fleet
	IDs   map[string]rollout.ID
}

// CheckPlan reads a plan and all that it names, before anything is done.
func CheckPlan(text []byte) (Checked, error) {
	c := Checked{Text: text, IDs: map[string]rollout.ID{}}
	pattern, err := rollout.PlanConfigs(text)
	if err != nil {
		return c, err
	}
	if c.Fleet, err = ReadFleet(pattern); err != nil {
		return c, err
	}
	if c.Plan, err = rollout.ParsePlan(text, len(c.Fleet.Gateways)); err != nil {
		return c, err
	}
	for key, v := range map[string]rollout.Version{rollout.OldVersion: c.Plan.Old, rollout.NewVersion: c.Plan.New} {
		id, err := identify(v, c.Plan.Fleet, c.Plan.Reports)
		if err != nil {
			return c, fmt.Errorf("plan: %s.%w", key, err)
		}
		c.IDs[key] = id
	}
	if c.IDs[rollout.OldVersion] == c.IDs[rollout.NewVersion] {
		return c, errors.New("plan: new: it is the old version: neither the program's nor the operator's file differs")
	}
	for _, k := range c.Plan.Checks {
		if !slices.Contains(c.Fleet.Classes, k.Class) {
			return c, fmt.Errorf("plan: check.class: the fleet has no class %q", k.Class)
		}
	}
	return c, nil
}

// identify checks a version's files and reports how it shows in reports.
func identify(v rollout.Version, fleet, listen string) (id rollout.ID, err error) {
	info, err := os.Stat(v.Program)
	if err == nil && (info.IsDir() || info.Mode()&0o111 == 0) {
		err = fmt.Errorf("%s is no executable", v.Program)
	}
	if err != nil {
		return id, fmt.Errorf("program: %w", err)
	}
	if id.Program, err = program.HashFile(v.Program); err != nil {
		return id, fmt.Errorf("program: %w", err)
	}
	if v.Operator == "" {
		return id, errors.New("operator: without an operator's file gateways report nothing")
	}
	text, err := os.ReadFile(v.Operator)
	if err != nil {
		return id, fmt.Errorf("operator: %w", err)
	}
	op, err := settings.ParseOperator(text)
	if err != nil {
		return id, fmt.Errorf("operator: %s: %w", v.Operator, err)
	}
	switch {
	case op.Rollout == nil:
		return id, fmt.Errorf("operator: %s: it has no section rollout", v.Operator)
	case op.Rollout.ReportTo.String() != listen:
		return id, fmt.Errorf("operator: %s: rollout.report_to is %v, the plan has %s", v.Operator, op.Rollout.ReportTo, listen)
	case op.Membership.Fleet != fleet:
		return id, fmt.Errorf("operator: %s: membership.fleet is %q, the plan's fleet %q", v.Operator, op.Membership.Fleet, fleet)
	}
	id.Settings, err = program.HashFile(v.Operator)
	return id, err
}
