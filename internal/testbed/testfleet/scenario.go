package testfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is an experiment with a fleet: a network, and steps that are played one after the other.
type Scenario struct {
	Name       string  `toml:"name"`
	Seed       uint64  `toml:"seed"`
	Gateways   int     `toml:"gateways"`
	IntervalMS int64   `toml:"interval_ms"` // of the membership protocol; 0 = its default
	Network    Network `toml:"network"`
	Steps      []Step  `toml:"step"`
}

// Network describes the link between any two gateways.
type Network struct {
	Loss      float64  `toml:"loss"`     // share of datagrams lost
	Duplicate float64  `toml:"double"`   // share of datagrams duplicated
	DelayMS   [2]int64 `toml:"delay_ms"` // shortest, longest
}

// Link returns the link that the relay uses.
func (n Network) Link() Link {
	return Link{Loss: n.Loss, Duplicate: n.Duplicate, DelayMin: time.Duration(n.DelayMS[0]) * time.Millisecond,
		DelayMax: time.Duration(n.DelayMS[1]) * time.Millisecond}
}

// Step is one action. It names the gateways that it affects, or their number or share, of which the seed draws them.
type Step struct {
	Action    string   `toml:"do"` // one of the actions below
	Gateways  []int    `toml:"gateways"`
	Count     int      `toml:"count"`
	Share     float64  `toml:"share"`
	From      int      `toml:"from"`    // of the action cut: the sender whose datagrams are dropped
	DurationS float64  `toml:"for_s"`   // seconds
	Repeat    int      `toml:"repeat"`  // times; 0 = once
	Network   *Network `toml:"network"` // of the action network
}

// Actions of a step.
const (
	ActionKill         = "kill"          // SIGKILL; waits until all views agree, then starts them again and waits once more
	ActionTerminate    = "term"          // SIGTERM, likewise
	ActionPause        = "pause"         // SIGSTOP for for_s, then SIGCONT; waits until all views agree
	ActionDropInbound  = "drop_inbound"  // they get no datagrams for for_s; likewise
	ActionDropOutbound = "drop_outbound" // what they send does not arrive for for_s; likewise
	ActionCut          = "cut"           // what `from` sends does not arrive at them for for_s; likewise
	ActionSplit        = "split"         // they are cut from all others for for_s; likewise
	ActionNetwork      = "network"       // sets another network, for for_s or for good; likewise
	ActionQuiet        = "quiet"         // nothing happens for for_s
)

// Bounds of a scenario.
const (
	minGateways = 2
	maxGateways = 1000
	maxDelayMS  = 10_000
	maxRepeat   = 1000
)

// ScenarioError is a value of a scenario that is out of bounds, or a key that is unknown.
type ScenarioError struct {
	Step  int    // from 1; 0 = the key is outside of the steps
	Key   string // as in the file; keys of a table stand behind its name, as in network.loss
	Value any    // nil for an unknown key
	Bound string // what the value has to be
}

// Error names the step, the key, the value and the bound.
func (e *ScenarioError) Error() string {
	where := "scenario"
	if e.Step > 0 {
		where = fmt.Sprintf("scenario: step %d", e.Step)
	}
	if e.Value == nil {
		return fmt.Sprintf("%s: %s: %s", where, e.Key, e.Bound)
	}
	return fmt.Sprintf("%s: %s: %v is not %s", where, e.Key, e.Value, e.Bound)
}

