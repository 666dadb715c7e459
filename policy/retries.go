package policy

import "time"

const (
	// retryMargin is how many expected durations must be left until the client's deadline for a retry.
	retryMargin = 1.2

	// maxAttemptsBeforeCancel is the number of attempts from which none is cancelled in favor of a retry any more.
	maxAttemptsBeforeCancel = 2

	// lowWeightBudgetShare is the share of the retry budget open to requests of less than mean weight. The rest is
	// reserved for the others.
	lowWeightBudgetShare = 0.8

	// budgetRetryAfter is the Retry-After of a rejection for lack of retry budget. It is short, because
	// engines do have capacity.
	budgetRetryAfter = 20 * time.Millisecond
)

// retryOrFinish queues a request again after its attempt ended without a final answer, or finishes it if no retry is
// permitted or could end in time.
func (g *Gateway) retryOrFinish(r *request) {
	if !g.stillOpen(r) || !g.safeToRepeat(r) || g.now+toDuration(g.expectedSeconds(r)) > r.deadline {
		g.finishUnserved(r)
		return
	}
	// Without budget a request of low weight would wait past its objective. Its client's retry counts as a first
	// attempt, which needs no budget.
	if !g.withinRetryBudget(r) && g.belowMeanWeight(r) && g.mayReject(r) {
		g.emit(Reject{r.ID, budgetRetryAfter})
		g.finishRequest(r)
		return
	}
	g.enqueue(r)
}

// retryAllowed reports whether a running attempt may be cancelled in favor of a retry: the class and the budget permit
// it, and the retry can still end in time.
func (g *Gateway) retryAllowed(r *request) bool {
	return g.settings.MayCancel && r.EstimatedWork > 0 && len(r.attempts) < maxAttemptsBeforeCancel &&
		r.class.Idempotency != NotIdempotent && g.withinRetryBudget(r) &&
		g.withinDedupWindow(r) && g.now+toDuration(retryMargin*g.expectedSeconds(r)) < r.deadline
}

// allowResend reports whether an attempt that its engine probably never read may be sent there once more. If so, it is
// counted as a retry, because it may have run all the same.
func (g *Gateway) allowResend(a *attempt) bool {
	r := a.request
	allowed := !a.ended && !a.cancelled && g.engineReady(a.engine) && g.stillOpen(r) && g.safeToRepeat(r) &&
		g.withinDedupWindow(r) && g.withinRetryBudget(r)
	if allowed {
		r.resends++
		g.countForBudget(&g.retries)
	}
	return allowed
}

// withinRetryBudget reports whether the next send of a request stays within the retry budget: retries within a span
// are limited to a share of the accepted requests (rule 7). First attempts always do.
func (g *Gateway) withinRetryBudget(r *request) bool {
	rules := g.settings.Rules
	if !rules.RetryBudget || len(r.attempts) == 0 {
		return true
	}
	// Requests are counted over a tick less, and retries over a tick more than the span, as timers are that coarse.
	accepted := g.acceptedRequests.total(g.now, rules.RetryBudgetSpan-g.settings.Tick)
	budget := rules.MinRetries + rules.RetryShare*accepted
	if g.belowMeanWeight(r) {
		budget *= lowWeightBudgetShare
	}
	return g.retries.total(g.now, rules.RetryBudgetSpan+g.settings.Tick)+1 <= budget
}

// belowMeanWeight reports whether the weight of a request is below the mean over all requests.
func (g *Gateway) belowMeanWeight(r *request) bool {
	return r.class.Weight*sumOf(g.classes, (*class).requests) < g.totalWeight()
}

// countForBudget counts an event now, if there is a retry budget, and drops events older than its span.
func (g *Gateway) countForBudget(events *slidingSum) {
	if g.settings.Rules.RetryBudget {
		events.add(g.now, 1)
		events.total(g.now, g.settings.Rules.RetryBudgetSpan+g.settings.Tick)
	}
}
