package core

import "time"

// ClassCounts counts the requests and attempts of one class since the start. A rollout judges a version by them.
type ClassCounts struct {
	Requests uint64 // submitted
	InTime   uint64 // served within the latency objective
	Late     uint64 // served after it
	Rejected uint64 // rejected
	Failed   uint64 // without a complete response, for any other reason than a rejection
	Fast     uint64 // of InTime: served within a quarter of the latency objective
	Retries  uint64 // attempts after a request's first
}

// fastFraction divides the latency objective: a reply within that part of it counts as fast. A slower version of the
// program shows there before its replies are late.
const fastFraction = 4

// Counts counts requests and attempts since the start, for the log. Left are requests that their clients cancelled;
// Further are attempts after a request's first.
type Counts struct {
	Taken, Served, Refused, Failed, Left, Attempts, Further int
}

// Counts returns the counts since the start.
func (c *Core) Counts() Counts { return c.counts }

// CountsByClass returns the counts of each class since the start. The caller must not change or keep the slice.
func (c *Core) CountsByClass() []ClassCounts { return c.countsByClass }

// classCounts returns the counts of a request's class. A request of an unknown class is counted nowhere.
func (c *Core) classCounts(r *request) *ClassCounts {
	if r.class < 0 || r.class >= len(c.countsByClass) {
		return &ClassCounts{}
	}
	return &c.countsByClass[r.class]
}

// countReply counts a final reply that took so long from the submission.
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
