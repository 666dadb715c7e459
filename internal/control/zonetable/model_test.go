package zonetable

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simZones are the zones of the simulated fleet.
var simZones = []string{"a", "b", "c", "d", "e", "f", "g"}

// Checks that in a fleet of 800 gateways nearly all zones are known within 12 s of the start, and within 4 s of a restart of one
// gateway, at a low byte rate. Each gateway sends four datagrams per second to random gateways, and 2% of the datagrams are lost.
func TestZoneDissemination(t *testing.T) {
	const gateways, datagrams, step = 800, 4, 50 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	started := make([]time.Duration, gateways)
	var tables []*Table
	for i := range gateways {
		started[i] = epoch
		table := New(i, gateways, simZones, i%len(simZones), func(member int) time.Duration { return started[member] })
		table.SetUsesSubset(true)
		tables = append(tables, table)
	}
	countKnown := func(table *Table) (count int) { // fails the test if a zone is wrong
		for i := range gateways {
			switch zone := table.Zone(i); {
			case zone == i%len(simZones):
				count++
			case zone >= 0:
				t.Fatalf("gateway %d has zone %d for gateway %d, want %d", table.self, zone, i, i%len(simZones))
			}
		}
		return count
	}
	now, bytes := epoch, 0
	run := func(span time.Duration) {
		for end := now + span; now < end; now += step {
			for i, table := range tables {
				to := rnd.IntN(gateways)
				if rnd.Float64() > datagrams*step.Seconds() || to == i {
					continue
				}
				body := table.Append(now, to, 200, nil)
				bytes += len(body)
				if rnd.IntN(50) > 0 {
					tables[to].Receive(i, body)
				}
			}
		}
	}
	run(12 * time.Second)
	fewest := gateways
	for _, table := range tables {
		fewest = min(fewest, countKnown(table))
	}
	t.Logf("12 s after all gateways started, each knows the zones of at least %d of %d gateways", fewest, gateways)
	if fewest < gateways*99/100 {
		t.Errorf("a gateway knows the zones of only %d gateways, want at least 99%% of %d", fewest, gateways)
	}
	now = epoch + startupPeriod + time.Second
	bytes, started[7] = 0, now
	tables[7] = New(7, gateways, simZones, 0, func(member int) time.Duration { return started[member] })
	tables[7].SetUsesSubset(true)
	run(4 * time.Second)
	t.Logf("4 s after its restart, a gateway knows the zones of %d gateways; each gateway sends %d B/s", countKnown(tables[7]), bytes/gateways/4)
	if countKnown(tables[7]) < gateways*9/10 || bytes/gateways/4 > 64 {
		t.Errorf("after its restart, a gateway knows the zones of %d gateways, want at least 90%%; %d B/s per gateway, want at most 64",
			countKnown(tables[7]), bytes/gateways/4)
	}
}
