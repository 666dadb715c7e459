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

// sampleEvery is the time between two records of what keeps requests in line: several to each second that a person
// looks at, few enough that hundreds of gateways can write them.
const sampleEvery = 100 * time.Millisecond

// recording reports whether records of decisions are wanted: only while debugging, as each costs a look at every engine.
func (c *Core) recording() bool { return c.log.Enabled(context.Background(), slog.LevelDebug) }

func engineName(id policy.EngineID) string { return fmt.Sprintf("%x", uint64(id)) }

// recordSend writes down what was believed of the engine that an attempt goes to. The attempt itself counts in own.
func (c *Core) recordSend(now time.Duration, id ID, n int) {
	if !c.recording() {
		return
	}
	r := c.requests[id]
	look, fill := c.gateway.Estimate(now, r.attempts[n].engine), c.gateway.Utilization()
	c.log.Debug("attempt decided", "at", int64(now/time.Millisecond), "request", id, "attempt", n, "class", r.class,
		"engine", engineName(look.Engine), "held_ms", int64((now-r.taken)/time.Millisecond), "own", look.OwnThreads,
		"others", look.PeerThreads, "limit", look.Limit, "target", look.Target, "age_ms", ageMS(look.ReportAge),
		"threads", c.host.Module.Classes[r.class].Threads, "out", fill.Threads, "window", fill.Window, "mean", fill.MeanPeerLoad,
		"strain", fill.OverloadRatio)
}

// ageMS is the age of a report in milliseconds, -1 where there is none.
func ageMS(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64(age / time.Millisecond)
}

// recordHeld writes down, now and then, which guard keeps each request that is held in line, and how many engines
// each guard keeps from it.
func (c *Core) recordHeld(now time.Duration) {
	if !c.recording() || now-c.sampled < sampleEvery {
		return
	}
	c.sampled = now
	for id, r := range c.requests {
		if r.replied || r.out > 0 {
			continue
		}
		held, by, looks := c.gateway.Explain(now, id)
		if !held {
			continue
		}
		r.why = whyHeld(by, looks)
		c.log.Debug("request held", "at", int64(now/time.Millisecond), "request", id, "class", r.class,
			"held_ms", int64((now-r.taken)/time.Millisecond), "attempts", len(r.attempts), "why", r.why,
			"engines", guardCounts(looks))
	}
}

// countGuards counts engines by the guard there, and names the guards in an order of their own.
func countGuards(looks []policy.EngineEstimate) (counts map[policy.Guard]int, guards []policy.Guard) {
	counts = map[policy.Guard]int{}
	for _, l := range looks {
		counts[l.Guard]++
	}
	return counts, slices.Sorted(maps.Keys(counts))
}

// whyHeld is the one word for a record: the guard on the request itself, else the one that keeps most engines from it.
func whyHeld(by policy.Guard, looks []policy.EngineEstimate) policy.Guard {
	counts, guards := countGuards(looks)
	if by != policy.GuardQueue || counts[policy.GuardNone] > 0 || len(looks) == 0 {
		return by
	}
	most := by
	for _, g := range guards {
		if counts[g] > counts[most] {
			most = g
		}
	}
	return most
}

func guardCounts(looks []policy.EngineEstimate) string {
	counts, guards := countGuards(looks)
	var out []string
	for _, g := range guards {
		out = append(out, fmt.Sprintf("%s:%d", g, counts[g]))
	}
	return strings.Join(out, ",")
}
