package policy

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"frostpier/internal/testutil"
)

const (
	goldenEvents  = 3000
	goldenSeeds   = 3
	goldenEngines = 12
)

// goldenSettings returns settings that cover different paths of the decisions. The golden file contains the keys.
func goldenSettings() map[string]Settings {
	base := testSettings()
	base.Classes = append([]Class{}, base.Classes...)
	dataLoad, waiting := base.Classes[0], base.Classes[0]
	dataLoad.Idempotency, dataLoad.IsDataLoad, dataLoad.Threads = IdempotentWithKey, true, 2
	waiting.WaitsForDataLoads, waiting.Threads = true, 3
	base.Classes = append(base.Classes, dataLoad, waiting)

	fleet, single, minimal, zoneCost, polling := base, base, base, base, base
	fleet.Gateways, fleet.GatewayIndex = 120, 7
	single.Gateways, single.QueuesForMemory = 1, true
	minimal.Metrics, minimal.MayProbe, minimal.MayCancel = nil, false, false
	minimal.HonorsGrants, minimal.HonorsPriority = false, false
	minimal.Rules.RetryBudget, minimal.MaxAttempts, minimal.WorkInResponses = false, 3, false
	zoneCost.CrossZoneCost, zoneCost.Gateways, zoneCost.Zone = 0.2, 9, 1
	polling.PollEngineList, polling.MaxRetryAfter, polling.Gateways = true, 0, 40
	return map[string]Settings{
		"base": base, "fleet": fleet, "lone": single, "bare": minimal, "priced": zoneCost, "asking": polling,
	}
}

// recorder passes a random stream of events to a Gateway and records every action. The words in its records must not
// change, because the golden file contains their hash.
type recorder struct {
	g       *Gateway
	s       Settings
	rnd     *rand.Rand
	now     time.Duration
	out     bytes.Buffer
	nextID  RequestID
	open    []RequestID
	sent    []recordedSend
	attempt map[RequestID]int
	probes  []EngineID
	timers  []recordedTimer
	actions int
}

type recordedSend struct {
	id      RequestID
	attempt int
	engine  EngineID
	at      time.Duration
}

type recordedTimer struct {
	at    time.Duration
	token uint64
}

func (r *recorder) write(format string, args ...any) { fmt.Fprintf(&r.out, format+"\n", args...) }

func (r *recorder) handle(e Event) {
	for _, a := range r.g.Handle(r.now, e) {
		r.actions++
		r.record(a)
	}
}

func (r *recorder) record(a Action) {
	switch a := a.(type) {
	case Send:
		r.write("send %d %x %d", a.ID, uint64(a.Engine), a.Timeout)
		r.sent = append(r.sent, recordedSend{a.ID, r.attempt[a.ID], a.Engine, r.now})
		r.attempt[a.ID]++
	case SetResources:
		r.write("terms %d %g %d", a.ID, a.GrantMB, a.Priority)
	case Reject:
		r.write("refuse %d %d", a.ID, a.RetryAfter)
	case Fail:
		r.write("fail %d", a.ID)
	case Cancel:
		r.write("cancel %d %d", a.ID, a.Attempt)
	case Probe:
		r.write("probe %x", uint64(a.Engine))
		r.probes = append(r.probes, a.Engine)
	case SetTimer:
		r.write("timer %d %x", a.After, a.Token)
		r.timers = append(r.timers, recordedTimer{r.now + a.After, a.Token})
	case Subscribe:
		r.write("subscribe")
	case Log:
		r.write("log")
	default:
		r.write("unknown")
	}
}

func (r *recorder) report() LoadReport {
	if r.rnd.IntN(3) == 0 {
		return LoadReport{}
	}
	return LoadReport{Present: true, Values: map[Metric]float64{RunningQueries: float64(r.rnd.IntN(40)),
		CPUUtilization: r.rnd.Float64(), QueuedQueries: float64(r.rnd.IntN(4)), MemoryUtilization: r.rnd.Float64(),
		DiskUtilization: r.rnd.Float64()}}
}

func (r *recorder) engineInfo(id EngineID) EngineInfo {
	info := EngineInfo{ID: id, Zone: int(id) % 2, MachineType: int(id) % 2, Cell: int(id) % 3, Scale: 1}
	switch r.rnd.IntN(12) {
	case 0:
		info.Health = Draining
	case 1:
		info.Health = Gone
	case 2:
		info.Started = r.now - time.Duration(r.rnd.IntN(5000))*time.Millisecond
	case 3:
		info.Overflow = true
	}
	return info
}

func (r *recorder) list(kind ListKind, n int) {
	l := EngineList{Kind: kind}
	for range n {
		l.Engines = append(l.Engines, r.engineInfo(EngineID(1+r.rnd.IntN(goldenEngines))))
	}
	r.handle(l)
}

func (r *recorder) arrive() {
	r.nextID++
	class := r.rnd.IntN(len(r.s.Classes))
	a := Arrival{ID: r.nextID, Class: class, TableGroup: r.rnd.IntN(6),
		Remaining: time.Duration(100+r.rnd.IntN(6000)) * time.Millisecond}
	if r.rnd.IntN(4) > 0 {
		a.EstimatedWork, a.EstimatedMemoryMB = time.Duration(20+r.rnd.IntN(900))*time.Millisecond, 20+900*r.rnd.Float64()
	}
	if r.rnd.IntN(2) == 0 {
		a.OrderingKey = uint64(1 + r.rnd.IntN(5))
	}
	a.IsClientRetry = r.rnd.IntN(10) == 0
	r.open = append(r.open, a.ID)
	r.handle(a)
}

