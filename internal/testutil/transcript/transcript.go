// Package transcript formats the steps returned by the state machines of attempts for golden files. The format does not depend on Go
// identifiers, so that renaming one does not change a transcript. Only test files import it.
package transcript

import (
	"fmt"
	"strings"

	"frostpier/internal/attempt"
)

// Steps returns one line with the name of the event, followed by an indented line for each step. Bytes are formatted as quoted Go
// strings.
func Steps(event string, steps []attempt.Step) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s\n", event)
	for _, s := range steps {
		fmt.Fprintf(&out, "  %s\n", formatStep(s))
	}
	return out.String()
}

func formatStep(s attempt.Step) string {
	switch s := s.(type) {
	case attempt.Open:
		return fmt.Sprintf("open %d new %v", s.Channel, s.Fresh)
	case attempt.Write:
		return fmt.Sprintf("write %d %q", s.Channel, s.Bytes)
	case attempt.Release:
		return fmt.Sprintf("release %d", s.Channel)
	case attempt.Close:
		return fmt.Sprintf("close %d", s.Channel)
	case attempt.SetTimer:
		return fmt.Sprintf("timer %d %v", s.Timer, s.After)
	case attempt.Progress:
		return fmt.Sprintf("progress %g", s.Done)
	case attempt.ResponseOverdue:
		return "overdue"
	case attempt.Relay:
		return fmt.Sprintf("relay %q", s.Bytes)
	case attempt.End:
		return fmt.Sprintf("end %d %q %q", s.Outcome, s.Result, s.Report)
	}
	return "unknown step"
}
