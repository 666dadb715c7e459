package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"frostpier/internal/testbed/testfleet"
)

// The tests run a fleet of twelve processes, and cause faults of processes and of the network. The probe interval is the default of 2 s,
// with which a gateway that pauses for 2 s must not be declared dead. The tests wait for events in the gateways' logs, with timeouts of
// several times the expected time.
const (
	fleetSize     = 12
	detectTimeout = 60 * time.Second // a kill is detected within about 9 s at worst
	healTimeout   = 90 * time.Second
)

// testFleet is a fleet whose processes end with the test. stateMark is the position up to which the test has read the logged state
// changes.
type testFleet struct {
	*testfleet.Fleet
	t         *testing.T
	stateMark int
}

// startFleet starts a fleet with default options.
func startFleet(t *testing.T, seed uint64) *testFleet {
	t.Helper()
	return startFleetWith(t, testfleet.Options{Gateways: fleetSize, Seed: seed})
}

// startFleetWith starts a fleet of processes of this test binary, and waits until all gateways agree on the members. At the end of the test
// it checks the logs, and the size and source of the datagrams.
func startFleetWith(t *testing.T, opt testfleet.Options) *testFleet {
	t.Helper()
	opt.Dir, opt.Command, opt.Env = t.TempDir(), []string{os.Args[0]}, []string{envAsProgram + "=1"}
	opt.Link = testfleet.Link{DelayMin: time.Millisecond, DelayMax: 38 * time.Millisecond}
	f, err := testfleet.New(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
		if a := f.Alarms(); len(a) > 0 {
			t.Errorf("alarms in the logs: %v", a)
		}
		if longest, foreign := f.Relay.DatagramStats(); longest > 256 || foreign > 0 {
			t.Errorf("longest datagram: %d bytes; datagrams from other sources: %d", longest, foreign)
		}
	})
	out := &testFleet{Fleet: f, t: t}
	out.must(f.StartAll())
	out.waitConverged("at the start", detectTimeout)
	// Ignore the state changes so far: on a slow machine, gateways that start late are correctly declared dead before.
	_, out.stateMark = f.StateChanges(0)
	return out
}

