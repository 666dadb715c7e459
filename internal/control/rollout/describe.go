package rollout

import "fmt"

// describe formats a comparison of new and old gateways as text.
func describe(measure, class string, now, old float64, of uint64) string {
	return fmt.Sprintf("%s: %s %.3f, old gateways %.3f (%d of new ones)", class, measure, now, old, of)
}
