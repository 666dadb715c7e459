package settings

import (
	"fmt"
	"net/netip"
	"time"

	"frostpier/internal/control/membership"
)

// Bounds of the sections' times, in milliseconds, and the default of report_ms.
const (
	minProbeIntervalMS      = 100
	maxProbeIntervalMS      = 60_000
	minReportIntervalMS     = 50
	maxReportIntervalMS     = 60_000
	defaultReportIntervalMS = 1000
)

// Rollout has the gateway report its version and health to the controller of a rollout, and its version to the other
// gateways.
type Rollout struct {
	ReportTo netip.AddrPort `toml:"report_to"` // UDP address of the controller, on this machine
	ReportMS int64          `toml:"report_ms"` // between two reports; 0 = 1000
}

// ReportInterval returns the time between two reports.
func (r Rollout) ReportInterval() time.Duration {
	if r.ReportMS == 0 {
		return defaultReportIntervalMS * time.Millisecond
	}
	return time.Duration(r.ReportMS) * time.Millisecond
}

func (r Rollout) check() error {
	if !r.ReportTo.IsValid() || r.ReportTo.Port() == 0 || !r.ReportTo.Addr().IsLoopback() {
		return operatorError("rollout.report_to", r.ReportTo.String(), "no address of this machine with a port")
	}
	if r.ReportMS == 0 {
		return nil
	}
	return checkRange("rollout.report_ms", r.ReportMS, minReportIntervalMS, maxReportIntervalMS)
}

// Spread has the gateways share load reports of the engines. It needs membership, whose datagrams carry them. It has no
// keys, as its parameters follow from the size of the fleet.
type Spread struct{}

// Membership has the gateways probe each other. Times of 0 have the defaults of the package membership.
type Membership struct {
	Fleet      string `toml:"fleet"`       // datagrams of a fleet with another name are dropped
	IntervalMS int64  `toml:"interval_ms"` // between two probes; the same at all gateways
	TimeoutMS  int64  `toml:"timeout_ms"`  // of a direct probe, before indirect probes are requested
	SuspectMS  int64  `toml:"suspect_ms"`  // the shortest time from a suspicion to its confirmation
}

// Times returns the probe interval, the timeout of a direct probe and the shortest suspicion timeout; 0 = default.
func (m Membership) Times() (interval, timeout, suspect time.Duration) {
	return time.Duration(m.IntervalMS) * time.Millisecond,
		time.Duration(m.TimeoutMS) * time.Millisecond,
		time.Duration(m.SuspectMS) * time.Millisecond
}

func (m Membership) check() error {
	if m.Fleet == "" {
		return operatorError("membership.fleet", nil, "the fleet needs a name")
	}
	interval := m.IntervalMS
	if interval == 0 {
		interval = membership.DefaultInterval.Milliseconds()
	}
	if err := checkRange("membership.interval_ms", interval, minProbeIntervalMS, maxProbeIntervalMS); err != nil {
		return err
	}
	if m.TimeoutMS < 0 || m.TimeoutMS >= interval/2 {
		return operatorError("membership.timeout_ms", m.TimeoutMS, fmt.Sprintf("not under half of the interval of %d", interval))
	}
	if m.SuspectMS == 0 {
		return nil
	}
	if m.SuspectMS < interval/2 || m.SuspectMS > maxProbeIntervalMS {
		reason := fmt.Sprintf("not between half of the interval of %d and %d", interval, maxProbeIntervalMS)
		return operatorError("membership.suspect_ms", m.SuspectMS, reason)
	}
	return nil
}

// MySQL is the frontend for MySQL clients.
type MySQL struct {
	Listen         string            `toml:"listen"`
	MaxClients     int               `toml:"most_clients"` // 0 = as many as the descriptors allow
	EnginePort     int               `toml:"engine_port"`  // where listed engines speak MySQL
	EngineUser     string            `toml:"engine_user"`
	EnginePassword string            `toml:"engine_password"`
	Engines        map[string]string `toml:"engines"` // MySQL addresses by engine name, where they differ from the list
	Accounts       []struct {
		User         string `toml:"user"`
		PasswordHash string `toml:"password_hash"` // as mysql_native_password stores it
		Class        string `toml:"class"`
		BudgetMS     int64  `toml:"budget_ms"` // deadline of each statement
	} `toml:"account"`
}

func (m MySQL) check() error {
	const reason = "missing: mysql needs listen, engine_user and an account"
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

// VRRP is the virtual router whose master owns the listener of the MySQL frontend.
type VRRP struct {
	Listen     netip.AddrPort   `toml:"listen"`
	Peers      []netip.AddrPort `toml:"peers"`
	ID         uint8            `toml:"id"`
	Priority   uint8            `toml:"priority"`
	IntervalMS int64            `toml:"interval_ms"` // between two advertisements of the master
	Preempt    bool             `toml:"preempt"`
	Addresses  []netip.Addr     `toml:"addresses"`
}

// Interval returns the time between two advertisements of the master.
func (v VRRP) Interval() time.Duration { return time.Duration(v.IntervalMS) * time.Millisecond }
