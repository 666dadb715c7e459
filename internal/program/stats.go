package program

import (
	"fmt"
	"runtime"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/transport/eventloop"
)

// statsInterval is the interval at which counts are logged.
const statsInterval = 10 * time.Second

// watchWindow is the time without a wait after which the event loop counts as busy.
const watchWindow = 2 * time.Second

// logBusyLoop logs what the event loop did in a window in which it never waited.
func (p *program) logBusyLoop(a eventloop.Activity) {
	p.log.Warn("event loop did not wait", "window", a.Window, "functions", a.Functions, "urgent", a.Urgent, "queued", a.Queued,
		"goroutines", runtime.NumGoroutine())
}

// scheduleStats starts logging the counts every statsInterval.
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
	p.log.Info("request counts", "total", c.Counts(), "open", c.PendingRequests(), "held_bytes", c.QueryBytes(), "out", c.AttemptsInFlight(),
		"lag", p.loop.Lag(), "invariants", p.invariants.Violations())
}

func (p *program) logMembership() {
	if p.membership == nil {
		return
	}
	serving, health, unsent, counts := p.membership.Counts()
	p.log.Info("membership counts", "in_service", serving, "health", health, "unsent", unsent, "total", counts)
}

// logVersions logs how many gateways in service run each version of the program.
func (p *program) logVersions() {
	if p.reporter == nil || p.membership == nil {
		return
	}
	counts := p.reporter.versions.Counts(p.reporter.gatewayIndex, p.membership.IsInService)
	own := fmt.Sprintf("%016x/%016x", p.reporter.ownVersion.Program, p.reporter.ownVersion.Settings)
	p.log.Info("version counts", "own", own, "in_service", rollout.FormatVersionCounts(counts), "reports_unsent", p.reporter.sender.Unsent())
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