// ParseScenario parses a scenario and validates it. It returns a *ScenarioError for an unknown key or a value out of
// bounds, and the decoder's error for text that is not TOML.
func ParseScenario(text []byte) (Scenario, error) {
	var s Scenario
	meta, err := toml.Decode(string(text), &s)
	if err != nil {
		return s, fmt.Errorf("scenario: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, &ScenarioError{Key: unknown[0].String(), Bound: "unknown key"}
	}
	return s, s.validate()
}

func (s Scenario) validate() error {
	if s.Gateways < minGateways || s.Gateways > maxGateways {
		return &ScenarioError{Key: "gateways", Value: s.Gateways, Bound: fmt.Sprintf("between %d and %d", minGateways, maxGateways)}
	}
	if err := s.Network.validate(); err != nil {
		return err
	}
	if len(s.Steps) == 0 {
		return &ScenarioError{Key: "step", Bound: "there is none"}
	}
	for i, step := range s.Steps {
		if err := step.validate(s.Gateways); err != nil {
			err.Step = i + 1
			return err
		}
	}
	return nil
}

// validate returns nil for a valid network. The concrete type lets a step add its number.
func (n Network) validate() *ScenarioError {
	switch {
	case n.Loss < 0 || n.Loss >= 1:
		return &ScenarioError{Key: "network.loss", Value: n.Loss, Bound: "a share below 1"}
	case n.Duplicate < 0 || n.Duplicate > 1:
		return &ScenarioError{Key: "network.double", Value: n.Duplicate, Bound: "a share up to 1"}
	case n.DelayMS[0] < 0 || n.DelayMS[1] < n.DelayMS[0] || n.DelayMS[1] > maxDelayMS:
		return &ScenarioError{Key: "network.delay_ms", Value: n.DelayMS, Bound: fmt.Sprintf("a range within 0 and %d", maxDelayMS)}
	}
	return nil
}

// Actions that need a time, and those that do not.
var (
	timedActions   = []string{ActionPause, ActionDropInbound, ActionDropOutbound, ActionCut, ActionSplit, ActionQuiet}
	untimedActions = []string{ActionKill, ActionTerminate, ActionNetwork}
)

// validate checks a step of a scenario with so many gateways.
func (s Step) validate(gateways int) *ScenarioError {
	if err := s.validateAction(); err != nil {
		return err
	}
	if err := s.validateSelection(gateways); err != nil {
		return err
	}
	switch {
	case slices.Contains(timedActions, s.Action) && !(s.DurationS > 0):
		return &ScenarioError{Key: "for_s", Value: s.DurationS, Bound: "above 0, as " + s.Action + " needs"}
	case s.Repeat < 0 || s.Repeat > maxRepeat:
		return &ScenarioError{Key: "repeat", Value: s.Repeat, Bound: fmt.Sprintf("between 0 and %d", maxRepeat)}
	case s.Action == ActionNetwork && s.Network == nil:
		return &ScenarioError{Key: "network", Bound: "missing"}
	case s.Network != nil:
		return s.Network.validate()
	}
	return nil
}

func (s Step) validateAction() *ScenarioError {
	if known := slices.Concat(untimedActions, timedActions); !slices.Contains(known, s.Action) {
		return &ScenarioError{Key: "do", Value: fmt.Sprintf("%q", s.Action), Bound: fmt.Sprintf("one of %v", known)}
	}
	return nil
}

// validateSelection checks which gateways the step affects. At least one is left unaffected by a number or a share.
func (s Step) validateSelection(gateways int) *ScenarioError {
	known := fmt.Sprintf("between 0 and %d", gateways-1)
	switch {
	case slices.ContainsFunc(s.Gateways, func(i int) bool { return i < 0 || i >= gateways }):
		return &ScenarioError{Key: "gateways", Value: s.Gateways, Bound: known}
	case s.From < 0 || s.From >= gateways:
		return &ScenarioError{Key: "from", Value: s.From, Bound: known}
	case s.Count < 0 || s.Count >= gateways:
		return &ScenarioError{Key: "count", Value: s.Count, Bound: known}
	case s.Share < 0 || s.Share >= 1:
		return &ScenarioError{Key: "share", Value: s.Share, Bound: "a share below 1"}
	}
	return nil
}

// pick returns the gateways that a step affects, of n; a number or a share is drawn.
func (s Step) pick(n int, rnd *rand.Rand) []int {
	if len(s.Gateways) > 0 {
		return s.Gateways
	}
	count := max(1, s.Count, int(s.Share*float64(n)))
	return rnd.Perm(n)[:count]
}
