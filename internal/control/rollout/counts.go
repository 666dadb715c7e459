package rollout

import "slices"

// Counts are a class's totals at one gateway, of answers unless said otherwise.
type Counts struct {
	Requests uint64 `json:"t"` // requests accepted
	InTime   uint64 `json:"i"` // served within the latency objective
	Late     uint64 `json:"l"` // served after it
	Rejected uint64 `json:"r"` // rejected
	Failed   uint64 `json:"f"`
	Fast     uint64 `json:"q"` // served within a quarter of the latency objective
	Retries  uint64 `json:"a"` // retries: attempts beyond a request's first
}

func (c Counts) answers() uint64 { return c.InTime + c.Late + c.Rejected + c.Failed }

// subtract returns what was added since an earlier report. Where a total has fallen, the process restarted and all of it is
// new.
func (c Counts) subtract(earlier Counts) Counts {
	restarted := c.Requests < earlier.Requests || c.InTime < earlier.InTime || c.Late < earlier.Late ||
		c.Rejected < earlier.Rejected || c.Failed < earlier.Failed
	if restarted {
		return c
	}
	return Counts{
		Requests: c.Requests - earlier.Requests,
		InTime:   c.InTime - earlier.InTime,
		Late:     c.Late - earlier.Late,
		Rejected: c.Rejected - earlier.Rejected,
		Failed:   c.Failed - earlier.Failed,
		Fast:     saturatingSub(c.Fast, earlier.Fast),
		Retries:  saturatingSub(c.Retries, earlier.Retries),
	}
}

func (c Counts) add(o Counts) Counts {
	return Counts{
		Requests: c.Requests + o.Requests,
		InTime:   c.InTime + o.InTime,
		Late:     c.Late + o.Late,
		Rejected: c.Rejected + o.Rejected,
		Failed:   c.Failed + o.Failed,
		Fast:     c.Fast + o.Fast,
		Retries:  c.Retries + o.Retries,
	}
}

// withoutChecks subtracts the controller's checks from a class: otherwise gateways that serve many of them would look
// better, or worse, than those that serve none.
func (c Counts) withoutChecks(results CheckResults) Counts {
	checks := results.asCounts()
	refused := min(c.Rejected, checks.Failed)
	return Counts{
		Requests: saturatingSub(c.Requests, checks.Requests),
		InTime:   saturatingSub(c.InTime, checks.InTime),
		Late:     saturatingSub(c.Late, checks.Late),
		Rejected: c.Rejected - refused,
		Failed:   saturatingSub(c.Failed, checks.Failed-refused),
		Fast:     saturatingSub(c.Fast, checks.Fast),
		Retries:  c.Retries,
	}
}

// saturatingSub returns a-b, 0 where b is greater.
func saturatingSub(a, b uint64) uint64 { return a - min(a, b) }

// subtractCounts subtracts an earlier report class by class.
func subtractCounts(counts, earlier []Counts) []Counts {
	out := slices.Clone(counts)
	for class := range min(len(counts), len(earlier)) {
		out[class] = out[class].subtract(earlier[class])
	}
	return out
}

// addCounts adds class by class. The result shares no memory with its arguments.
func addCounts(a, b []Counts) []Counts {
	if len(a) < len(b) {
		a, b = b, a
	}
	out := slices.Clone(a)
	for class := range b {
		out[class] = out[class].add(b[class])
	}
	return out
}

// Sample is what one gateway did while a stage was watched.
type Sample struct {
	New      bool // it was started on the new version
	Classes  []Counts
	MemoryMB float64
	Checks   CheckResults
}

// CheckResults are the results of the controller's checks at a gateway.
type CheckResults struct {
	Correct, Incorrect, Unserved int
	InTime, Fast                 int // of those with a result: within the class's latency objective, and a quarter of it
}

func (c CheckResults) add(o CheckResults) CheckResults {
	return CheckResults{
		Correct:   c.Correct + o.Correct,
		Incorrect: c.Incorrect + o.Incorrect,
		Unserved:  c.Unserved + o.Unserved,
		InTime:    c.InTime + o.InTime,
		Fast:      c.Fast + o.Fast,
	}
}

func (c CheckResults) subtract(o CheckResults) CheckResults {
	return CheckResults{
		Correct:   c.Correct - o.Correct,
		Incorrect: c.Incorrect - o.Incorrect,
		Unserved:  c.Unserved - o.Unserved,
		InTime:    c.InTime - o.InTime,
		Fast:      c.Fast - o.Fast,
	}
}

// asCounts returns the checks as a class of their own, which has the same queries at old and new gateways.
func (c CheckResults) asCounts() Counts {
	served := c.Correct + c.Incorrect
	return Counts{
		Requests: uint64(served + c.Unserved),
		InTime:   uint64(c.InTime),
		Late:     uint64(served - c.InTime),
		Failed:   uint64(c.Unserved),
		Fast:     uint64(c.Fast),
	}
}
