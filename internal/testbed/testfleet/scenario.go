package testfleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is an experiment with a fleet: a network, and steps that follow each other.
type Scenario struct {
	Name       string  `toml:"name"`
	Seed       uint64  `toml:"seed"`
	Gateways   int     `toml:"gateways"`
	IntervalMS int64   `toml:"interval_ms"` // of the membership protocol; 0 = its default
	Network    Network `toml:"network"`
	Steps      []Step  `toml:"step"`
}

// Network says what becomes of datagrams between any two gateways.
type Network struct {
	Loss    float64  `toml:"loss"`
	Double  float64  `toml:"double"`
	DelayMS [2]int64 `toml:"delay_ms"` // from, to
}

// Link is the network as the relay takes it.
func (n Network) Link() Link {
	return Link{Loss: n.Loss, Double: n.Double, DelayMin: time.Duration(n.DelayMS[0]) * time.Millisecond,
		DelayMax: time.Duration(n.DelayMS[1]) * time.Millisecond}
}

// Step is one thing to do. Which gateways it concerns is named, or a count or a share is drawn by the seed from those
// that run.
type Step struct {
	Do       string   `toml:"do"` // see Actions
	Gateways []int    `toml:"gateways"`
	Count    int      `toml:"count"`
	Share    float64  `toml:"share"`
	From     int      `toml:"from"` // of cut: what From sends does not arrive at Gateways
	ForS     float64  `toml:"for_s"`
	Repeat   int      `toml:"repeat"` // 0 = once
	Network  *Network `toml:"network"`
}

// Actions are what a step can do.
const (
	DoKill         = "kill"          // SIGKILL; waits until all views agree, then starts them again and waits once more
	DoTerm         = "term"          // SIGTERM, likewise
	DoPause        = "pause"         // SIGSTOP for for_s, then SIGCONT; waits until all views agree
	DoDropInbound  = "drop_inbound"  // they get no datagrams for for_s; likewise
	DoDropOutbound = "drop_outbound" // what they send does not arrive for for_s; likewise
	DoCut          = "cut"           // what `from` sends does not arrive at them for for_s; likewise
	DoSplit        = "split"         // they are cut from all others for for_s; likewise
	DoNetwork      = "network"       // sets another network, for for_s or for good; likewise
	DoQuiet        = "quiet"         // nothing happens for for_s
)

var errScenario = errors.New("scenario")

