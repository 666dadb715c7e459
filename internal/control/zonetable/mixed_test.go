package zonetable

import (
	"testing"
	"time"

	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
)

// Checks that membership and the zones are correct in a fleet in which half of the gateways send zones, and the other half run
// the previous version, which ignores these messages.
func TestGatewaysWithoutZoneExtensionAreUnaffected(t *testing.T) {
	const members = 20
	tables := map[int]*Table{}
	f, err := simulation.New(simulation.Setup{Members: members, Seed: 5, Loss: 0.1, StartSpread: time.Second, StepsPerCheck: 10,
		NewDetector: func(cfg membership.Config) (simulation.Detector, error) {
			if cfg.Self%2 == 0 {
				return membership.New(cfg)
			}
			node := new(*membership.Node)
			table := New(cfg.Self, members, zones, cfg.Self%len(zones), func(member int) time.Duration {
				_, incarnation := (*node).Member(member)
				return time.Duration(incarnation) * time.Second
			})
			table.SetUsesSubset(true)
			tables[cfg.Self] = table
			cfg.Extensions = append(cfg.Extensions, table)
			created, err := membership.New(cfg)
			*node = created
			return created, err
		}})
	if err != nil {
		t.Fatal(err)
	}
	f.OnEvent = func(at int, e membership.Event) error {
		switch {
		case e.Kind == membership.ExtensionReceived && tables[at] == nil:
			t.Errorf("member %d without the extension received a message of kind %d", at, e.ExtensionKind)
		case e.Kind == membership.ExtensionReceived && !tables[at].Receive(e.Member, e.Body):
			t.Errorf("member %d dropped a message from member %d", at, e.Member)
		case e.Kind == membership.StateChanged && e.NewState == membership.Dead:
			t.Errorf("member %d declared member %d dead", at, e.Member)
		}
		return nil
	}
	if err := f.Run(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	if agreed, difference := f.ViewsAgree(); !agreed {
		t.Error("the views differ:", difference)
	}
	for at, table := range tables {
		for member := range members {
			want := -1
			if tables[member] != nil {
				want = member % len(zones)
			}
			if got := table.Zone(member); got != want {
				t.Errorf("member %d knows zone %d for member %d, want %d", at, got, member, want)
			}
		}
	}
}
