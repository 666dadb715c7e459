package program

import (
	"fmt"
	"time"

	"frostpier/internal/control/rollout"
)

// statsInterval is the time between two logs of the counts.
const statsInterval = 10 * time.Second

// scheduleStats logs the counts every statsInterval.
func (p *program) scheduleStats() {
	p.loop.After(statsInterval, func() {
		p.logStats()
		p.scheduleStats()
	})
}

func (p *program) logStats() {
	p.logMembership()
	if p.loadReports != nil {
		p.log.Info("load report counts", "total", p.loadReports.Counts())
	}
	p.logVersions()
	p.logSubset()
	c := p.dispatcher.Core
	p.log.Info("counts", "total", c.Counts(), "open", c.PendingRequests(), "out", c.AttemptsInFlight(),
		"lag", p.loop.Lag(), "invariants", p.invariants.Violations())
}

func (p *program) logMembership() {
	if p.membership == nil {
		return
	}
	serving, health, unsent, counts := p.membership.Counts()
	p.log.Info("membership counts", "in_service", serving, "health", health, "unsent", unsent, "total", counts)
}

// logVersions logs which versions the gateways in service run.
func (p *program) logVersions() {
	if p.version == nil || p.membership == nil {
		return
	}
	counts := p.version.versions.Counts(p.version.number, p.membership.IsInService)
	own := fmt.Sprintf("%016x/%016x", p.version.own.Program, p.version.own.Settings)
	p.log.Info("versions", "own", own, "in_service", rollout.FormatVersionCounts(counts), "reports_unsent", p.version.sender.Unsent())
}

// logSubset logs the size of the engine subset and how many gateways share it.
func (p *program) logSubset() {
	if p.subset == nil || !p.subset.Enabled() {
		return
	}
	c := p.dispatcher.Core.SubsetCounts()
	p.log.Info("subset counts", "engines", c.Listed, "subset", c.Subset, "serving", c.Serving, "holders", c.MeanGateways,
		"sharers", c.GatewaysSharing, "added", c.Added, "removed", c.Removed)
}