// ParseScenario reads a scenario and checks it whole.
func ParseScenario(text []byte) (Scenario, error) {
	var s Scenario
	meta, err := toml.Decode(string(text), &s)
	if err != nil {
		return s, fmt.Errorf("%w: %w", errScenario, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, fmt.Errorf("%w: unknown key %v", errScenario, unknown[0])
	}
	if s.Gateways < 2 || s.Gateways > 1000 {
		return s, fmt.Errorf("%w: gateways: %d is not between 2 and 1000", errScenario, s.Gateways)
	}
	if err := s.Network.check(); err != nil {
		return s, fmt.Errorf("%w: network: %w", errScenario, err)
	}
	if len(s.Steps) == 0 {
		return s, fmt.Errorf("%w: it has no step", errScenario)
	}
	for i, step := range s.Steps {
		if err := step.check(s.Gateways); err != nil {
			return s, fmt.Errorf("%w: step %d: %w", errScenario, i+1, err)
		}
	}
	return s, nil
}

func (n Network) check() error {
	switch {
	case n.Loss < 0 || n.Loss >= 1:
		return fmt.Errorf("loss: %v is no share under 1", n.Loss)
	case n.Double < 0 || n.Double > 1:
		return fmt.Errorf("double: %v is no share", n.Double)
	case n.DelayMS[0] < 0 || n.DelayMS[1] < n.DelayMS[0] || n.DelayMS[1] > 10_000:
		return fmt.Errorf("delay_ms: %v", n.DelayMS)
	}
	return nil
}

func (s Step) check(gateways int) error {
	lasting := []string{DoPause, DoDropInbound, DoDropOutbound, DoCut, DoSplit, DoQuiet}
	known := append([]string{DoKill, DoTerm, DoNetwork}, lasting...)
	switch {
	case !slices.Contains(known, s.Do):
		return fmt.Errorf("do: %q is none of %v", s.Do, known)
	case slices.ContainsFunc(s.Gateways, func(i int) bool { return i < 0 || i >= gateways }) || s.From < 0 || s.From >= gateways:
		return fmt.Errorf("gateways and from: numbers from 0 to %d", gateways-1)
	case s.Count < 0 || s.Count >= gateways || s.Share < 0 || s.Share >= 1:
		return fmt.Errorf("count %d, share %v: some have to be left", s.Count, s.Share)
	case slices.Contains(lasting, s.Do) && !(s.ForS > 0):
		return fmt.Errorf("for_s: %s needs a time", s.Do)
	case s.Repeat < 0 || s.Repeat > 1000:
		return fmt.Errorf("repeat: %d", s.Repeat)
	case s.Do == DoNetwork && s.Network == nil:
		return fmt.Errorf("network: it is missing")
	case s.Network != nil:
		return s.Network.check()
	}
	return nil
}

// pick draws the gateways of a step.
func (s Step) pick(n int, rnd *rand.Rand) []int {
	if len(s.Gateways) > 0 {
		return s.Gateways
	}
	count := max(1, s.Count, int(s.Share*float64(n)))
	return rnd.Perm(n)[:count]
}

// Result is what came of a step.
type Result struct {
	Step, Do  string
	Gateways  int             // concerned, over all repeats
	First     []time.Duration // from the fault until the first other gateway told of it, sorted
	All       []time.Duration // from then until all running ones had, sorted
	False     int             // distinct members declared dead that ran, were not concerned, and by one not concerned
	Agreed    []time.Duration // from the end of the fault until all views matched the truth, sorted
	Datagrams float64         // sent by a gateway in a second, over the step
	Bytes     float64
	Took      time.Duration
}

// agreeMost bounds every wait for agreement.
const agreeMost = 5 * time.Minute

// Play plays a scenario on a fleet whose gateways all serve. note is told what goes on.
func (f *Fleet) Play(s Scenario, note func(string)) ([]Result, error) {
	rnd := rand.New(rand.NewPCG(s.Seed, 9))
	var out []Result
	if err := f.Wait(agreeMost, f.Agreed); err != nil {
		return nil, fmt.Errorf("at the start: %w", err)
	}
	for i, step := range s.Steps {
		r := Result{Step: fmt.Sprint(i + 1), Do: step.Do}
		began := time.Now()
		datagrams, bytes := f.sentAll()
		for range max(1, step.Repeat) {
			if err := f.playStep(step, step.pick(f.Size(), rnd), &r); err != nil {
				return out, fmt.Errorf("step %d, %s: %w", i+1, step.Do, err)
			}
		}
		d, b := f.sentAll()
		r.Took = time.Since(began)
		per := r.Took.Seconds() * float64(f.Size())
		r.Datagrams, r.Bytes = float64(d-datagrams)/per, float64(b-bytes)/per
		slices.Sort(r.First)
		slices.Sort(r.All)
		slices.Sort(r.Agreed)
		out = append(out, r)
		note(fmt.Sprintf("step %d, %s: %d gateways, %v", i+1, step.Do, r.Gateways, r.Took.Round(time.Second)))
	}
	return out, nil
}

func (f *Fleet) sentAll() (datagrams, bytes int) {
	for i := range f.Size() {
		d, b := f.Relay.Sent(i)
		datagrams, bytes = datagrams+d, bytes+b
	}
	return datagrams, bytes
}

func (f *Fleet) playStep(step Step, picked []int, r *Result) error {
	_, mark := f.StateChanges(0)
	if step.Do == DoQuiet {
		picked = nil
	}
	r.Gateways += len(picked)
	lasts := time.Duration(step.ForS * float64(time.Second))
	each := func(do func(i int) error) error {
		for _, i := range picked {
			if err := do(i); err != nil {
				return err
			}
		}
		return nil
	}
	began := time.Now()
	var err error
	switch step.Do {
	case DoKill, DoTerm:
		end := f.Kill
		if step.Do == DoTerm {
			end = f.Term
		}
		if err = each(end); err == nil {
			err = f.Wait(agreeMost, f.Agreed)
		}
		f.tally(mark, began, picked, r)
		_, mark = f.StateChanges(0)
		began = time.Time{} // what is told from here on is of the starts
		if err == nil {
			err = f.StartAll()
		}
	case DoPause:
		if err = each(f.Pause); err == nil {
			time.Sleep(lasts)
			err = each(f.Resume)
		}
	case DoDropInbound, DoDropOutbound, DoCut, DoSplit:
		for _, i := range picked {
			switch step.Do {
			case DoDropInbound:
				f.Relay.DropInbound(i, true)
			case DoDropOutbound:
				f.Relay.DropOutbound(i, true)
			case DoCut:
				f.Relay.Set(step.From, i, Link{Cut: true})
			case DoSplit:
				f.Relay.Side(i, 1)
			}
		}
		time.Sleep(lasts)
		f.Relay.Heal()
	case DoNetwork:
		f.Relay.Usual(step.Network.Link())
		time.Sleep(lasts)
		if lasts > 0 {
			f.Relay.Usual(f.opt.Link)
		}
	case DoQuiet:
		time.Sleep(lasts)
	}
	if err != nil {
		return err
	}
	healed := time.Now()
	err = f.Wait(agreeMost, f.Agreed)
	r.Agreed = append(r.Agreed, time.Since(healed))
	if err != nil {
		return err
	}
	f.tally(mark, began, picked, r)
	return nil
}

// tally reads what was told since the mark. A zero time counts false deaths only.
func (f *Fleet) tally(mark int, began time.Time, picked []int, r *Result) {
	told, _ := f.StateChanges(mark)
	first, last := map[int]time.Time{}, map[int]time.Time{}
	wrong := map[int]bool{}
	for _, t := range told {
		switch concerned := slices.Contains(picked, t.Member); {
		case t.Is == "alive":
		case concerned:
			if first[t.Member].IsZero() {
				first[t.Member] = t.At
			}
			last[t.Member] = t.At
		case t.Is == "dead" && !slices.Contains(picked, t.Viewer):
			wrong[t.Member] = true
		}
	}
	r.False += len(wrong)
	if began.IsZero() {
		return
	}
	for i, at := range first {
		r.First, r.All = append(r.First, at.Sub(began)), append(r.All, last[i].Sub(at))
	}
}
