package rollout

import (
	"testing"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
)

// mixedFleet is a fleet of which the members with an odd number send versions. The others run an earlier program, which does
// not know them.
type mixedFleet struct {
	t       *testing.T
	members *simulation.Fleet
	mixes   map[int]*VersionTracker
	digests map[int]*loadreport.Digest
	deaths  int // members that were declared dead while they ran
}

func newMixedFleet(t *testing.T, members int) *mixedFleet {
	t.Helper()
	f := &mixedFleet{t: t, mixes: map[int]*VersionTracker{}, digests: map[int]*loadreport.Digest{}}
	var err error
	f.members, err = simulation.New(simulation.Setup{Members: members, Seed: 5, Loss: 0.1, StartSpread: time.Second, StepsPerCheck: 10,
		NewDetector: func(cfg membership.Config) (simulation.Detector, error) {
			d := loadreport.New()
			d.SetEngines([]uint64{1, 2, 3})
			f.digests[cfg.Self], cfg.ExtensionInterval = d, 300*time.Millisecond
			cfg.Extensions = append(cfg.Extensions, d)
			if cfg.Self%2 == 1 {
				f.mixes[cfg.Self] = NewVersionTracker(members, VersionID{uint64(7+cfg.Self%3) << 32, 1 << 32})
				cfg.Extensions = append(cfg.Extensions, f.mixes[cfg.Self])
			}
			return membership.New(cfg)
		}})
	if err != nil {
		t.Fatal(err)
	}
	f.members.OnEvent = f.handleEvent
	return f
}

// handleEvent passes extensions on to the member that received them, and counts false deaths.
func (f *mixedFleet) handleEvent(at int, e membership.Event) error {
	switch {
	case e.Kind == membership.ExtensionReceived && e.ExtensionKind == loadreport.ExtensionKind:
		f.digests[at].Receive(f.members.Now, e.Body)
	case e.Kind == membership.ExtensionReceived && e.ExtensionKind == ExtensionKind && f.mixes[at] == nil:
		f.t.Errorf("member %d got what it has no extension for", at)
	case e.Kind == membership.ExtensionReceived && e.ExtensionKind == ExtensionKind:
		f.mixes[at].Receive(e.Member, e.Body)
	case e.Kind == membership.StateChanged && e.NewState == membership.Dead && f.members.Members[e.Member].Up:
		f.deaths++
	}
	return nil
}

func (f *mixedFleet) run(duration time.Duration) {
	f.t.Helper()
	if err := f.members.Run(duration); err != nil {
		f.t.Fatal(err)
	}
}

// In a fleet of which half sends versions and half does not know them, load reports of both arrive, the crash of a member is
// detected by all, no other is declared dead, and each new member learns the versions of all new ones.
func TestMixAlongsideMembersWithoutIt(t *testing.T) {
	const members = 20
	f := newMixedFleet(t, members)
	f.run(10 * time.Second)
	f.digests[0].Record(f.members.Now, 1, 5) // an old member measures one engine, and a new one another
	f.digests[1].Record(f.members.Now, 2, 6)
	f.run(3 * time.Second)
	for i, d := range f.digests {
		if a, ok := d.Latest(f.members.Now, 1); !ok || a.Load != 5 {
			t.Errorf("member %d does not know what an old one reported: %+v", i, a)
		}
		if b, ok := d.Latest(f.members.Now, 2); !ok || b.Load != 6 {
			t.Errorf("member %d does not know what a new one reported: %+v", i, b)
		}
	}
	f.members.Kill(4)
	f.run(90 * time.Second)
	if ok, why := f.members.ViewsAgree(); !ok || f.deaths > 0 {
		t.Errorf("%s; %d false deaths", why, f.deaths)
	}
	for i, m := range f.mixes {
		versions := 0
		for _, c := range m.Counts(i, func(int) bool { return true }) {
			versions += c.Members
		}
		if versions != members/2 {
			t.Errorf("member %d knows the versions of %d, %d send theirs", i, versions, members/2)
		}
	}
}
