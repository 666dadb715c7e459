package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/BurntSushi/toml"
)

// Operator is what an operator's file sets up beside the platform's front. Without a file all of it is off.
type Operator struct {
	MySQL *MySQL `toml:"mysql"`
	VRRP  *VRRP  `toml:"vrrp"`
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
	if m := o.MySQL; m != nil && (m.Listen == "" || m.EngineUser == "" || len(m.Accounts) == 0) {
		return o, fmt.Errorf("operator's file: mysql needs listen, engine_user and an account")
	}
	return o, nil
}
