package measure

import (
	"errors"
	"fmt"

	"frostpier/internal/testbed/capacity"
)

// What the measurements hold, in bytes: estimates from earlier runs, with twice the live memory for the collector.
const (
	memberBytes     = 320 // of a gateway's membership table, for each other gateway
	reportBytes     = 90  // of a gateway's load reports, for each engine
	collectorFactor = 2
	baseBytes       = 48 << 20
)

var errMemory = errors.New("not enough memory allowed")

// MemoryNeed is the memory in bytes that the measurements take at the most.
func (o Options) MemoryNeed() int64 {
	size, need := o.sizes(), 0
	if o.runs(capacity.GroupMembership) || o.runs(capacity.GroupFaults) {
		for _, gateways := range size.gateways {
			need = max(need, gateways*(gateways*memberBytes+faultEngines*reportBytes))
		}
	}
	if o.runs(capacity.GroupReports) {
		for _, fleet := range size.fleets {
			need = max(need, fleet[0]*(fleet[0]*memberBytes+fleet[1]*reportBytes))
		}
	}
	return int64(baseBytes + collectorFactor*need)
}

// CheckMemory refuses measurements that take more than is allowed, before any begins.
func (o Options) CheckMemory(allowed int64) error {
	if need := o.MemoryNeed(); need > allowed {
		return fmt.Errorf("%w: about %d MB are needed, %d MB allowed", errMemory, need>>20, allowed>>20)
	}
	return nil
}

// runs reports whether a group is measured.
func (o Options) runs(group capacity.Group) bool { return o.Only == "" || o.Only == group }
