package measure

import (
	"runtime"
	"time"
)

// quietTime is the duration of the measurement of membership without faults.
const quietTime = time.Minute

// QuietCost is the cost of membership without faults at one gateway.
type QuietCost struct {
	BytesPerSecond float64 // bytes sent per second
	Processor      float64 // CPU seconds per second, including the simulator
	Memory         float64 // bytes
}

// QuietMembership measures the cost of membership without faults and without datagram loss.
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
