package policy

import (
	"math"
)

// Slow start of engines that have just started (rule 4): the work sent to a warming engine within a span of time is
// limited to a budget, which all gateways keep together without talking to each other.
const (
	// warmupBudgetMargin is the share of the budget that is used, as engine speeds and actual work scatter.
	warmupBudgetMargin = 0.65

	// warmupWorkFactor multiplies the expected work charged to the budget, for the same reason.
	warmupWorkFactor = 1.25

	// warmupQueryFactor is the size of the query for which turns are sized, in mean works of its class.
	warmupQueryFactor = 1.2
)

// warmingUp reports whether an engine started less than the warm-up time ago.
func (g *Gateway) warmingUp(e *engine) bool {
	return e.Started > 0 && g.now-e.Started < g.settings.Rules.WarmupTime
}

// warmupFactor is the share of its capacity that an engine is assumed to have: it increases linearly during warm-up.
func (g *Gateway) warmupFactor(e *engine) float64 {
	if !g.warmingUp(e) {
		return 1
	}
	initial := g.settings.Rules.InitialCapacityShare
	return initial + (1-initial)*float64(g.now-e.Started)/float64(g.settings.Rules.WarmupTime)
}

// withinWarmupBudget reports whether a request stays within this gateway's part of the warm-up budget of an engine; for
// an engine that is not warming up it always does.
//
// An even share of the budget is less than one query if there are many gateways. So the gateways take turns: in each
// span only some of them may send, selected by gateway number, span and engine, which all gateways know. The turns of
// two consecutive spans together stay within the budget, since a sliding span can overlap both. A gateway that has just
// started does not know what it sent before its restart, so it sends nothing for one span.
func (g *Gateway) withinWarmupBudget(r *request, e *engine) bool {
	rules := g.settings.Rules
	if !g.warmingUp(e) || rules.WarmupBudgetMultiple <= 0 || rules.WarmupBudgetSpan <= 0 {
		return true
	}
	if g.now-g.startedAt < rules.WarmupBudgetSpan && e.Started < g.startedAt {
		return false
	}
	budget := g.warmupBudget(e)
	turn := int((g.now - e.Started) / rules.WarmupBudgetSpan)
	sharing := g.gatewaysPerTurn(budget, turn)
	if !g.hasWarmupTurn(e, turn, sharing) {
		return false
	}
	share := budget / min(float64(g.settings.Gateways), 2*sharing)
	return e.warmupWork.total(g.now, rules.WarmupBudgetSpan+g.settings.Tick)+g.warmupCharge(r) <= share
}

// warmupBudget is the work in seconds that all gateways together may send to a warming engine within a span.
func (g *Gateway) warmupBudget(e *engine) float64 {
	rules := g.settings.Rules
	return warmupBudgetMargin * rules.InitialCapacityShare * e.cores *
		rules.WarmupBudgetMultiple * rules.WarmupBudgetSpan.Seconds()
}

// gatewaysPerTurn is how many gateways share the budget of a turn, so that each share admits a query. Each turn is
// sized for another class, so that all classes get a chance.
func (g *Gateway) gatewaysPerTurn(budget float64, turn int) float64 {
	sizedFor := g.classes[turn%len(g.classes)]
	queryWork := max(minWorkSeconds, warmupQueryFactor*warmupWorkFactor*sizedFor.meanWork)
	return min(float64(g.settings.Gateways), max(1, math.Floor(budget/2/queryWork)))
}

// hasWarmupTurn reports whether it is this gateway's turn. The low bits of the engine's ID vary the turns by engine.
func (g *Gateway) hasWarmupTurn(e *engine, turn int, gatewaysPerTurn float64) bool {
	rounds := int(math.Ceil(float64(g.settings.Gateways) / gatewaysPerTurn))
	return (turn/len(g.classes)+g.settings.GatewayIndex+int(e.ID&0xffff))%rounds == 0
}

// warmupCharge is the work in seconds that a request is charged against the budget: its expected work, but at least
// half of its class's mean, as a warming engine has to read more than usual.
func (g *Gateway) warmupCharge(r *request) float64 {
	return warmupWorkFactor * max(g.expectedWork(r), r.class.meanWork/2)
}
