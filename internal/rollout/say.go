package rollout

import "fmt"

// say words a comparison for the log and for people.
func say(measure, class string, now, old float64, of uint64) string {
	return fmt.Sprintf("%s: %s %.3f, old gateways %.3f (%d of new ones)", class, measure, now, old, of)
}
