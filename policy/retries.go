package policy

import "time"

const (
	// retryMargin is the time that must remain until the client's deadline to cancel an attempt in favor of a retry, in
	// multiples of the expected duration.
	retryMargin = 1.2

	// maxAttemptsBeforeCancel is the number of attempts of a request at which none is cancelled any more in favor
	// of a retry.
	maxAttemptsBeforeCancel = 2

	// lowWeightBudgetShare is the share of the retry budget available to requests whose weight is below the mean. The
	// rest is reserved for requests of higher weight.
	lowWeightBudgetShare = 0.8

	// budgetRetryAfter is the Retry-After of a rejection for lack of retry budget. It is short because the engines are
	// not overloaded.
	budgetRetryAfter = 20 * time.Millisecond
)

// retryOrFinish queues a request again after its attempt ended without a final answer, or finishes it if a retry is not
// permitted or could not finish in time.
func (g *Gateway) retryOrFinish(r *request) {
	if !g.stillOpen(r) || !g.safeToRepeat(r) || g.now+toDuration(g.expectedSeconds(r)) > r.deadline {
		g.rejectOrFail(r)
		return
	}
	// While the budget is exhausted, a request of low weight would wait until it misses its objective. It is better
	// rejected now, because a retry by its client is a new request, whose first attempt needs no budget.
	if !g.withinRetryBudget(r) && g.belowMeanWeight(r) && g.mayReject(r) {
		g.emit(Reject{r.ID, budgetRetryAfter})
		g.finishRequest(r)
		return
	}
	g.enqueue(r)
}

// retryAllowed reports whether an attempt in flight may be cancelled in favor of a retry: the class and the retry
// budget permit it, and the retry can still finish in time.
func (g *Gateway) retryAllowed(r *request) bool {
	return g.settings.MayCancel && r.EstimatedWork > 0 && len(r.attempts) < maxAttemptsBeforeCancel &&
		r.class.Idempotency != NotIdempotent && g.withinRetryBudget(r) &&
		g.withinDedupWindow(r) && g.now+toDuration(retryMargin*g.expectedSeconds(r)) < r.deadline
}

// allowResend reports whether an attempt that its engine probably never read may be sent to it again. If so, it charges
// the resend to the retry budget, because the first send may have run after all.
func (g *Gateway) allowResend(a *attempt) bool {
	r := a.request
	allowed := !a.ended && !a.cancelled && g.engineReady(a.engine) && g.stillOpen(r) && g.safeToRepeat(r) &&
		g.withinDedupWindow(r) && g.withinRetryBudget(r)
	if allowed {
		r.resends++
		g.countForRetryBudget(&g.retries)
	}
	return allowed
}

// withinRetryBudget reports whether the retry budget permits the next attempt of a request. The budget limits the
// retries within a time span to a share of the requests accepted in that span (rule 7). First attempts need no budget.
func (g *Gateway) withinRetryBudget(r *request) bool {
	rules := g.settings.Rules
	if !rules.RetryBudget || len(r.attempts) == 0 {
		return true
	}
	// The span is one tick shorter for requests and one tick longer for retries, because the host's clock and timers
	// have the granularity of a tick.
	accepted := g.acceptedRequests.total(g.now, rules.RetryBudgetSpan-g.settings.Tick)
	budget := rules.MinRetries + rules.RetryShare*accepted
	if g.belowMeanWeight(r) {
		budget *= lowWeightBudgetShare
	}
	return g.retries.total(g.now, rules.RetryBudgetSpan+g.settings.Tick)+1 <= budget
}

// belowMeanWeight reports whether the weight of a request is below the mean over all requests so far.
func (g *Gateway) belowMeanWeight(r *request) bool {
	return r.class.Weight*sumOf(g.classes, (*class).requests) < g.totalWeight()
}

// countForRetryBudget adds an event to a sum of the retry budget, if there is one, and drops events older than its
// span.
func (g *Gateway) countForRetryBudget(events *slidingSum) {
	if g.settings.Rules.RetryBudget {
		events.add(g.now, 1)
		events.total(g.now, g.settings.Rules.RetryBudgetSpan+g.settings.Tick)
	}
}
