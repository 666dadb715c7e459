package controller

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"frostpier/internal/control/rollout"
	"frostpier/internal/program"
	"frostpier/internal/settings"
)

// CheckedPlan is a valid plan, with the fleet and the versions that it refers to.
type CheckedPlan struct {
	Plan  rollout.Plan
	Text  []byte // content of the plan's file
	Fleet Fleet
	IDs   map[string]rollout.VersionID // keyed by rollout.OldVersion and rollout.NewVersion
}

// namedVersion is the old or new version of a plan, with its key in the plan.
type namedVersion struct {
	key     string
	version rollout.Version
}

// CheckPlan parses a plan, and validates it with all files that it refers to. It changes nothing. Errors are of type
// *rollout.PlanError or *FleetError.
func CheckPlan(text []byte) (CheckedPlan, error) {
	c := CheckedPlan{Text: text, IDs: map[string]rollout.VersionID{}}
	pattern, err := rollout.ParseConfigPattern(text)
	if err != nil {
		return c, err
	}
	if c.Fleet, err = ReadFleet(pattern); err != nil {
		return c, err
	}
	if c.Plan, err = rollout.ParsePlan(text, len(c.Fleet.Gateways)); err != nil {
		return c, err
	}
	versions := []namedVersion{{rollout.OldVersion, c.Plan.Old}, {rollout.NewVersion, c.Plan.New}}
	for _, v := range versions {
		if c.IDs[v.key], err = v.identify(c.Plan.Fleet, c.Plan.Reports); err != nil {
			return c, err
		}
	}
	if c.IDs[rollout.OldVersion] == c.IDs[rollout.NewVersion] {
		return c, &rollout.PlanError{Kind: rollout.ErrPlanValue, Key: "new", Value: c.Plan.New,
			Reason: "it is the same as the old version: the program and the operator's file are identical"}
	}
	for _, check := range c.Plan.Checks {
		if !slices.Contains(c.Fleet.Classes, check.Class) {
			return c, &rollout.PlanError{Kind: rollout.ErrPlanValue, Key: "check.class", Value: check.Class,
				Reason: fmt.Sprintf("the fleet has no class %q", check.Class)}
		}
	}
	return c, nil
}

// identify validates the files of a version and returns the ID by which gateways report it.
func (v namedVersion) identify(fleet, reportTo string) (id rollout.VersionID, err error) {
	if id.Program, err = hashProgram(v.version.Program); err != nil {
		return id, v.invalid("program", v.version.Program, err)
	}
	if err := validateOperator(v.version.Operator, fleet, reportTo); err != nil {
		return id, v.invalid("operator", v.version.Operator, err)
	}
	if id.Settings, err = program.HashFile(v.version.Operator); err != nil {
		return id, v.invalid("operator", v.version.Operator, err)
	}
	return id, nil
}

func (v namedVersion) invalid(key, value string, err error) error {
	return &rollout.PlanError{Kind: rollout.ErrPlanValue, Key: v.key + "." + key, Value: value, Reason: err.Error(), Err: err}
}

// hashProgram returns the hash of a program. It fails if the file is not executable.
func hashProgram(path string) (uint64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return 0, fmt.Errorf("%s is not an executable file", path)
	}
	return program.HashFile(path)
}

// OperatorError means that a key of an operator's file does not match the plan.
type OperatorError struct {
	Path   string
	Key    string
	Reason string
}

// Error returns the text that operators see.
func (e *OperatorError) Error() string { return e.Path + ": " + e.Reason }

// validateOperator validates an operator's file. It must name the plan's fleet, and send reports to the controller.
func validateOperator(path, fleet, reportTo string) error {
	if path == "" {
		return errors.New("an operator's file is required: without one, gateways send no reports")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	op, err := settings.ParseOperator(text)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	switch {
	case op.Rollout == nil:
		return &OperatorError{path, "rollout", "section rollout is missing"}
	case op.Rollout.ReportTo.String() != reportTo:
		return &OperatorError{path, "rollout.report_to",
			fmt.Sprintf("rollout.report_to is %v, but the plan requires %s", op.Rollout.ReportTo, reportTo)}
	case op.Membership.Fleet != fleet:
		return &OperatorError{path, "membership.fleet",
			fmt.Sprintf("membership.fleet is %q, but the plan's fleet is %q", op.Membership.Fleet, fleet)}
	}
	return nil
}
