package core

import (
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/policy"
)

// ReportField is one value of an engine's load report. The settings define the names.
type ReportField struct {
	Name  string
	Value float64
}

// inflightField is the name of the only load report field that gateways exchange: the number of queries that the engine
// executes.
const inflightField = "inflight"

// ShareLoadReports makes the gateway exchange load reports with the other gateways through d. It must be called before the
// first event.
func (c *Core) ShareLoadReports(d *loadreport.Digest) { c.loadReports = d }

// EngineNumber returns the number that identifies the engine with this name in load reports and subsets.
func EngineNumber(name string) uint64 { return uint64(engineID(name)) }

// updateReportedEngines sets the engines whose load reports are exchanged: the ready engines that this gateway uses.
func (c *Core) updateReportedEngines() {
	if c.loadReports == nil {
		return
	}
	var numbers []uint64
	for id, e := range c.engines {
		if e.Health == policy.Ready && c.inSubset(e) {
			numbers = append(numbers, uint64(id))
		}
	}
	c.loadReports.SetEngines(numbers)
}

// recordLoad records the load report of a response for the other gateways.
func (c *Core) recordLoad(now time.Duration, engine policy.EngineID, fields []ReportField) {
	if c.loadReports == nil {
		return
	}
	for _, f := range fields {
		if f.Name == inflightField {
			c.loadReports.Record(now, uint64(engine), int(f.Value))
		}
	}
}

// ReceiveLoadReports handles a message from another gateway. It passes the load reports that are newer than the known
// ones to the module.
func (c *Core) ReceiveLoadReports(now time.Duration, body []byte) []Action {
	if c.loadReports == nil {
		return nil
	}
	var reports []policy.PeerReport
	for _, r := range c.loadReports.Receive(now, body) {
		reports = append(reports, policy.PeerReport{Engine: policy.EngineID(r.Engine), RunningQueries: float64(r.Load), ReportedAt: r.ReportedAt})
	}
	if len(reports) == 0 {
		return nil
	}
	return c.dispatch(now, policy.PeerReports{Reports: reports})
}
