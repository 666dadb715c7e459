package zonetable

import (
	"math/rand/v2"
	"testing"
	"time"
)

// modelZones are the zones of the simulated fleet.
var modelZones = []string{"a", "b", "c", "d", "e", "f", "g"}

// How soon a gateway knows the zones: 800 gateways, each with four datagrams a second to random others, 2% of them lost.
func TestZonesSpread(t *testing.T) {
	const gateways, datagrams, step = 800, 4, 50 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	started := make([]time.Duration, gateways)
	var tables []*Table
	for i := range gateways {
		started[i] = epoch
		table := New(i, gateways, modelZones, i%len(modelZones), func(member int) time.Duration { return started[member] })
		table.SetUsesSubset(true)
		tables = append(tables, table)
	}
	known := func(table *Table) (count int) { // a wrong zone fails the test
		for i := range gateways {
			switch zone := table.Zone(i); {
			case zone == i%len(modelZones):
				count++
			case zone >= 0:
				t.Fatalf("at gateway %d: gateway %d in zone %d", table.self, i, zone)
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
		fewest = min(fewest, known(table))
	}
	t.Logf("12 s after the start of all, each gateway knows at least %d of %d zones", fewest, gateways)
	if fewest < gateways*99/100 {
		t.Errorf("%d zones known", fewest)
	}
	now = epoch + startupPeriod + time.Second
	bytes, started[7] = 0, now
	tables[7] = New(7, gateways, modelZones, 0, func(member int) time.Duration { return started[member] })
	tables[7].SetUsesSubset(true)
	run(4 * time.Second)
	t.Logf("4 s after its start a gateway knows %d; %d bytes per gateway and second", known(tables[7]), bytes/gateways/4)
	if known(tables[7]) < gateways*9/10 || bytes/gateways/4 > 64 {
		t.Errorf("%d zones known, %d bytes per gateway and second", known(tables[7]), bytes/gateways/4)
	}
}
