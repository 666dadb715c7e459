package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"time"

	"github.com/BurntSushi/toml"

	"frostpier/internal/control/membership"
)

// Operator is what an operator's file sets up beside the platform's front. Without a file all of it is off.
type Operator struct {
	MySQL      *MySQL      `toml:"mysql"`
	VRRP       *VRRP       `toml:"vrrp"`
	Membership *Membership `toml:"membership"`
	Spread     *Spread     `toml:"spread"`
	Rollout    *Rollout    `toml:"rollout"`
	Subset     *Subset     `toml:"subset"`
}

// Rollout has the gateway tell the controller of a staged change how it does, and the other gateways its version.
type Rollout struct {
	ReportTo netip.AddrPort `toml:"report_to"` // where the controller listens, by UDP
	ReportMS int64          `toml:"report_ms"` // between two reports; 0 = 1000
}

// Every is the time between two reports.
func (r Rollout) Every() time.Duration {
	if r.ReportMS == 0 {
		return time.Second
	}
	return time.Duration(r.ReportMS) * time.Millisecond
}

func (r Rollout) check() error {
	switch {
	case !r.ReportTo.IsValid() || r.ReportTo.Port() == 0 || !r.ReportTo.Addr().IsLoopback():
		return fmt.Errorf("operator's file: rollout.report_to: %q is no address of this machine with a port", r.ReportTo)
	case r.ReportMS != 0 && (r.ReportMS < 50 || r.ReportMS > 60_000):
		return fmt.Errorf("operator's file: rollout.report_ms: %d is not between 50 and 60000", r.ReportMS)
	}
	return nil
}

// Live reports whether all that differs from another file may change while the program runs: membership's timeout_ms and
// suspect_ms, whether a digest that the start began is told, and the section subset with all its keys.
func (o Operator) Live(next Operator) bool {
	if (o.Membership == nil) != (next.Membership == nil) || o.Spread == nil && next.Spread != nil {
		return false
	}
	a, b := o, next
	a.Spread, b.Spread = nil, nil
	a.Subset, b.Subset = nil, nil
	if a.Membership != nil {
		m := *b.Membership
		m.TimeoutMS, m.SuspectMS = a.Membership.TimeoutMS, a.Membership.SuspectMS
		b.Membership = &m
	}
	return reflect.DeepEqual(a, b)
}

// Spread has the gateways tell each other what engines report of their load. It needs membership, whose datagrams
// carry it, and has no keys: what it does follows from the fleet's size.
type Spread struct{}

// Membership has the gateways watch each other. Times of 0 mean the defaults of the package membership.
type Membership struct {
	Fleet      string `toml:"fleet"`       // the fleet's name: datagrams of another are dropped
	IntervalMS int64  `toml:"interval_ms"` // between two probes of a gateway; the same at all
	TimeoutMS  int64  `toml:"timeout_ms"`  // until others are asked to probe as well
	SuspectMS  int64  `toml:"suspect_ms"`  // the shortest suspicion
}

// Times are the section's times.
func (m Membership) Times() (interval, timeout, suspect time.Duration) {
	return time.Duration(m.IntervalMS) * time.Millisecond, time.Duration(m.TimeoutMS) * time.Millisecond,
		time.Duration(m.SuspectMS) * time.Millisecond
}

// Bounds of the times, in milliseconds.
const (
	leastInterval = 100
	mostInterval  = 60_000
)

// check names the key that makes no sense.
func (m Membership) check() error {
	interval := m.IntervalMS
	if interval == 0 {
		interval = membership.DefaultInterval.Milliseconds()
	}
	switch {
	case m.Fleet == "":
		return fmt.Errorf("operator's file: membership.fleet: the fleet needs a name")
	case interval < leastInterval || interval > mostInterval:
		return fmt.Errorf("operator's file: membership.interval_ms: %d is not between %d and %d", interval,
			leastInterval, mostInterval)
	case m.TimeoutMS < 0 || m.TimeoutMS >= interval/2:
		return fmt.Errorf("operator's file: membership.timeout_ms: %d is not under half of the interval of %d",
			m.TimeoutMS, interval)
	case m.SuspectMS < 0 || m.SuspectMS > 0 && m.SuspectMS < interval/2 || m.SuspectMS > mostInterval:
		return fmt.Errorf("operator's file: membership.suspect_ms: %d is not between half of the interval of %d and %d",
			m.SuspectMS, interval, mostInterval)
	}
	return nil
}

// MySQL is the MySQL front.
type MySQL struct {
	Listen         string            `toml:"listen"`
	MostClients    int               `toml:"most_clients"`
	EnginePort     int               `toml:"engine_port"`
	EngineUser     string            `toml:"engine_user"`
	EnginePassword string            `toml:"engine_password"`
	Engines        map[string]string `toml:"engines"`
	Accounts       []struct {
		User         string `toml:"user"`
		PasswordHash string `toml:"password_hash"`
		Class        string `toml:"class"`
		BudgetMS     int64  `toml:"budget_ms"`
	} `toml:"account"`
}

// VRRP is the virtual router whose master owns the MySQL front's listener.
type VRRP struct {
	Listen     netip.AddrPort   `toml:"listen"`
	Peers      []netip.AddrPort `toml:"peers"`
	ID         uint8            `toml:"id"`
	Priority   uint8            `toml:"priority"`
	IntervalMS int64            `toml:"interval_ms"`
	Preempt    bool             `toml:"preempt"`
	Addresses  []netip.Addr     `toml:"addresses"`
}

// Interval is the time between two messages of a master.
func (v VRRP) Interval() time.Duration { return time.Duration(v.IntervalMS) * time.Millisecond }

// ParseOperator reads an operator's file. A key that it does not know is an error: it would be a setting that does
// not hold.
func ParseOperator(text []byte) (Operator, error) {
	var o Operator
	meta, err := toml.Decode(string(text), &o)
	if err != nil {
		return o, fmt.Errorf("operator's file: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return o, fmt.Errorf("operator's file: unknown key %v", unknown[0])
	}
	if o.VRRP != nil && o.MySQL == nil {
		return o, fmt.Errorf("operator's file: vrrp without mysql has nothing to own")
	}
	if o.Membership != nil {
		if err := o.Membership.check(); err != nil {
			return o, err
		}
	}
	if o.Rollout != nil {
		if err := o.Rollout.check(); err != nil {
			return o, err
		}
	}
	if o.Rollout != nil && o.Membership == nil {
		return o, fmt.Errorf("operator's file: rollout without membership has no fleet's name")
	}
	if o.Spread != nil && o.Membership == nil {
		return o, fmt.Errorf("operator's file: spread needs membership: its messages are piggybacked on membership datagrams")
	}
	if o.Subset != nil && o.Membership == nil {
		return o, fmt.Errorf("operator's file: subset without membership cannot tell which gateways share the engines")
	}
	if o.Subset != nil {
		if err := o.Subset.check(); err != nil {
			return o, err
		}
	}
	if m := o.MySQL; m != nil && (m.Listen == "" || m.EngineUser == "" || len(m.Accounts) == 0) {
		return o, fmt.Errorf("operator's file: mysql needs listen, engine_user and an account")
	}
	return o, nil
}
