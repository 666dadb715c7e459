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

// waitingLogInterval is the minimum time between two sets of debug records of queued requests: several for each second
// that a person inspects, but few enough that hundreds of gateways on one machine can write them.
const waitingLogInterval = 100 * time.Millisecond

// debugEnabled reports whether decisions are logged: only at debug level, as each record costs an estimate of an engine.
func (c *Core) debugEnabled() bool { return c.log.Enabled(context.Background(), slog.LevelDebug) }

func engineLabel(id policy.EngineID) string { return fmt.Sprintf("%x", uint64(id)) }

// logAttemptDecision logs what the module estimated of the engine that it selected. The attribute own includes the
// attempt itself.
func (c *Core) logAttemptDecision(now time.Duration, id ID, n int) {
	if !c.debugEnabled() {
		return
	}
	r := c.requests[id]
	estimate, utilization := c.module.Estimate(now, r.attempts[n].engine), c.module.Utilization()
	c.log.Debug("attempt decided", "at", now.Milliseconds(), "request", id, "attempt", n, "class", r.class,
		"engine", engineLabel(estimate.Engine), "held_ms", (now - r.submittedAt).Milliseconds(), "own", estimate.OwnThreads,
		"others", estimate.PeerThreads, "limit", estimate.Limit, "target", estimate.Target, "age_ms", ageMS(estimate.ReportAge),
		"threads", c.host.Module.Classes[r.class].Threads, "out", utilization.Threads, "window", utilization.Window,
		"mean", utilization.MeanPeerLoad, "strain", utilization.OverloadRatio)
}

// ageMS returns the age of a load report in milliseconds, -1 for none.
func ageMS(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// logAttemptEnd logs how an attempt ended.
func (c *Core) logAttemptEnd(now time.Duration, id ID, n int, outcome policy.Outcome) {
	if !c.debugEnabled() {
		return
	}
	r := c.requests[id]
	a := r.attempts[n]
	c.log.Debug("attempt ended", "at", now.Milliseconds(), "request", id, "attempt", n, "class", r.class,
		"engine", engineLabel(a.engine), "outcome", outcome, "took_ms", (now - a.startedAt).Milliseconds())
}

// logReply logs the final reply to a request.
func (c *Core) logReply(now time.Duration, id ID, r *request, v Verdict) {
	if !c.debugEnabled() {
		return
	}
	c.log.Debug("request answered", "at", now.Milliseconds(), "request", id, "class", r.class, "verdict", v,
		"attempts", len(r.attempts), "took_ms", (now - r.submittedAt).Milliseconds(),
		"left_ms", (r.deadline - now).Milliseconds(), "why", r.waitingFor)
}

// logWaitingRequests logs, at most once per waitingLogInterval, which guard keeps each queued request from being sent and
// how many engines each guard excludes for it.
func (c *Core) logWaitingRequests(now time.Duration) {
	if !c.debugEnabled() || now-c.waitingLoggedAt < waitingLogInterval {
		return
	}
	c.waitingLoggedAt = now
	for id, r := range c.requests {
		if r.replied || r.inFlight > 0 {
			continue
		}
		queued, by, estimates := c.module.Explain(now, id)
		if !queued {
			continue
		}
		r.waitingFor = waitReason(by, estimates)
		c.log.Debug("request held", "at", now.Milliseconds(), "request", id, "class", r.class,
			"held_ms", (now - r.submittedAt).Milliseconds(), "attempts", len(r.attempts), "why", r.waitingFor,
			"engines", guardCounts(estimates))
	}
}

// countGuards counts the engines that each guard excludes. It also returns the guards in a fixed order.
func countGuards(estimates []policy.EngineEstimate) (counts map[policy.Guard]int, guards []policy.Guard) {
	counts = map[policy.Guard]int{}
	for _, e := range estimates {
		counts[e.Guard]++
	}
	return counts, slices.Sorted(maps.Keys(counts))
}

// waitReason returns the guard that names why a request is queued: the guard on the request itself, or else the one that
// excludes most engines.
func waitReason(by policy.Guard, estimates []policy.EngineEstimate) policy.Guard {
	counts, guards := countGuards(estimates)
	if by != policy.GuardQueue || counts[policy.GuardNone] > 0 || len(estimates) == 0 {
		return by
	}
	reason := by
	for _, g := range guards {
		if counts[g] > counts[reason] {
			reason = g
		}
	}
	return reason
}

// guardCounts formats the engines that each guard excludes, as in "limit:3,ejected:1".
func guardCounts(estimates []policy.EngineEstimate) string {
	counts, guards := countGuards(estimates)
	var parts []string
	for _, g := range guards {
		parts = append(parts, fmt.Sprintf("%s:%d", g, counts[g]))
	}
	return strings.Join(parts, ",")
}
