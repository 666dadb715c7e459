package measure

import "frostpier/internal/testbed/capacity"

// Memory that the measurements hold, in bytes, estimated from earlier runs.
const (
	memberBytes     = 320      // of a gateway's membership table, for each other gateway
	reportBytes     = 90       // of a gateway's load reports, for each engine
	baseBytes       = 48 << 20 // of everything else
	collectorFactor = 2        // heap over live memory, between collections
)

// MemoryNeed returns an estimate of the memory that the measurements take at most, in bytes.
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

// fleetBytes estimates the memory of a fleet whose gateways all run in this process.
func fleetBytes(gateways, engines int) int {
	return gateways * (gateways*memberBytes + engines*reportBytes)
}

// CheckMemory returns a *MemoryLimitError if the measurements take more than the allowed bytes.
func (o Options) CheckMemory(allowed int64) error {
	if need := o.MemoryNeed(); need > allowed {
		return &MemoryLimitError{Needed: need, Allowed: allowed}
	}
	return nil
}

// selects reports whether a group is measured.
func (o Options) selects(group capacity.Group) bool { return o.Group == "" || o.Group == group }