func (r *recorder) end() {
	if len(r.sent) == 0 {
		return
	}
	i := r.rnd.IntN(len(r.sent))
	s := r.sent[i]
	r.sent = append(r.sent[:i], r.sent[i+1:]...)
	outcome := OK
	if r.rnd.IntN(4) == 0 {
		outcome = Outcome(r.rnd.IntN(int(NotSent) + 1))
	}
	duration := r.now - s.at
	r.handle(AttemptEnded{ID: s.id, Attempt: s.attempt, Engine: s.engine, Outcome: outcome, Duration: duration,
		Terminal: outcome == OK, Work: time.Duration(float64(duration) * r.rnd.Float64()), UsedMB: 500 * r.rnd.Float64(),
		Report: r.report()})
}

// step advances the clock, fires the timers that are due and passes one random event.
func (r *recorder) step() {
	r.now += time.Duration(r.rnd.IntN(20)) * time.Millisecond
	r.fireTimers()
	kind := r.rnd.IntN(100)
	if kind >= 74 && kind < 86 && len(r.sent) > 0 {
		r.duringAttempt(kind, r.sent[r.rnd.IntN(len(r.sent))])
		return
	}
	switch {
	case kind < 38:
		r.arrive()
	case kind < 74:
		r.end()
	case kind < 89:
		r.handle(ClientGone{r.open[r.rnd.IntN(len(r.open))]})
	case kind < 93:
		r.endProbe()
	case kind < 95:
		r.list(ListDelta, 1+r.rnd.IntN(3))
	case kind < 96:
		r.list(ListKind(r.rnd.IntN(4)), 4+r.rnd.IntN(2*goldenEngines))
	case kind < 97:
		r.handle(GatewaysInService{Count: r.rnd.IntN(r.s.Gateways + 2), UsesSubset: r.rnd.IntN(3) == 0})
	default:
		r.handle(PeerReports{[]PeerReport{{EngineID(1 + r.rnd.IntN(goldenEngines)), float64(r.rnd.IntN(60)),
			r.now - time.Duration(r.rnd.IntN(3000))*time.Millisecond}}})
	}
}

// fireTimers fires the timers that are due.
func (r *recorder) fireTimers() {
	for i := 0; i < len(r.timers); i++ {
		if t := r.timers[i]; t.at <= r.now {
			r.timers = append(r.timers[:i], r.timers[i+1:]...)
			r.handle(TimerFired{t.token})
			i--
		}
	}
}

// duringAttempt passes an event of an attempt in flight. kind is the random number that step has drawn.
func (r *recorder) duringAttempt(kind int, s recordedSend) {
	switch {
	case kind < 80:
		r.write("may %v %v", r.g.AttemptAllowed(r.now, s.id, s.attempt), r.g.ReserveResend(r.now, s.id, s.attempt))
	case kind < 83:
		r.handle(ResponseOverdue{s.id, s.attempt})
	case kind < 85:
		r.handle(Progress{s.id, s.attempt, r.rnd.Float64()})
	default:
		r.handle(ResponseStarted{s.id, s.attempt})
	}
}

func (r *recorder) endProbe() {
	if len(r.probes) == 0 {
		return
	}
	id := r.probes[0]
	r.probes = r.probes[1:]
	outcome := OK
	if r.rnd.IntN(3) == 0 {
		outcome = NoConnection
	}
	r.handle(ProbeEnded{id, outcome, 5 * time.Millisecond, r.report()})
}

// recordEstimates records the estimates and guards that operators' logs contain.
func (r *recorder) recordEstimates() {
	u := r.g.Utilization()
	r.write("filled %g %g %g %g", u.Threads, u.Window, u.MeanPeerLoad, u.OverloadRatio)
	for _, id := range r.open[max(0, len(r.open)-8):] {
		queued, guard, engines := r.g.Explain(r.now, id)
		r.write("held %v %s", queued, guard)
		for _, e := range engines {
			r.write("look %x %g %g %g %g %d %s", uint64(e.Engine), e.OwnThreads, e.PeerThreads, e.Limit, e.Target,
				e.ReportAge, e.Guard)
		}
	}
}

func recordDecisions(t *testing.T, s Settings, seed uint64) (hash uint64, actions int) {
	t.Helper()
	g, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{g: g, s: s, rnd: rand.New(rand.NewPCG(seed, 26)), now: time.Hour, attempt: map[RequestID]int{}}
	r.list(ListFull, 3*goldenEngines)
	r.arrive()
	for i := range goldenEvents {
		r.step()
		if i%50 == 0 {
			r.recordEstimates()
		}
	}
	r.handle(ShuttingDown{})
	sum := fnv.New64a()
	sum.Write(r.out.Bytes())
	return sum.Sum64(), r.actions
}

// Checks that the decisions for random streams of events equal the recorded ones. It guards against changes of behavior
// by refactoring.
func TestDecisionsMatchGoldenFile(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	all := goldenSettings()
	for _, name := range []string{"asking", "bare", "base", "fleet", "lone", "priced"} {
		for seed := range uint64(goldenSeeds) {
			hash, actions := recordDecisions(t, all[name], seed+1)
			fmt.Fprintf(&lines, "%s seed %d: %016x, %d actions\n", name, seed+1, hash, actions)
		}
	}
	testutil.Golden(t, "decisions.golden", lines.Bytes())
}
