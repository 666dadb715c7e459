package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// Kinds of a PlanError, for errors.Is.
var (
	ErrPlanSyntax     = errors.New("syntax error in a plan")
	ErrPlanType       = errors.New("value of the wrong type in a plan")
	ErrPlanUnknownKey = errors.New("unknown key in a plan")
	ErrPlanValue      = errors.New("invalid value in a plan")
)

// PlanError describes why a plan is invalid.
type PlanError struct {
	Kind   error  // ErrPlanSyntax, ErrPlanType, ErrPlanUnknownKey or ErrPlanValue
	Line   int    // line of the key, from 1; if the key is missing, of its table, or 1. 0 = unknown
	Key    string // with its table, as in "judge.worse"; empty if the text is not valid TOML
	Value  any    // value of the key; nil if it could not be decoded
	Reason string // what is wrong, including the bound that the value violates
	Err    error  // the underlying error, nil if there is none
}

// Error returns the message that is printed for operators.
func (e *PlanError) Error() string {
	switch {
	case e.Kind == ErrPlanType, e.Key == "" && e.Line == 0:
		return "plan: " + e.Reason
	case e.Line == 0:
		return fmt.Sprintf("plan: %s: %s", e.Key, e.Reason)
	case e.Kind == ErrPlanUnknownKey:
		return fmt.Sprintf("plan: line %d: unknown key %s", e.Line, e.Key)
	case e.Kind == ErrPlanSyntax:
		return fmt.Sprintf("plan: line %d, key %q: %s", e.Line, e.Key, e.Reason)
	}
	return fmt.Sprintf("plan: line %d: %s: %s", e.Line, e.Key, e.Reason)
}

// Unwrap returns the kind and the underlying error, if any.
func (e *PlanError) Unwrap() []error {
	if e.Err == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Err}
}

const missingReason = "a value is required"

// ParseConfigPattern returns the glob pattern of a plan's gateway configurations. ParsePlan needs the number of these
// configurations. Errors are *PlanError.
func ParseConfigPattern(text []byte) (string, error) {
	var p Plan
	if _, err := toml.Decode(string(text), &p); err != nil {
		return "", decodeError(err)
	}
	if p.Configs == "" {
		return "", &PlanError{Kind: ErrPlanValue, Line: 1, Key: "configs", Value: p.Configs, Reason: missingReason}
	}
	return p.Configs, nil
}

// ParsePlan parses the plan for a fleet with the given number of gateways, sets the defaults and validates all values. Errors are
// *PlanError.
func ParsePlan(text []byte, gateways int) (Plan, error) {
	var p Plan
	meta, err := toml.Decode(string(text), &p)
	if err != nil {
		return p, decodeError(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return p, &PlanError{Kind: ErrPlanUnknownKey, Line: lineOf(text, unknown[0]), Key: unknown[0].String(), Reason: "unknown key"}
	}
	p.setDefaults()
	if found := p.validate(gateways); found != nil {
		line := lineOf(text, strings.Split(found.key, "."))
		return p, &PlanError{Kind: ErrPlanValue, Line: line, Key: found.key, Value: found.value, Reason: found.reason}
	}
	return p, nil
}

// decodeError converts an error of the TOML decoder to a *PlanError.
func decodeError(err error) error {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return &PlanError{Kind: ErrPlanSyntax, Line: syntax.Position.Line, Key: syntax.LastKey, Reason: syntax.Message, Err: err}
	}
	line, key := typeErrorPosition(err)
	return &PlanError{Kind: ErrPlanType, Line: line, Key: key, Reason: err.Error(), Err: err}
}

// typeErrorPattern matches the TOML decoder's errors for a value of the wrong type. The decoder has no error type for them: line
// and key are only in the text.
var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): `)

// typeErrorPosition extracts line and key from an error that matches typeErrorPattern, and returns 0 and "" for any other error.
func typeErrorPosition(err error) (line int, key string) {
	match := typeErrorPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 0, ""
	}
	line, err = strconv.Atoi(match[1])
	if err != nil {
		return 0, ""
	}
	return line, match[2]
}

// lineOf returns the line of a key, counted from 1. If the key is missing it returns the line of its table, and 1 if there is no
// such table either.
func lineOf(text []byte, key []string) int {
	name := key[len(key)-1]
	inTable := len(key) > 1
	table := ""
	found := 1
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(line, "[] ")
			if inTable && table == key[0] {
				found = i + 1
			}
			continue
		}
		left, _, _ := strings.Cut(line, "=")
		isInTable := !inTable && table == "" || inTable && table == key[0]
		if strings.TrimSpace(left) == name && isInTable {
			return i + 1
		}
	}
	return found
}

// setDefaults replaces zero values with the defaults.
func (p *Plan) setDefaults() {
	p.Reports = cmp.Or(p.Reports, p.Listen)
	p.Watch.setDefaults()
	p.Change.setDefaults()
	p.Judge.setDefaults(len(p.Checks) > 0)
	for i := range p.Checks {
		c := &p.Checks[i]
		c.IntervalMS = cmp.Or(c.IntervalMS, 50)
		c.BudgetMS = cmp.Or(c.BudgetMS, 4000)
	}
}

func (w *Watch) setDefaults() {
	w.MinSeconds = cmp.Or(w.MinSeconds, 30)
	w.MaxSeconds = cmp.Or(w.MaxSeconds, 300)
	w.OnInconclusive = cmp.Or(w.OnInconclusive, HoldInconclusive)
}

func (c *ChangeLimits) setDefaults() {
	c.MaxUnavailable = cmp.Or(c.MaxUnavailable, 1)
	c.ReadyTimeoutSeconds = cmp.Or(c.ReadyTimeoutSeconds, 20)
	c.StopTimeoutSeconds = cmp.Or(c.StopTimeoutSeconds, 10)
	c.ReportTimeoutSeconds = cmp.Or(c.ReportTimeoutSeconds, 5)
}

func (j *Judge) setDefaults(checks bool) {
	j.FalseAlarmProbability = cmp.Or(j.FalseAlarmProbability, 0.02)
	j.AllowedRegression = cmp.Or(j.AllowedRegression, 0.02)
	j.NonInferiorityMargin = cmp.Or(j.NonInferiorityMargin, 0.15)
	j.MinAnswers = cmp.Or(j.MinAnswers, 5)
	if checks {
		j.MinChecks = cmp.Or(j.MinChecks, 200)
	}
	j.MemoryFactor = cmp.Or(j.MemoryFactor, 1.6)
	j.ExtraMemoryMB = cmp.Or(j.ExtraMemoryMB, 24)
	j.MaxCrashes = cmp.Or(j.MaxCrashes, 2)
}
