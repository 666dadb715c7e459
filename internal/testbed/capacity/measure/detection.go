package measure

import (
	"time"

	"frostpier/internal/control/membership/simulation"
)

const killsApart = 30 * time.Second

// Detected is when kills of single gateways were noticed, in seconds.
type Detected struct {
	First float64 // median, from the kill until the first member held it dead
	All   float64 // median, from then until the last did
	Most  float64 // longest, from the kill until the last did
}

// Detection kills gateways one after the other on a virtual clock.
func Detection(gateways, kills int, loss float64, seed uint64) (Detected, error) {
	figures, err := simulation.Kills(simulation.Setup{Members: gateways, Seed: seed, Loss: loss, Spread: time.Second,
		Every: 1 << 30}, kills, killsApart)
	if err != nil {
		return Detected{}, err
	}
	longest := simulation.Quantile(figures.First, 1) + simulation.Quantile(figures.All, 1)
	return Detected{First: simulation.Quantile(figures.First, 0.5).Seconds(),
		All: simulation.Quantile(figures.All, 0.5).Seconds(), Most: longest.Seconds()}, nil
}
