package capacity

import "fmt"

// Status is the outcome of a check against a requirement.
type Status string

// The outcomes.
const (
	Fits   Status = "fits"
	Misses Status = "misses"
	Absent Status = "absent"
)

// Verdict is the outcome with its measure.
type Verdict struct {
	Status      Status
	Factor      float64 // use over limit; above 1 it misses
	Requirement string
}

// judge compares use with a limit.
func judge(requirement string, use, limit float64) Verdict {
	status := Fits
	if use > limit {
		status = Misses
	}
	return Verdict{status, use / limit, requirement}
}

// absent is for what the project has nothing for.
func absent(requirement string) Verdict { return Verdict{Absent, 0, requirement} }

// String words the verdict.
func (v Verdict) String() string {
	switch v.Status {
	case Fits:
		return fmt.Sprintf("fits: %s of %s", percent(v.Factor), v.Requirement)
	case Misses:
		return fmt.Sprintf("**misses by %sx**: %s", digits(v.Factor), v.Requirement)
	}
	return "**absent**: " + v.Requirement
}
