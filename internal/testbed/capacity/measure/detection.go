package measure

import (
	"time"

	"frostpier/internal/control/membership/simulation"
)

// killInterval is the time between two kills.
const killInterval = 30 * time.Second

// DetectionTimes is how long membership took to detect that single gateways were killed, in seconds.
type DetectionTimes struct {
	FirstMember float64 // median, from the kill until the first member declared it dead
	AllMembers  float64 // median, from then until every member did
	Max         float64 // longest, from the kill until every member did
}

// Detection measures membership's detection times: it kills that many gateways one after the other on a virtual clock,
// with the given share of datagrams lost.
func Detection(gateways, kills int, loss float64, seed uint64) (DetectionTimes, error) {
	figures, err := simulation.MeasureKills(simulation.Setup{Members: gateways, Seed: seed, Loss: loss, StartSpread: time.Second,
		StepsPerCheck: 1 << 30}, kills, killInterval)
	if err != nil {
		return DetectionTimes{}, err
	}
	longest := simulation.Quantile(figures.DetectionTimes, 1) + simulation.Quantile(figures.DisseminationTimes, 1)
	return DetectionTimes{
		FirstMember: simulation.Quantile(figures.DetectionTimes, 0.5).Seconds(),
		AllMembers:  simulation.Quantile(figures.DisseminationTimes, 0.5).Seconds(),
		Max:         longest.Seconds(),
	}, nil
}
