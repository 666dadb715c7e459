package measure

import (
	"runtime"
	"time"
)

// quietTime is how long membership without faults is measured.
const quietTime = time.Minute

// QuietCost is the cost of membership to a gateway without faults.
type QuietCost struct {
	BytesPerSecond float64 // sent per second
	Processor      float64 // processor seconds per second, including the simulator
	Memory         float64 // bytes of one member
}

// QuietMembership measures membership without faults or lost datagrams.
func QuietMembership(gateways int, seed uint64) (QuietCost, error) {
	before := liveMemory()
	f, err := newFleet(FleetSetup{Gateways: gateways, Seed: seed})
	if err != nil {
		return QuietCost{}, err
	}
	if err := f.Run(startupTime); err != nil {
		return QuietCost{}, err
	}
	cost := QuietCost{Memory: (liveMemory() - before) / float64(gateways)}
	sentBefore, started := sum(f.SentBytes), processorTime()
	if err := f.Run(quietTime); err != nil {
		return QuietCost{}, err
	}
	gatewaySeconds := float64(gateways) * quietTime.Seconds()
	cost.Processor = (processorTime() - started).Seconds() / gatewaySeconds
	cost.BytesPerSecond = float64(sum(f.SentBytes)-sentBefore) / gatewaySeconds
	runtime.KeepAlive(f)
	return cost, nil
}
