package core

import (
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/policy"
)

// inflight is the field of an engine's report that gateways share: how many queries run at the engine.
const inflight = "inflight"

// ShareLoadReports has the gateway publish and receive load reports. It must be called before the first event.
func (c *Core) ShareLoadReports(d *loadreport.Digest) { c.digest = d }

// EngineNumber returns the number that identifies the engine with this name in load reports.
func EngineNumber(name string) uint64 { return uint64(engineID(name)) }

// updateShared sets the engines whose load reports are shared: those that are listed as ready and that the gateway uses.
func (c *Core) updateShared() {
	if c.digest == nil {
		return
	}
	var numbers []uint64
	for id, e := range c.engines {
		if e.Health == policy.Ready && c.inSubset(e) {
			numbers = append(numbers, uint64(id))
		}
	}
	c.digest.SetEngines(numbers)
}

// recordLoad records the load that an answer reported.
func (c *Core) recordLoad(now time.Duration, engine policy.EngineID, fields []Field) {
	if c.digest == nil {
		return
	}
	for _, f := range fields {
		if f.Name == inflight {
			c.digest.Record(now, uint64(engine), int(f.Value))
		}
	}
}

// ReceiveLoadReports takes a message of another gateway and hands the module the load reports that are newer.
func (c *Core) ReceiveLoadReports(now time.Duration, body []byte) []Action {
	if c.digest == nil {
		return nil
	}
	var reports []policy.PeerReport
	for _, w := range c.digest.Receive(now, body) {
		reports = append(reports, policy.PeerReport{Engine: policy.EngineID(w.Engine), Inflight: float64(w.Load), ReportedAt: w.At})
	}
	if len(reports) == 0 {
		return nil
	}
	return c.dispatch(now, policy.PeerReports{Reports: reports})
}
