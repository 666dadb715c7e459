package core

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"frostpier/policy"
)

// queueLogInterval is the minimum time between two sets of debug records of queued requests. It is short enough to follow
// a second of the log in detail, and long enough for hundreds of gateways that log on one machine.
const queueLogInterval = 100 * time.Millisecond

// debugEnabled reports whether decisions are logged. They are only logged at debug level, since each record requires an
// estimate of the engine's load.
func (c *Core) debugEnabled() bool { return c.log.Enabled(context.Background(), slog.LevelDebug) }

func engineLabel(id policy.EngineID) string { return fmt.Sprintf("%x", uint64(id)) }

// logAttemptDecision logs the module's estimate of the engine that it selected for an attempt. The attribute own includes
// the threads of this attempt.
func (c *Core) logAttemptDecision(now time.Duration, id RequestID, n int) {
	if !c.debugEnabled() {
		return
	}
	r := c.requests[id]
	estimate, utilization := c.module.Estimate(now, r.attempts[n].engine), c.module.Utilization()
	c.log.Debug("attempt decided", "at", now.Milliseconds(), "request", id, "attempt", n, "class", r.class,
		"engine", engineLabel(estimate.Engine), "held_ms", (now - r.submittedAt).Milliseconds(), "own", estimate.OwnThreads,
		"others", estimate.PeerThreads, "limit", estimate.Limit, "target", estimate.Target, "age_ms", ageMS(estimate.ReportAge),
		"threads", c.host.Policy.Classes[r.class].Threads, "out", utilization.Threads, "window", utilization.Window,
		"mean", utilization.MeanPeerLoad, "strain", utilization.OverloadRatio)
}

// ageMS returns the age of a load report in milliseconds, or -1 if there is none.
func ageMS(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// logAttemptEnd logs the outcome of an attempt.
func (c *Core) logAttemptEnd(now time.Duration, id RequestID, n int, outcome policy.Outcome) {
	if !c.debugEnabled() {
		return
	}
	r := c.requests[id]
	a := r.attempts[n]
	c.log.Debug("attempt ended", "at", now.Milliseconds(), "request", id, "attempt", n, "class", r.class,
		"engine", engineLabel(a.engine), "outcome", outcome, "took_ms", (now - a.startedAt).Milliseconds())
}

// logReply logs the final reply to a request.
func (c *Core) logReply(now time.Duration, id RequestID, r *request, v Verdict) {
	if !c.debugEnabled() {
		return
	}
	c.log.Debug("request answered", "at", now.Milliseconds(), "request", id, "class", r.class, "verdict", v,
		"attempts", len(r.attempts), "took_ms", (now - r.submittedAt).Milliseconds(),
		"left_ms", (r.deadline - now).Milliseconds(), "why", r.queueGuard)
}

// logQueuedRequests logs for each queued request which guard keeps it in the queue and how many engines each guard
// excludes. It does so at most once per queueLogInterval.
func (c *Core) logQueuedRequests(now time.Duration) {
	if !c.debugEnabled() || now-c.queueLoggedAt < queueLogInterval {
		return
	}
	c.queueLoggedAt = now
	for id, r := range c.requests {
		if r.replied || r.inFlight > 0 {
			continue
		}
		queued, guard, estimates := c.module.Explain(now, id)
		if !queued {
			continue
		}
		r.queueGuard = mainGuard(guard, estimates)
		c.log.Debug("request held", "at", now.Milliseconds(), "request", id, "class", r.class,
			"held_ms", (now - r.submittedAt).Milliseconds(), "attempts", len(r.attempts), "why", r.queueGuard,
			"engines", formatGuardCounts(estimates))
	}
}

// countGuards counts the engines that each guard excludes. It also returns the guards, sorted.
func countGuards(estimates []policy.EngineEstimate) (counts map[policy.Guard]int, guards []policy.Guard) {
	counts = map[policy.Guard]int{}
	for _, e := range estimates {
		counts[e.Guard]++
	}
	return counts, slices.Sorted(maps.Keys(counts))
}

// mainGuard returns the main reason why a request is queued: the guard on the request itself or, if there is none, the
// guard that excludes the most engines.
func mainGuard(requestGuard policy.Guard, estimates []policy.EngineEstimate) policy.Guard {
	counts, guards := countGuards(estimates)
	if requestGuard != policy.GuardQueue || counts[policy.GuardNone] > 0 || len(estimates) == 0 {
		return requestGuard
	}
	reason := requestGuard
	for _, g := range guards {
		if counts[g] > counts[reason] {
			reason = g
		}
	}
	return reason
}

// formatGuardCounts formats the number of engines that each guard excludes, for example "limit:3,shut:1".
func formatGuardCounts(estimates []policy.EngineEstimate) string {
	counts, guards := countGuards(estimates)
	var parts []string
	for _, g := range guards {
		parts = append(parts, fmt.Sprintf("%s:%d", g, counts[g]))
	}
	return strings.Join(parts, ",")
}
