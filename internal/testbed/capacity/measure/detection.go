package measure

import (
	"time"

	"frostpier/internal/control/membership/simulation"
)

// killInterval is the virtual time between two kills.
const killInterval = 30 * time.Second

// DetectionTimes holds the times in seconds that membership needed to detect that a gateway was killed.
type DetectionTimes struct {
	FirstMember float64 // median time from the kill until the first member declared the gateway dead
	AllMembers  float64 // median time from then until all members had declared it dead
	Max         float64 // upper bound of the time from the kill until all members had declared it dead
}

// Detection measures the detection times of membership. It kills the given number of gateways one after the other on a
// virtual clock; loss is the probability that a datagram is lost.
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
