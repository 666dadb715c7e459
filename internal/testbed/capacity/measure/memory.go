package measure

import "frostpier/internal/testbed/capacity"

// Memory use of the measurements in bytes, estimated from earlier runs.
const (
	memberBytes     = 320      // membership table of a gateway, for each other gateway
	reportBytes     = 90       // load reports of a gateway, for each engine
	baseBytes       = 48 << 20 // everything else
	collectorFactor = 2        // ratio of heap to live memory between garbage collections
)

// MemoryNeed returns an estimate of the peak memory use of the measurements in bytes.
func (o Options) MemoryNeed() int64 {
	sizes, need := o.sizes(), 0
	if o.selects(capacity.GroupMembership) || o.selects(capacity.GroupFaults) {
		for _, gateways := range sizes.gateways {
			need = max(need, fleetBytes(gateways, faultEngines))
		}
	}
	if o.selects(capacity.GroupReports) {
		for _, fleet := range sizes.fleets {
			need = max(need, fleetBytes(fleet.gateways, fleet.engines))
		}
	}
	return int64(baseBytes + collectorFactor*need)
}

// fleetBytes estimates the memory use of a fleet whose gateways all run in this process.
func fleetBytes(gateways, engines int) int {
	return gateways * (gateways*memberBytes + engines*reportBytes)
}

// CheckMemory returns a *MemoryLimitError if the measurements need more than the allowed number of bytes.
func (o Options) CheckMemory(allowed int64) error {
	if need := o.MemoryNeed(); need > allowed {
		return &MemoryLimitError{Needed: need, Allowed: allowed}
	}
	return nil
}

// selects reports whether the options select the group.
func (o Options) selects(group capacity.Group) bool { return o.Group == "" || o.Group == group }
