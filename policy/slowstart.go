package policy

import (
	"math"
	"time"
)

// Slow start (rule 4): the work that all gateways together send to an engine during its warm-up is limited to a budget
// per time span. The gateways stay within it without coordination.
const (
	// warmupBudgetMargin is the share of the budget that is used. The rest is a reserve, because engine speeds and the
	// actual work of queries vary.
	warmupBudgetMargin = 0.65

	// warmupWorkFactor multiplies the expected work that is charged to the budget, because engine speeds and the actual
	// work of queries vary.
	warmupWorkFactor = 1.25

	// warmupQueryFactor is the work of a query that must fit into a gateway's share of a turn, in multiples of the mean
	// work of its class.
	warmupQueryFactor = 1.2
)

// warmingUp reports whether an engine started less than the warm-up time ago.
func (g *Gateway) warmingUp(e *engine) bool {
	return e.Started > 0 && g.now-e.Started < g.settings.Rules.WarmupTime
}

// warmupFactor returns the share of its capacity that an engine is assumed to have. It increases linearly during
// warm-up.
func (g *Gateway) warmupFactor(e *engine) float64 {
	if !g.warmingUp(e) {
		return 1
	}
	initial := g.settings.Rules.InitialCapacityShare
	return initial + (1-initial)*float64(g.timeSinceStart(e))/float64(g.settings.Rules.WarmupTime)
}

// timeSinceStart returns how long ago an engine started. It is 0 for an engine whose clock is ahead of this host's.
func (g *Gateway) timeSinceStart(e *engine) time.Duration { return max(0, g.now-e.Started) }

// withinWarmupBudget reports whether a request fits into this gateway's share of the warm-up budget of an engine. If
// the engine is not warming up, it always returns true.
//
// With many gateways, an even share of the budget is less than one query. Therefore the gateways take turns: in each
// time span only some of them may send to the engine. The gateway index, the number of the span and the engine ID,
// which are the same on all gateways, determine whose turn it is. Two consecutive turns together stay within the
// budget, because a sliding span can overlap both. A gateway that has just started does not know what it sent before
// its restart, so it sends nothing for one span.
func (g *Gateway) withinWarmupBudget(r *request, e *engine) bool {
	rules := g.settings.Rules
	if !g.warmingUp(e) || rules.WarmupBudgetMultiple <= 0 || rules.WarmupBudgetSpan <= 0 {
		return true
	}
	if g.now-g.startedAt < rules.WarmupBudgetSpan && e.Started < g.startedAt {
		return false
	}
	budget := g.warmupBudget(e)
	turn := int(g.timeSinceStart(e) / rules.WarmupBudgetSpan)
	sharing := g.gatewaysPerTurn(budget, turn)
	if !g.hasWarmupTurn(e, turn, sharing) {
		return false
	}
	share := budget / min(float64(g.settings.Gateways), 2*sharing)
	return e.warmupWork.total(g.now, rules.WarmupBudgetSpan+g.settings.Tick)+g.warmupCharge(r) <= share
}

// warmupBudget returns the work in seconds that all gateways together may send to an engine within a span of its
// warm-up.
func (g *Gateway) warmupBudget(e *engine) float64 {
	rules := g.settings.Rules
	return warmupBudgetMargin * rules.InitialCapacityShare * e.cores *
		rules.WarmupBudgetMultiple * rules.WarmupBudgetSpan.Seconds()
}

// gatewaysPerTurn returns the number of gateways that share the budget of a turn. It is chosen so that each share
// admits a query of one class; the class changes with each turn, so that queries of all classes can be sent.
func (g *Gateway) gatewaysPerTurn(budget float64, turn int) float64 {
	sizedFor := g.classes[turn%len(g.classes)]
	queryWork := max(minWorkSeconds, warmupQueryFactor*warmupWorkFactor*sizedFor.meanWork)
	return min(float64(g.settings.Gateways), max(1, math.Floor(budget/2/queryWork)))
}

// hasWarmupTurn reports whether it is this gateway's turn to send to an engine. The order of the gateways differs
// between engines by the low bits of the engine ID.
func (g *Gateway) hasWarmupTurn(e *engine, turn int, gatewaysPerTurn float64) bool {
	rounds := int(math.Ceil(float64(g.settings.Gateways) / gatewaysPerTurn))
	return (turn/len(g.classes)+g.settings.GatewayIndex+int(e.ID&0xffff))%rounds == 0
}

// warmupCharge returns the work in seconds that is charged to the budget for a request: its expected work, but at least
// half the mean work of its class, because an engine with cold caches has to read more than usual.
func (g *Gateway) warmupCharge(r *request) float64 {
	return warmupWorkFactor * max(g.expectedWork(r), r.class.meanWork/2)
}
