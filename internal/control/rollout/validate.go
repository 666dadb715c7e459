package rollout

import (
	"fmt"
	"strings"
)

const (
	minWatchSeconds    = 0.1
	minSilentSeconds   = 1 // gateways report once a second
	minCheckIntervalMS = 10
	maxStages          = 50
)

// problem is a key of a plan whose value is invalid.
type problem struct {
	key    string // with its table, as "watch.most_s"
	value  any
	reason string
}

// validate returns the first problem of a plan with its defaults set, nil if there is none.
func (p *Plan) validate(gateways int) *problem {
	checks := []func() *problem{
		func() *problem { return p.validateFleet(gateways) },
		p.validateWatch,
		func() *problem { return p.Change.validate(gateways) },
		p.Judge.validate,
		p.validateChecks,
		func() *problem { return p.validateStages(gateways) },
	}
	for _, check := range checks {
		if found := check(); found != nil {
			return found
		}
	}
	return nil
}

func (p *Plan) validateFleet(gateways int) *problem {
	switch {
	case p.Name == "" || strings.ContainsAny(p.Name, "\n/"):
		return &problem{"name", p.Name, "the change needs a name on one line, without a slash"}
	case p.Fleet == "":
		return &problem{"fleet", p.Fleet, "the fleet needs its name"}
	case p.Listen == "":
		return &problem{"listen", p.Listen, "gateways need an address to report to"}
	case gateways < 2:
		return &problem{"configs", p.Configs, fmt.Sprintf("%d gateways: there is nobody to compare with", gateways)}
	case p.Old.Program == "":
		return &problem{"old.program", p.Old.Program, missingReason}
	case p.New.Program == "":
		return &problem{"new.program", p.New.Program, missingReason}
	}
	return nil
}

func (p *Plan) validateWatch() *problem {
	w := p.Watch
	switch {
	case w.MinSeconds < minWatchSeconds || w.MaxSeconds < w.MinSeconds:
		return &problem{"watch.most_s", w.MaxSeconds, fmt.Sprintf("%g s at least, %g s at most", w.MinSeconds, w.MaxSeconds)}
	case w.OnInconclusive != HoldInconclusive && w.OnInconclusive != RollBackInconclusive:
		return &problem{"watch.unknown", w.OnInconclusive, fmt.Sprintf("%q is neither hold nor back", w.OnInconclusive)}
	}
	return nil
}

func (c *Change) validate(gateways int) *problem {
	const negative = "it is below 0"
	switch {
	case c.MaxUnavailable < 1 || c.MaxUnavailable >= gateways:
		return &problem{"change.down_at_once", c.MaxUnavailable, fmt.Sprintf("%d of %d gateways", c.MaxUnavailable, gateways)}
	case c.ReadyTimeoutSeconds < 0:
		return &problem{"change.ready_s", c.ReadyTimeoutSeconds, negative}
	case c.StopTimeoutSeconds < 0:
		return &problem{"change.stop_s", c.StopTimeoutSeconds, negative}
	case c.ReportTimeoutSeconds < minSilentSeconds:
		return &problem{"change.silent_s", c.ReportTimeoutSeconds, "gateways report each second: it has to be 1 at least"}
	}
	return nil
}

func (j *Judge) validate() *problem {
	share := func(v float64) bool { return v > 0 && v < 1 }
	switch {
	case !share(j.FalseAlarmProbability):
		return &problem{"judge.false_alarm", j.FalseAlarmProbability, fmt.Sprintf("%g is no chance between 0 and 1", j.FalseAlarmProbability)}
	case !share(j.AllowedRegression):
		return &problem{"judge.worse", j.AllowedRegression, fmt.Sprintf("%g is no share between 0 and 1", j.AllowedRegression)}
	case !share(j.NonInferiorityMargin) || j.NonInferiorityMargin < j.AllowedRegression:
		return &problem{"judge.not_worse", j.NonInferiorityMargin,
			fmt.Sprintf("%g is no share between judge.worse and 1", j.NonInferiorityMargin)}
	case j.MemoryFactor < 1:
		return &problem{"judge.memory_times", j.MemoryFactor, "a new gateway would have to use less memory"}
	case j.MinAnswers < 0 || j.MinChecks < 0 || j.MaxCrashes < 1:
		return &problem{"judge.least_answers", j.MinAnswers, "counts are 0 or more, crashes 1 or more"}
	}
	return nil
}

func (p *Plan) validateChecks() *problem {
	for _, c := range p.Checks {
		if c.Class == "" || c.Statement == "" || c.IntervalMS < minCheckIntervalMS || c.BudgetMS < 1 {
			return &problem{"check.statement", c.Statement,
				"a check needs a class, a statement, every_ms of 10 or more and budget_ms"}
		}
	}
	return nil
}

func (p *Plan) validateStages(gateways int) *problem {
	invalid := func(format string, args ...any) *problem {
		return &problem{"stages", p.Stages, fmt.Sprintf(format, args...)}
	}
	if len(p.Stages) == 0 || len(p.Stages) > maxStages {
		return invalid("there are none, or more than %d", maxStages)
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
		return invalid("the last is %d of %d gateways: it has to be all", previous, gateways)
	}
	if first, _ := stageSize(p.Stages[0], gateways); first == gateways {
		return invalid("the first is the whole fleet: there is nobody to compare with")
	}
	return nil
}
