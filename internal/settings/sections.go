package settings

import (
	"fmt"
	"net/netip"
	"time"

	"frostpier/internal/control/membership"
)

// Bounds of intervals, and the default of rollout.report_ms.
const (
	minProbeIntervalMS      = 100
	maxProbeIntervalMS      = 60_000
	minReportIntervalMS     = 50
	maxReportIntervalMS     = 60_000
	defaultReportIntervalMS = 1000
)

// Rollout makes the gateway report its version and health to the controller of a staged change, and its version to the
// other gateways.
type Rollout struct {
	ReportTo netip.AddrPort `toml:"report_to"` // UDP address of the controller; a loopback address
	ReportMS int64          `toml:"report_ms"` // report interval; 0 = 1000
}

// ReportInterval returns the interval between two reports.
func (r Rollout) ReportInterval() time.Duration {
	if r.ReportMS == 0 {
		return defaultReportIntervalMS * time.Millisecond
	}
	return time.Duration(r.ReportMS) * time.Millisecond
}

func (r Rollout) check() error {
	if !r.ReportTo.IsValid() || r.ReportTo.Port() == 0 || !r.ReportTo.Addr().IsLoopback() {
		return operatorError("rollout.report_to", r.ReportTo.String(), "must be a loopback address with a port")
	}
	if r.ReportMS == 0 {
		return nil
	}
	return checkRange("rollout.report_ms", r.ReportMS, minReportIntervalMS, maxReportIntervalMS)
}

// Spread makes the gateways share the load reports of engines. It requires membership, whose datagrams carry the reports.
// It has no keys, because its parameters follow from the size of the fleet.
type Spread struct{}

// Membership makes the gateways probe each other. A time of 0 selects the default of package membership.
type Membership struct {
	Fleet      string `toml:"fleet"`       // name of the fleet; datagrams of other fleets are dropped
	IntervalMS int64  `toml:"interval_ms"` // probe interval, which must be the same on all gateways
	TimeoutMS  int64  `toml:"timeout_ms"`  // timeout of a direct probe, after which indirect probes are requested
	SuspectMS  int64  `toml:"suspect_ms"`  // shortest suspicion timeout
}

// Times returns the probe interval, the timeout of a direct probe and the shortest suspicion timeout. 0 selects a default.
func (m Membership) Times() (interval, timeout, suspect time.Duration) {
	return time.Duration(m.IntervalMS) * time.Millisecond,
		time.Duration(m.TimeoutMS) * time.Millisecond,
		time.Duration(m.SuspectMS) * time.Millisecond
}

func (m Membership) check() error {
	if m.Fleet == "" {
		return operatorError("membership.fleet", nil, "must not be empty")
	}
	interval := m.IntervalMS
	if interval == 0 {
		interval = membership.DefaultInterval.Milliseconds()
	}
	if err := checkRange("membership.interval_ms", interval, minProbeIntervalMS, maxProbeIntervalMS); err != nil {
		return err
	}
	if m.TimeoutMS < 0 || m.TimeoutMS >= interval/2 {
		return operatorError("membership.timeout_ms", m.TimeoutMS, fmt.Sprintf("must be at least 0 and less than half of interval_ms (%d)", interval))
	}
	if m.SuspectMS == 0 {
		return nil
	}
	if m.SuspectMS < interval/2 || m.SuspectMS > maxProbeIntervalMS {
		reason := fmt.Sprintf("must be between half of interval_ms (%d) and %d", interval, maxProbeIntervalMS)
		return operatorError("membership.suspect_ms", m.SuspectMS, reason)
	}
	return nil
}

// MySQL configures the frontend for MySQL clients.
type MySQL struct {
	Listen         string            `toml:"listen"`
	MaxClients     int               `toml:"most_clients"` // maximum client connections; 0 = as many as file descriptors allow
	EnginePort     int               `toml:"engine_port"`  // MySQL port of the engines in the engine list
	EngineUser     string            `toml:"engine_user"`
	EnginePassword string            `toml:"engine_password"`
	Engines        map[string]string `toml:"engines"` // MySQL addresses by engine name; they override the engine list and EnginePort
	Accounts       []struct {
		User         string `toml:"user"`
		PasswordHash string `toml:"password_hash"` // password hash in the format of mysql_native_password
		Class        string `toml:"class"`
		BudgetMS     int64  `toml:"budget_ms"` // deadline of each statement
	} `toml:"account"`
}

func (m MySQL) check() error {
	const reason = "missing: mysql requires listen, engine_user and at least one account"
	switch {
	case m.Listen == "":
		return operatorError("mysql.listen", nil, reason)
	case m.EngineUser == "":
		return operatorError("mysql.engine_user", nil, reason)
	case len(m.Accounts) == 0:
		return operatorError("mysql.account", nil, reason)
	}
	return nil
}

// VRRP configures the virtual router whose master opens the listener of the MySQL frontend.
type VRRP struct {
	Listen     netip.AddrPort   `toml:"listen"`
	Peers      []netip.AddrPort `toml:"peers"`
	ID         uint8            `toml:"id"`
	Priority   uint8            `toml:"priority"`
	IntervalMS int64            `toml:"interval_ms"` // advertisement interval of the master
	Preempt    bool             `toml:"preempt"`
	Addresses  []netip.Addr     `toml:"addresses"`
}

// Interval returns the advertisement interval of the master.
func (v VRRP) Interval() time.Duration { return time.Duration(v.IntervalMS) * time.Millisecond }
