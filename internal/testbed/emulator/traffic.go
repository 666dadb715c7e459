package emulator

import (
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class describes the queries of a class in the workload.
type Class struct {
	Name             string
	Share            float64 // share of the queries, as a weight relative to the other classes
	Work             float64 // mean work of a query, in seconds on one thread
	WorkCV           float64 // coefficient of variation of the work, which is lognormal
	Threads          float64
	IO               float64
	MemoryMB         float64
	Objective        time.Duration
	ObjectiveStretch float64 // the objective of a query is longer by this multiple of its work per thread
	Timeout          time.Duration
	Weight           float64
	IsDataLoad       bool // data loads lock their table group, and their requests carry an idempotency key
}

// DefaultClasses returns classes similar to those in the platform's documentation.
func DefaultClasses() []Class {
	return []Class{
		{Name: "lookup", Share: 0.8, Work: 0.17, WorkCV: 1, Threads: 1, IO: 0.3, MemoryMB: 200, Objective: 800 * time.Millisecond,
			ObjectiveStretch: 2, Timeout: 4 * time.Second, Weight: 1},
		{Name: "report", Share: 0.145, Work: 3, WorkCV: 1.1, Threads: 4, IO: 0.45, MemoryMB: 1500, Objective: 3 * time.Second,
			ObjectiveStretch: 2.5, Timeout: 15 * time.Second, Weight: 10},
		{Name: "form-load", Share: 0.055, Work: 4, WorkCV: 0.7, Threads: 2, IO: 0.5, MemoryMB: 1000, Objective: 4 * time.Second,
			ObjectiveStretch: 2.5, Timeout: 20 * time.Second, Weight: 8, IsDataLoad: true},
	}
}

// Settings returns the platform's settings object, as JSON, for the gateway with number self.
func Settings(classes []Class, gateways, self int, cores float64) string {
	list, threads, loads := "", "", ""
	for i, c := range classes {
		if i > 0 {
			list, threads, loads = list+",", threads+",", loads+","
		}
		repeat := `"repeat":"retryable"`
		if c.IsDataLoad {
			repeat = `"repeat":"dedup","group":"all","window":12000000000`
		}
		list += fmt.Sprintf(`{"name":%q,"objective":%d,"aim_stretch":%g,"give_up":%d,%s,"worth":%g}`,
			c.Name, c.Objective, c.ObjectiveStretch, c.Timeout, repeat, c.Weight)
		threads += fmt.Sprint(c.Threads)
		loads += fmt.Sprint(c.IsDataLoad)
	}
	return fmt.Sprintf(`{"classes":[%s],
"family_info":{"cores_by_kind":[%g],"size_mb":[%g],"threads_by_class":[%s],"is_load":[%s]},"models":["m"],"zones":["z"],
"permissions":{"attempts_cap":4,"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"max_open":20000,
"max_retry_after":500000000,"peer_messages":true},
"report":{"fields":["queue","inflight","x0","x1"],"via":"answers"},
"rules":{"answer_slack":20000000,"drain_grace":2000000000,"cold_share":0.31,"warm_after":14000000000,"fall_multiple":3,
"fall":2000000000,"free_resends":2,"extra_share":0.1,"ratio_span":5000000000},
"siblings":%d,"self_index":%d,"tick":5000000}`, list, cores, cores*2048, threads, loads, gateways, self)
}

// Traffic describes an open-loop workload: arrivals do not depend on earlier answers.
type Traffic struct {
	Classes       []Class
	Rate          float64 // queries per second, summed over all gateways
	Gateways      int
	Skew          float64 // coefficient of variation of the gateways' shares
	Groups        int     // table groups
	Zipf          float64 // exponent of the table groups' popularity
	EstimateSigma float64 // standard deviation of the logarithm of an estimate's error
	Seed          uint64
}

// Request is an arrival of the workload.
type Request struct {
	At        time.Duration // since the start of the workload
	Gateway   int
	Class     int
	ID        string
	Query     Query
	Estimate  float64       // estimate of the query's work, in seconds on one thread
	Budget    time.Duration // time until the client's timeout
	Objective time.Duration // latency objective
}

// RateForLoad returns the rate, in queries per second, at which the arriving work is the fraction load of the capacity of
// the cores.
func (t Traffic) RateForLoad(load, cores float64) float64 {
	work := 0.0
	for _, c := range t.Classes {
		work += c.Share * c.Work
	}
	return load * cores / work
}

// Generate returns the arrivals during this time, in order. The same seed gives the same arrivals.
func (t Traffic) Generate(duration time.Duration) (out []Request) {
	random := rand.New(rand.NewPCG(t.Seed, 31))
	gateways := weightedSampler(t.Gateways, func(int) float64 { return lognormal(random, 1, t.Skew) })
	groups := weightedSampler(max(1, t.Groups), func(i int) float64 { return math.Pow(float64(i+1), -t.Zipf) })
	classes := weightedSampler(len(t.Classes), func(i int) float64 { return t.Classes[i].Share })
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / t.Rate * float64(time.Second))
		if at >= duration {
			return out
		}
		// A change in the order of the random draws changes the arrivals for a seed.
		r := Request{At: at, Class: classes(random)}
		class := t.Classes[r.Class]
		work := max(minWork, lognormal(random, class.Work, class.WorkCV))
		r.ID = randomID(random)
		r.Gateway = gateways(random)
		r.Estimate = work * math.Exp(t.EstimateSigma*random.NormFloat64())
		r.Query = Query{Work: work, Threads: class.Threads, IO: class.IO, MemoryMB: class.MemoryMB, Group: groups(random), IsDataLoad: class.IsDataLoad}
		r.Budget = class.Timeout
		r.Objective = class.Objective + time.Duration(class.ObjectiveStretch*work/class.Threads*float64(time.Second))
		out = append(out, r)
	}
}

// minWork is the minimum work of a query, in seconds on one thread.
const minWork = 0.005

// randomID returns a random request ID.
func randomID(random *rand.Rand) string {
	var id [8]byte
	for i := range id {
		id[i] = byte(random.Uint32())
	}
	return hex.EncodeToString(id[:])
}

// lognormal returns a random number from the lognormal distribution with this mean and coefficient of variation.
func lognormal(random *rand.Rand, mean, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(s2)*random.NormFloat64()-s2/2)
}

// weightedSampler returns a function that returns random numbers from 0 to n-1, with probabilities proportional to their
// weights.
func weightedSampler(n int, weight func(int) float64) func(*rand.Rand) int {
	sums, sum := make([]float64, n), 0.0
	for i := range sums {
		sum += weight(i)
		sums[i] = sum
	}
	return func(random *rand.Rand) int {
		x := random.Float64() * sum
		lo, hi := 0, n-1
		for lo < hi {
			if mid := (lo + hi) / 2; sums[mid] > x {
				hi = mid
			} else {
				lo = mid + 1
			}
		}
		return lo
	}
}
