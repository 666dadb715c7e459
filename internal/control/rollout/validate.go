package rollout

import (
	"fmt"
	"strings"
)

const (
	minWatchSeconds         = 0.1
	minReportTimeoutSeconds = 1 // gateways report once a second
	minCheckIntervalMS      = 10
	maxStages               = 50
)

// invalidValue describes a key of a plan whose value is invalid.
type invalidValue struct {
	key    string // with its table, as in "watch.most_s"
	value  any
	reason string
}

// validate returns the first invalid value of the plan, or nil if all are valid. The defaults must have been set.
func (p *Plan) validate(gateways int) *invalidValue {
	checks := []func() *invalidValue{
		func() *invalidValue { return p.validateFleet(gateways) },
		p.validateWatch,
		func() *invalidValue { return p.Change.validate(gateways) },
		p.Judge.validate,
		p.validateChecks,
		func() *invalidValue { return p.validateStages(gateways) },
	}
	for _, check := range checks {
		if found := check(); found != nil {
			return found
		}
	}
	return nil
}

func (p *Plan) validateFleet(gateways int) *invalidValue {
	switch {
	case p.Name == "" || strings.ContainsAny(p.Name, "\n/"):
		return &invalidValue{"name", p.Name, "a name is required, on one line and without slashes"}
	case p.Fleet == "":
		return &invalidValue{"fleet", p.Fleet, "the name of the fleet is required"}
	case p.Listen == "":
		return &invalidValue{"listen", p.Listen, "an address for the gateways' reports is required"}
	case gateways < 2:
		return &invalidValue{"configs", p.Configs, fmt.Sprintf("%d gateways: at least 2 are needed, to compare the versions", gateways)}
	case p.Old.Program == "":
		return &invalidValue{"old.program", p.Old.Program, missingReason}
	case p.New.Program == "":
		return &invalidValue{"new.program", p.New.Program, missingReason}
	}
	return nil
}

func (p *Plan) validateWatch() *invalidValue {
	w := p.Watch
	switch {
	case w.MinSeconds < minWatchSeconds || w.MaxSeconds < w.MinSeconds:
		return &invalidValue{"watch.most_s", w.MaxSeconds, fmt.Sprintf("%g s (watch.least_s) to %g s is not a valid range", w.MinSeconds, w.MaxSeconds)}
	case w.OnInconclusive != HoldInconclusive && w.OnInconclusive != RollBackInconclusive:
		return &invalidValue{"watch.unknown", w.OnInconclusive, fmt.Sprintf("%q is neither \"hold\" nor \"back\"", w.OnInconclusive)}
	}
	return nil
}

func (c *ChangeLimits) validate(gateways int) *invalidValue {
	const negative = "it must not be negative"
	switch {
	case c.MaxUnavailable < 1 || c.MaxUnavailable >= gateways:
		return &invalidValue{"change.down_at_once", c.MaxUnavailable,
			fmt.Sprintf("%d of %d gateways: it must be at least 1 and less than all", c.MaxUnavailable, gateways)}
	case c.ReadyTimeoutSeconds < 0:
		return &invalidValue{"change.ready_s", c.ReadyTimeoutSeconds, negative}
	case c.StopTimeoutSeconds < 0:
		return &invalidValue{"change.stop_s", c.StopTimeoutSeconds, negative}
	case c.ReportTimeoutSeconds < minReportTimeoutSeconds:
		return &invalidValue{"change.silent_s", c.ReportTimeoutSeconds, "it must be at least 1, as gateways report once a second"}
	}
	return nil
}

func (j *Judge) validate() *invalidValue {
	share := func(v float64) bool { return v > 0 && v < 1 }
	switch {
	case !share(j.FalseAlarmProbability):
		return &invalidValue{"judge.false_alarm", j.FalseAlarmProbability, fmt.Sprintf("%g is not a probability between 0 and 1", j.FalseAlarmProbability)}
	case !share(j.AllowedRegression):
		return &invalidValue{"judge.worse", j.AllowedRegression, fmt.Sprintf("%g is not a share between 0 and 1", j.AllowedRegression)}
	case !share(j.NonInferiorityMargin) || j.NonInferiorityMargin < j.AllowedRegression:
		return &invalidValue{"judge.not_worse", j.NonInferiorityMargin,
			fmt.Sprintf("%g is not a share between judge.worse and 1", j.NonInferiorityMargin)}
	case j.MemoryFactor < 1:
		return &invalidValue{"judge.memory_times", j.MemoryFactor, "it must be at least 1: otherwise new gateways would have to use less memory"}
	case j.MinAnswers < 0 || j.MinChecks < 0 || j.MaxCrashes < 1:
		return &invalidValue{"judge.least_answers", j.MinAnswers, "judge.least_answers and judge.least_checks must be at least 0, judge.crashes at least 1"}
	}
	return nil
}

func (p *Plan) validateChecks() *invalidValue {
	for _, c := range p.Checks {
		if c.Class == "" || c.Statement == "" || c.IntervalMS < minCheckIntervalMS || c.BudgetMS < 1 {
			return &invalidValue{"check.statement", c.Statement,
				"a check needs a class, a statement, every_ms of at least 10 and budget_ms of at least 1"}
		}
	}
	return nil
}

func (p *Plan) validateStages(gateways int) *invalidValue {
	invalid := func(format string, args ...any) *invalidValue {
		return &invalidValue{"stages", p.Stages, fmt.Sprintf(format, args...)}
	}
	if len(p.Stages) == 0 || len(p.Stages) > maxStages {
		return invalid("between 1 and %d stages are required", maxStages)
	}
	previous := 0
	for _, stage := range p.Stages {
		size, err := stageSize(stage, gateways)
		if err != nil {
			return invalid("%v", err)
		}
		if size <= previous {
			return invalid("%q is %d gateways, no more than the stage before it", stage, size)
		}
		previous = size
	}
	if previous != gateways {
		return invalid("the last stage is %d of %d gateways: it has to be all", previous, gateways)
	}
	if first, _ := stageSize(p.Stages[0], gateways); first == gateways {
		return invalid("the first stage is the whole fleet: no old gateways would be left to compare with")
	}
	return nil
}