// must ends the test on an error.
func (f *testFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// waitConverged waits until every gateway's view of the fleet is correct.
func (f *testFleet) waitConverged(when string, timeout time.Duration) {
	f.t.Helper()
	if err := f.Wait(timeout, f.CheckConverged); err != nil {
		f.t.Fatalf("%s: %v", when, err)
	}
}

// newDeaths returns, by member, how many gateways have declared it dead since the last call.
func (f *testFleet) newDeaths() map[int]int {
	changes, mark := f.StateChanges(f.stateMark)
	f.stateMark = mark
	deaths := map[int]int{}
	for _, change := range changes {
		if change.State == "dead" {
			deaths[change.Member]++
		}
	}
	return deaths
}

// wantNoDeaths checks that no member was declared dead, apart from the listed ones.
func (f *testFleet) wantNoDeaths(when string, except ...int) {
	f.t.Helper()
	deaths := f.newDeaths()
	for _, i := range except {
		delete(deaths, i)
	}
	if len(deaths) > 0 {
		f.t.Errorf("%s: falsely declared dead: %v", when, deaths)
	}
}

// waitMemberState waits until all other gateways see the member in this state.
func (f *testFleet) waitMemberState(when string, member int, state string) {
	f.t.Helper()
	err := f.Wait(detectTimeout, func() error {
		for v := range f.Size() {
			if v != member && f.Running(v) && f.MemberState(v, member) != state {
				return fmt.Errorf("gateway %d sees gateway %d as %s, want %s", v, member, f.MemberState(v, member), state)
			}
		}
		return nil
	})
	if err != nil {
		f.t.Fatalf("%s: %v", when, err)
	}
}

// TestFleetDetectsKills checks that killed gateways, one alone and then a third of the fleet, are declared dead everywhere and are seen as
// alive after their restart. A gateway that restarts before it is declared dead must not be declared dead.
func TestFleetDetectsKills(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	f.must(f.Kill(3))
	f.waitConverged("one killed", detectTimeout)
	f.wantNoDeaths("one killed", 3)
	f.must(f.StartAll())
	f.waitConverged("restarted", healTimeout)

	f.must(f.Kill(7))
	time.Sleep(3 * time.Second)
	f.must(f.StartAll())
	time.Sleep(8 * time.Second) // by now its previous incarnation would have been declared dead
	f.waitConverged("restarted after 3 s", healTimeout)

	third := []int{0, 4, 8, 11}
	for _, i := range third {
		f.must(f.Kill(i))
	}
	f.waitConverged("a third killed", detectTimeout)
	f.wantNoDeaths("a third killed", append(third, 7)...)
	f.must(f.StartAll())
	f.waitConverged("the third restarted", healTimeout)
}

// TestFleetToleratesPauses checks that pauses of 0.5 to 2 s, of one gateway after another, do not lead to a declared death. A long pause
// does, and the gateway is seen as alive everywhere after it.
func TestFleetToleratesPauses(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	for k, pause := range []time.Duration{500, 2000, 1000, 1500, 2000, 700, 1800, 2000} {
		i := (k * 5) % fleetSize
		f.must(f.Pause(i))
		time.Sleep(pause * time.Millisecond)
		f.must(f.Resume(i))
	}
	f.waitConverged("after the pauses", healTimeout)
	f.wantNoDeaths("pauses of up to 2 s")

	f.must(f.Pause(6))
	f.waitMemberState("a long pause", 6, "dead")
	f.must(f.Resume(6))
	f.waitConverged("after the long pause", healTimeout)
	f.wantNoDeaths("a long pause", 6)
}

// TestFleetToleratesLossAndRestarts checks that packet loss with duplicates and reordering, and a link that is cut in one direction, do
// not lead to a declared death. Gateways that are restarted with SIGTERM must be seen as left, not as dead.
func TestFleetToleratesLossAndRestarts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	f.Relay.SetDefaultLink(testfleet.Link{Loss: 0.2, Duplicate: 0.1, DelayMin: time.Millisecond, DelayMax: 120 * time.Millisecond})
	time.Sleep(15 * time.Second)
	f.waitConverged("20% loss", healTimeout)
	f.wantNoDeaths("20% loss")
	f.Relay.SetDefaultLink(testfleet.Link{DelayMin: time.Millisecond, DelayMax: 38 * time.Millisecond})

	f.Relay.SetLink(1, 0, testfleet.Link{Cut: true})
	time.Sleep(15 * time.Second)
	f.waitConverged("link from 1 to 0 cut", healTimeout)
	f.wantNoDeaths("link from 1 to 0 cut")
	f.Relay.Heal()

	for i := 0; i < fleetSize; i += 3 {
		f.must(f.Terminate(i))
		f.waitMemberState("after SIGTERM", i, "left")
		f.must(f.StartAll())
	}
	f.waitConverged("after the restarts", healTimeout)
	f.wantNoDeaths("restarts by SIGTERM")
}

// TestFleetRecoversFromPartitions checks that a gateway that cannot receive and one that cannot send are declared dead, and that the other
// gateways declare no other member dead. After a partition of the fleet into two halves, all views must become correct again.
func TestFleetRecoversFromPartitions(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4)
	f.Relay.DropInbound(2, true)
	f.waitMemberState("inbound dropped", 2, "dead")
	f.Relay.Heal()
	f.waitConverged("inbound restored", healTimeout)
	f.Relay.DropOutbound(9, true)
	f.waitMemberState("outbound dropped", 9, "dead")
	f.Relay.Heal()
	f.waitConverged("outbound restored", healTimeout)
	changes, mark := f.StateChanges(f.stateMark)
	f.stateMark = mark
	for _, change := range changes { // gateways 2 and 9 may declare members dead that they cannot reach
		if change.State == "dead" && change.Member != 2 && change.Member != 9 && change.Viewer != 2 && change.Viewer != 9 {
			t.Errorf("gateway %d declared gateway %d dead", change.Viewer, change.Member)
		}
	}

	for i := range fleetSize {
		f.Relay.SetPartitionSide(i, i%2)
	}
	time.Sleep(10 * time.Second)
	f.Relay.Heal()
	f.waitConverged("after the partition", healTimeout)
}
