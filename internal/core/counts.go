package core

import "time"

// ClassCounts counts the requests and attempts of one class since the start. A rollout compares versions of the program
// by these counts.
type ClassCounts struct {
	Requests uint64 // requests submitted
	InTime   uint64 // requests served within the latency objective
	Late     uint64 // requests served after the latency objective
	Rejected uint64 // requests rejected
	Failed   uint64 // requests without a complete response, except rejected ones
	Fast     uint64 // part of InTime: served within a quarter of the latency objective
	Retries  uint64 // attempts other than a request's first
}

// fastFraction is the divisor of the latency objective for a fast reply: one within objective/fastFraction. The count of
// fast replies shows that a version of the program is slower before its replies miss the objective.
const fastFraction = 4

// Counts counts requests and attempts since the start, for the log. Left counts requests that their clients cancelled,
// Further attempts other than a request's first.
type Counts struct {
	Taken, Served, Refused, Failed, Left, Attempts, Further int
}

// Counts returns the counts since the start.
func (c *Core) Counts() Counts { return c.counts }

// CountsByClass returns the counts of each class since the start. The caller must not change or keep the slice.
func (c *Core) CountsByClass() []ClassCounts { return c.countsByClass }

// classCounts returns the counts of a request's class. For an unknown class it returns counts that are discarded.
func (c *Core) classCounts(r *request) *ClassCounts {
	if r.class < 0 || r.class >= len(c.countsByClass) {
		return &ClassCounts{}
	}
	return &c.countsByClass[r.class]
}

// countReply counts a final reply. took is the time since the request was submitted.
func (c *Core) countReply(r *request, v Verdict, took time.Duration) {
	class := c.classCounts(r)
	switch v {
	case Served:
		c.counts.Served++
		class.countServed(took, r.objective)
	case Rejected:
		c.counts.Refused++
		class.Rejected++
	default:
		c.counts.Failed++
		class.Failed++
	}
}

// countServed counts a served request by its latency.
func (k *ClassCounts) countServed(took, objective time.Duration) {
	if took > objective {
		k.Late++
		return
	}
	k.InTime++
	if took <= objective/fastFraction {
		k.Fast++
	}
}
