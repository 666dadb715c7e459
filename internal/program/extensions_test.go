package program

import (
	"net/netip"
	"testing"
	"time"

	"frostpier/internal/control/loadreport"
	"frostpier/internal/control/membership"
	"frostpier/internal/control/rollout"
)

// Load reports must leave space for the version in the datagrams even if there are enough engines to fill each datagram with
// load reports. Otherwise no gateway would know which versions run in the fleet.
func TestLoadReportsLeaveSpaceForVersions(t *testing.T) {
	const engines = 200
	now := 1_800_000_000 * time.Second
	digest := loadreport.New()
	var numbers []uint64
	for i := range uint64(engines) {
		numbers = append(numbers, i+1)
	}
	digest.SetEngines(numbers)
	for _, number := range numbers {
		digest.Record(now, number, 3)
	}
	versions := rollout.NewVersionTracker(2, rollout.VersionID{Program: 1 << 40, Settings: 1 << 41})
	p := &program{loadReports: digest, reporter: &versionReporter{versions: versions}}
	peers := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9"), netip.MustParseAddrPort("127.0.0.2:9")}
	node := func(self int) *membership.Node {
		n, err := membership.New(membership.Config{Self: self, Peers: peers, Fleet: "f", Seed: 1, Extensions: p.extensions(),
			ExtensionInterval: loadreport.Interval})
		if err != nil {
			t.Fatal(err)
		}
		n.Start(now)
		return n
	}
	sender, receiver := node(0), node(1)
	received := map[uint32]int{}
	for range 20 {
		for _, datagram := range sender.Datagrams() {
			receiver.Receive(now, peers[0], datagram.Bytes)
		}
		for _, event := range receiver.Events() {
			if event.Kind == membership.ExtensionReceived {
				received[event.ExtensionKind]++
			}
		}
		now = sender.NextTick()
		sender.Tick(now)
	}
	if received[rollout.ExtensionKind] == 0 || received[loadreport.ExtensionKind] == 0 {
		t.Errorf("extension messages received, by kind: %v, want both kinds", received)
	}
}
