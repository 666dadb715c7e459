package rollout

import "slices"

// Counts are the totals of one query class at one gateway since its process started.
type Counts struct {
	Requests uint64 `json:"t"` // requests received
	InTime   uint64 `json:"i"` // answers within the latency objective
	Late     uint64 `json:"l"` // answers after the latency objective
	Rejected uint64 `json:"r"` // rejected requests
	Failed   uint64 `json:"f"` // requests that failed for any other reason
	Fast     uint64 `json:"q"` // answers within a quarter of the latency objective
	Retries  uint64 `json:"a"` // attempts after a request's first
}

// answers returns the number of requests with a final result, rejections and failures included.
func (c Counts) answers() uint64 { return c.InTime + c.Late + c.Rejected + c.Failed }

// subtract returns the increase since an earlier report. A total that has decreased shows that the process restarted; then all of
// c is new and is returned unchanged.
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

// withoutChecks subtracts the controller's synthetic checks from the counts of a class. Not every gateway is checked, so their
// results would bias the comparison of clients' queries.
func (c Counts) withoutChecks(results CheckResults) Counts {
	checks := results.asCounts()
	rejected := min(c.Rejected, checks.Failed) // unserved checks are subtracted from the rejections first, the rest from the failures
	return Counts{
		Requests: saturatingSub(c.Requests, checks.Requests),
		InTime:   saturatingSub(c.InTime, checks.InTime),
		Late:     saturatingSub(c.Late, checks.Late),
		Rejected: c.Rejected - rejected,
		Failed:   saturatingSub(c.Failed, checks.Failed-rejected),
		Fast:     saturatingSub(c.Fast, checks.Fast),
		Retries:  c.Retries,
	}
}

// saturatingSub returns a-b, or 0 if b is greater.
func saturatingSub(a, b uint64) uint64 { return a - min(a, b) }

// subtractCounts subtracts the counts of an earlier report, class by class.
func subtractCounts(counts, earlier []Counts) []Counts {
	out := slices.Clone(counts)
	for class := range min(len(counts), len(earlier)) {
		out[class] = out[class].subtract(earlier[class])
	}
	return out
}

// addCounts returns the sum for each class, as a new slice.
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

// Sample holds the counts of one gateway since the watch of the current stage began.
type Sample struct {
	New      bool     // the gateway was started on the new version
	Classes  []Counts // by class
	MemoryMB float64
	Checks   CheckResults
}

// CheckResults counts the results of the controller's synthetic checks at a gateway.
type CheckResults struct {
	Correct, Incorrect, Unserved int // numbers of checks by result; unserved = rejected, failed or timed out
	InTime, Fast                 int // checks with a result within the class's latency objective, and within a quarter of it
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

// asCounts returns the results as the counts of a separate class. Its queries are the same at old and new gateways.
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
