package emulator

import (
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Class is a class of queries as clients draw them.
type Class struct {
	Name       string
	Share      float64 // of the queries
	Work       float64 // mean, in seconds on one thread
	CV         float64 // of the work: deviation over mean, lognormal
	Threads    float64
	IO         float64
	MB         float64
	Aim        time.Duration
	AimStretch float64 // the aim grows by this times the work over the threads
	GiveUp     time.Duration
	Worth      float64
	Load       bool // it carries a key
}

// DefaultClasses are about those of the site's pages.
func DefaultClasses() []Class {
	return []Class{
		{Name: "lookup", Share: 0.8, Work: 0.17, CV: 1, Threads: 1, IO: 0.3, MB: 200, Aim: 800 * time.Millisecond,
			AimStretch: 2, GiveUp: 4 * time.Second, Worth: 1},
		{Name: "report", Share: 0.145, Work: 3, CV: 1.1, Threads: 4, IO: 0.45, MB: 1500, Aim: 3 * time.Second,
			AimStretch: 2.5, GiveUp: 15 * time.Second, Worth: 10},
		{Name: "form-load", Share: 0.055, Work: 4, CV: 0.7, Threads: 2, IO: 0.5, MB: 1000, Aim: 4 * time.Second,
			AimStretch: 2.5, GiveUp: 20 * time.Second, Worth: 8, Load: true},
	}
}

// Settings are the classes and engines as the platform's settings tell a gateway of them.
func Settings(classes []Class, gateways, self int, cores float64) string {
	list, threads, loads := "", "", ""
	for i, c := range classes {
		if i > 0 {
			list, threads, loads = list+",", threads+",", loads+","
		}
		repeat := `"repeat":"retryable"`
		if c.Load {
			repeat = `"repeat":"dedup","group":"all","window":12000000000`
		}
		list += fmt.Sprintf(`{"name":%q,"objective":%d,"aim_stretch":%g,"give_up":%d,%s,"worth":%g}`, c.Name, c.Aim, c.AimStretch, c.GiveUp, repeat, c.Worth)
		threads += fmt.Sprint(c.Threads)
		loads += fmt.Sprint(c.Load)
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

// Traffic says what clients send, over open loops: arrivals do not wait for answers.
type Traffic struct {
	Classes  []Class
	Rate     float64 // queries a second, over all gateways
	Gateways int
	Skew     float64 // deviation of the gateways' shares over their mean
	Groups   int     // table groups
	Zipf     float64 // exponent of their popularity
	Estimate float64 // deviation of the estimates' logarithm
	Seed     uint64
}

// Request is one arrival.
type Request struct {
	At       time.Duration
	Gateway  int
	Class    int
	ID       string
	Query    Query
	Estimate float64 // seconds
	Budget   time.Duration
	Aim      time.Duration
}

// RateFor is the rate at which the queries' work is so large a share of the cores.
func (t Traffic) RateFor(load, cores float64) float64 {
	work := 0.0
	for _, c := range t.Classes {
		work += c.Share * c.Work
	}
	return load * cores / work
}

// Draw draws the arrivals of a span; the same ones for the same seed.
func (t Traffic) Draw(span time.Duration) (out []Request) {
	rnd := rand.New(rand.NewPCG(t.Seed, 31))
	gateways := drawer(t.Gateways, func(int) float64 { return lognormal(rnd, 1, t.Skew) })
	groups := drawer(max(1, t.Groups), func(i int) float64 { return math.Pow(float64(i+1), -t.Zipf) })
	classes := drawer(len(t.Classes), func(i int) float64 { return t.Classes[i].Share })
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / t.Rate * float64(time.Second))
		if at >= span {
			return out
		}
		c := classes(rnd)
		k := t.Classes[c]
		work := max(0.005, lognormal(rnd, k.Work, k.CV))
		var id [8]byte
		for i := range id {
			id[i] = byte(rnd.Uint32())
		}
		r := Request{At: at, Gateway: gateways(rnd), Class: c, ID: hex.EncodeToString(id[:]), Budget: k.GiveUp,
			Estimate: work * math.Exp(t.Estimate*rnd.NormFloat64()),
			Aim:      k.Aim + time.Duration(k.AimStretch*work/k.Threads*float64(time.Second)),
			Query:    Query{Work: work, Threads: k.Threads, IO: k.IO, NeedMB: k.MB, Group: groups(rnd), Load: k.Load}}
		out = append(out, r)
	}
}

// lognormal draws one of a mean and a deviation over the mean.
func lognormal(rnd *rand.Rand, mean, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(s2)*rnd.NormFloat64()-s2/2)
}

// drawer draws numbers by weight.
func drawer(n int, weight func(int) float64) func(*rand.Rand) int {
	sums, sum := make([]float64, n), 0.0
	for i := range sums {
		sum += weight(i)
		sums[i] = sum
	}
	return func(rnd *rand.Rand) int {
		x := rnd.Float64() * sum
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
