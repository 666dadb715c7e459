package capacity

import "fmt"

// Status is the result of comparing a resource use with a requirement.
type Status string

// The statuses.
const (
	Fits   Status = "fits"   // the use is within the limit
	Misses Status = "misses" // the use exceeds the limit
	Absent Status = "absent" // the program has no mechanism for the requirement
)

// Verdict is a status with the figures that it is based on.
type Verdict struct {
	Status      Status
	Factor      float64 // use divided by limit; 0 if absent
	Requirement string
}

// compare returns the verdict on a resource use with the given limit.
func compare(requirement string, use, limit float64) Verdict {
	status := Fits
	if use > limit {
		status = Misses
	}
	return Verdict{status, use / limit, requirement}
}

// absentVerdict returns the verdict on a requirement for which the program has no mechanism.
func absentVerdict(requirement string) Verdict { return Verdict{Absent, 0, requirement} }

// String returns the verdict as printed on the page.
func (v Verdict) String() string {
	switch v.Status {
	case Fits:
		return fmt.Sprintf("fits: %s of %s", formatPercent(v.Factor), v.Requirement)
	case Misses:
		return fmt.Sprintf("**misses by %sx**: %s", formatNumber(v.Factor), v.Requirement)
	}
	return "**absent**: " + v.Requirement
}
