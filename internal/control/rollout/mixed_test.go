package rollout

import (
	"testing"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/membership/simulation"
)

// Half of a fleet tells versions and half, of the program before, knows nothing of them: both sides' datagrams and shared
// reports pass, a kill is told to all, nobody is declared dead for it, and each new one knows the versions of all new ones.
func TestOldAndNewSideBySide(t *testing.T) {
	const members = 20
	mixes, digests := map[int]*Mix{}, map[int]*loadreport.Digest{}
	f, err := simulation.New(simulation.Setup{Members: members, Seed: 5, Loss: 0.1, Spread: time.Second, Every: 10,
		Make: func(cfg membership.Config) (simulation.Detector, error) {
			d := loadreport.New()
			d.SetEngines([]uint64{1, 2, 3})
			digests[cfg.Self], cfg.ExtensionInterval = d, 300*time.Millisecond
			cfg.Extensions = append(cfg.Extensions, d)
			if cfg.Self%2 == 1 {
				mixes[cfg.Self] = NewMix(members, ID{uint64(7+cfg.Self%3) << 32, 1 << 32})
				cfg.Extensions = append(cfg.Extensions, mixes[cfg.Self])
			}
			return membership.New(cfg)
		}})
	if err != nil {
		t.Fatal(err)
	}
	deaths := 0
	f.Seen = func(at int, e membership.Event) error {
		switch {
		case e.Kind == membership.ExtensionReceived && e.ExtensionKind == loadreport.ExtensionKind:
			digests[at].Receive(f.Now, e.Body)
		case e.Kind == membership.ExtensionReceived && e.ExtensionKind == ExtensionKind && mixes[at] == nil:
			t.Errorf("member %d got what it has no extension for", at)
		case e.Kind == membership.ExtensionReceived && e.ExtensionKind == ExtensionKind:
			mixes[at].Receive(e.Member, e.Body)
		case e.Kind == membership.Changed && e.Is == membership.Dead && f.Members[e.Member].Up:
			deaths++
		}
		return nil
	}
	if err := f.Run(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	digests[0].Record(f.Now, 1, 5) // an old one learns of an engine, and a new one of another
	digests[1].Record(f.Now, 2, 6)
	if err := f.Run(3 * time.Second); err != nil {
		t.Fatal(err)
	}
	for i, d := range digests {
		if a, ok := d.Latest(f.Now, 1); !ok || a.Load != 5 {
			t.Errorf("member %d does not know what an old one told: %+v", i, a)
		}
		if b, ok := d.Latest(f.Now, 2); !ok || b.Load != 6 {
			t.Errorf("member %d does not know what a new one told: %+v", i, b)
		}
	}
	f.Kill(4)
	if err := f.Run(90 * time.Second); err != nil {
		t.Fatal(err)
	}
	if ok, why := f.Agreed(); !ok || deaths > 0 {
		t.Errorf("%s; %d false deaths", why, deaths)
	}
	for i, m := range mixes {
		told := 0
		for _, c := range m.Counts(i, func(int) bool { return true }) {
			told += c.Members
		}
		if told != members/2 {
			t.Errorf("member %d knows the versions of %d, %d tell theirs", i, told, members/2)
		}
	}
}
