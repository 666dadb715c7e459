package core

// ClassCounts is what happened to one class so far: how a version of the program does.
type ClassCounts struct {
	Taken   uint64
	InTime  uint64 // served within the aim
	Late    uint64 // served after it
	Refused uint64
	Failed  uint64
	Fast    uint64 // served within a quarter of the aim
	Further uint64 // attempts beyond a request's first
}

// fastShare is the share of the aim within which an answer counts as fast: a version that is slower shows there first.
const fastShare = 4

// Counts is what happened so far, for the log.
type Counts struct {
	Taken, Served, Refused, Failed, Left, Attempts, Further int
}

// Counts tells what happened so far.
func (c *Core) Counts() Counts { return c.counts }

// ByClass tells what happened to each class so far; the list is the Core's own.
func (c *Core) ByClass() []ClassCounts { return c.byClass }

// classOf is what is counted of a request's class; one of no class counts nowhere.
func (c *Core) classOf(r *request) *ClassCounts {
	if r.class < 0 || r.class >= len(c.byClass) {
		return &ClassCounts{}
	}
	return &c.byClass[r.class]
}
