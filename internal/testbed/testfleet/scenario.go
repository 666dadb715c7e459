package testfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is a fault injection scenario for a fleet: a network and steps that are run one after the other.
type Scenario struct {
	Name       string  `toml:"name"`
	Seed       uint64  `toml:"seed"`
	Gateways   int     `toml:"gateways"`
	IntervalMS int64   `toml:"interval_ms"` // interval of the membership protocol; 0 = its default
	Network    Network `toml:"network"`
	Steps      []Step  `toml:"step"`
}

// Network describes the link between any two gateways.
type Network struct {
	Loss      float64  `toml:"loss"`     // fraction of datagrams lost
	Duplicate float64  `toml:"double"`   // fraction of datagrams duplicated
	DelayMS   [2]int64 `toml:"delay_ms"` // minimum and maximum delay
}

// Link converts the network to the relay's form.
func (n Network) Link() Link {
	return Link{Loss: n.Loss, Duplicate: n.Duplicate, DelayMin: time.Duration(n.DelayMS[0]) * time.Millisecond,
		DelayMax: time.Duration(n.DelayMS[1]) * time.Millisecond}
}

// Step is one action. It lists the affected gateways, or gives their number or share, in which case they are selected at random.
type Step struct {
	Action    string   `toml:"do"` // one of the Action constants
	Gateways  []int    `toml:"gateways"`
	Count     int      `toml:"count"`
	Share     float64  `toml:"share"`
	From      int      `toml:"from"`    // for ActionCut: the sender whose datagrams are dropped
	DurationS float64  `toml:"for_s"`   // duration in seconds
	Repeat    int      `toml:"repeat"`  // number of times; 0 = once
	Network   *Network `toml:"network"` // for ActionNetwork
}

// Actions of a step. Each waits at its end until the views of all gateways have converged.
const (
	ActionKill         = "kill"          // sends SIGKILL, waits for convergence, and restarts the affected gateways
	ActionTerminate    = "term"          // as ActionKill, with SIGTERM
	ActionPause        = "pause"         // sends SIGSTOP, and SIGCONT after for_s
	ActionDropInbound  = "drop_inbound"  // drops all datagrams to the affected gateways for for_s
	ActionDropOutbound = "drop_outbound" // drops all datagrams from the affected gateways for for_s
	ActionCut          = "cut"           // drops datagrams from gateway `from` to the affected gateways for for_s
	ActionSplit        = "split"         // partitions the affected gateways from all others for for_s
	ActionNetwork      = "network"       // replaces the network for for_s, or permanently without for_s
	ActionQuiet        = "quiet"         // injects no fault for for_s
)

// Bounds of a scenario.
const (
	minGateways = 2
	maxGateways = 1000
	maxDelayMS  = 10_000
	maxRepeat   = 1000
)

// ScenarioError reports a value of a scenario that is out of bounds, or an unknown or missing key.
type ScenarioError struct {
	Step  int    // number of the step, from 1; 0 = the key is not part of a step
	Key   string // path of the key in the file, such as network.loss
	Value any    // nil for an unknown or missing key
	Bound string // the bound that the value violates, or the problem with the key
}

// Error returns a message with the step, the key, the value and the bound.
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

// ParseScenario parses and validates a scenario. It returns a *ScenarioError for an unknown key or a value out of bounds,
// and the decoder's error for invalid TOML.
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
		return &ScenarioError{Key: "step", Bound: "at least one is required"}
	}
	for i, step := range s.Steps {
		if err := step.validate(s.Gateways); err != nil {
			err.Step = i + 1
			return err
		}
	}
	return nil
}

// validate returns nil for a valid network. Its result type lets the caller set the number of the step.
func (n Network) validate() *ScenarioError {
	switch {
	case n.Loss < 0 || n.Loss >= 1:
		return &ScenarioError{Key: "network.loss", Value: n.Loss, Bound: "a share below 1"}
	case n.Duplicate < 0 || n.Duplicate > 1:
		return &ScenarioError{Key: "network.double", Value: n.Duplicate, Bound: "a share of at most 1"}
	case n.DelayMS[0] < 0 || n.DelayMS[1] < n.DelayMS[0] || n.DelayMS[1] > maxDelayMS:
		return &ScenarioError{Key: "network.delay_ms", Value: n.DelayMS, Bound: fmt.Sprintf("a range from 0 to %d", maxDelayMS)}
	}
	return nil
}

// Actions that require for_s, and those that do not.
var (
	timedActions   = []string{ActionPause, ActionDropInbound, ActionDropOutbound, ActionCut, ActionSplit, ActionQuiet}
	untimedActions = []string{ActionKill, ActionTerminate, ActionNetwork}
)

// validate checks a step of a scenario with this number of gateways.
func (s Step) validate(gateways int) *ScenarioError {
	if err := s.validateAction(); err != nil {
		return err
	}
	if err := s.validateSelection(gateways); err != nil {
		return err
	}
	switch {
	case slices.Contains(timedActions, s.Action) && !(s.DurationS > 0):
		return &ScenarioError{Key: "for_s", Value: s.DurationS, Bound: "above 0, which " + s.Action + " requires"}
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

// validateSelection checks the selection of the affected gateways. A number or a share must leave at least one unaffected.
func (s Step) validateSelection(gateways int) *ScenarioError {
	bound := fmt.Sprintf("between 0 and %d", gateways-1)
	switch {
	case slices.ContainsFunc(s.Gateways, func(i int) bool { return i < 0 || i >= gateways }):
		return &ScenarioError{Key: "gateways", Value: s.Gateways, Bound: bound}
	case s.From < 0 || s.From >= gateways:
		return &ScenarioError{Key: "from", Value: s.From, Bound: bound}
	case s.Count < 0 || s.Count >= gateways:
		return &ScenarioError{Key: "count", Value: s.Count, Bound: bound}
	case s.Share < 0 || s.Share >= 1:
		return &ScenarioError{Key: "share", Value: s.Share, Bound: "a share below 1"}
	}
	return nil
}

// selectGateways returns the gateways that a step affects in a fleet of n: those it lists, or a random selection.
func (s Step) selectGateways(n int, random *rand.Rand) []int {
	if len(s.Gateways) > 0 {
		return s.Gateways
	}
	count := max(1, s.Count, int(s.Share*float64(n)))
	return random.Perm(n)[:count]
}
