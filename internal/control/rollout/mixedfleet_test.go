package rollout

import (
	"testing"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
)

// mixedFleet simulates a fleet in which members with an odd number run a VersionTracker. The others run an earlier program without
// that extension.
type mixedFleet struct {
	t           *testing.T
	members     *simulation.Fleet
	trackers    map[int]*VersionTracker
	digests     map[int]*loadreport.Digest
	falseDeaths int // members that were declared dead while they ran
}

func newMixedFleet(t *testing.T, members int) *mixedFleet {
	t.Helper()
	f := &mixedFleet{t: t, trackers: map[int]*VersionTracker{}, digests: map[int]*loadreport.Digest{}}
	var err error
	f.members, err = simulation.New(simulation.Setup{Members: members, Seed: 5, Loss: 0.1, StartSpread: time.Second, StepsPerCheck: 10,
		NewDetector: func(cfg membership.Config) (simulation.Detector, error) {
			d := loadreport.New()
			d.SetEngines([]uint64{1, 2, 3})
			f.digests[cfg.Self], cfg.ExtensionInterval = d, 300*time.Millisecond
			cfg.Extensions = append(cfg.Extensions, d)
			if cfg.Self%2 == 1 {
				f.trackers[cfg.Self] = NewVersionTracker(members, VersionID{uint64(7+cfg.Self%3) << 32, 1 << 32})
				cfg.Extensions = append(cfg.Extensions, f.trackers[cfg.Self])
			}
			return membership.New(cfg)
		}})
	if err != nil {
		t.Fatal(err)
	}
	f.members.OnEvent = f.handleEvent
	return f
}

// handleEvent delivers extension messages to the receiving member's extensions, and counts members falsely declared dead.
func (f *mixedFleet) handleEvent(at int, e membership.Event) error {
	switch {
	case e.Kind == membership.ExtensionReceived && e.ExtensionKind == loadreport.ExtensionKind:
		f.digests[at].Receive(f.members.Now, e.Body)
	case e.Kind == membership.ExtensionReceived && e.ExtensionKind == ExtensionKind && f.trackers[at] == nil:
		f.t.Errorf("member %d received a message of an extension that it does not have", at)
	case e.Kind == membership.ExtensionReceived && e.ExtensionKind == ExtensionKind:
		f.trackers[at].Receive(e.Member, e.Body)
	case e.Kind == membership.StateChanged && e.NewState == membership.Dead && f.members.Members[e.Member].Up:
		f.falseDeaths++
	}
	return nil
}

func (f *mixedFleet) run(duration time.Duration) {
	f.t.Helper()
	if err := f.members.Run(duration); err != nil {
		f.t.Fatal(err)
	}
}

// TestVersionTrackerInMixedFleet checks a fleet in which only half of the members run a VersionTracker: load reports of both halves
// reach all members, all detect a member's crash and no false one, and each tracker learns the versions of its half.
func TestVersionTrackerInMixedFleet(t *testing.T) {
	const members = 20
	f := newMixedFleet(t, members)
	f.run(10 * time.Second)
	f.digests[0].Record(f.members.Now, 1, 5) // member 0, without a tracker, knows a report on engine 1
	f.digests[1].Record(f.members.Now, 2, 6) // member 1, with a tracker, knows a report on engine 2
	f.run(3 * time.Second)
	for i, d := range f.digests {
		if a, ok := d.Latest(f.members.Now, 1); !ok || a.Load != 5 {
			t.Errorf("member %d lacks the load report of a member without a tracker: %+v", i, a)
		}
		if b, ok := d.Latest(f.members.Now, 2); !ok || b.Load != 6 {
			t.Errorf("member %d lacks the load report of a member with a tracker: %+v", i, b)
		}
	}
	f.members.Kill(4)
	f.run(90 * time.Second)
	if agreed, difference := f.members.ViewsAgree(); !agreed || f.falseDeaths > 0 {
		t.Errorf("difference between the views: %q, want none; %d members falsely declared dead, want none", difference, f.falseDeaths)
	}
	for i, tracker := range f.trackers {
		versions := 0
		for _, c := range tracker.Counts(i, func(int) bool { return true }) {
			versions += c.Members
		}
		if versions != members/2 {
			t.Errorf("member %d knows the versions of %d members, want %d", i, versions, members/2)
		}
	}
}
