package zonetable

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sevenZones are those of the model's fleet.
var sevenZones = []string{"a", "b", "c", "d", "e", "f", "g"}

// How soon a gateway knows the zones: 800 gateways, four datagrams a second each to others drawn by chance, a fiftieth lost.
func TestZonesSpread(t *testing.T) {
	const gateways, datagrams, step = 800, 4, 50 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	started := make([]time.Duration, gateways)
	var all []*Table
	for i := range gateways {
		started[i] = epoch
		table := New(i, gateways, sevenZones, i%len(sevenZones), func(member int) time.Duration { return started[member] })
		table.SetOn(true)
		all = append(all, table)
	}
	known := func(table *Table) (n int) { // rightly: a wrong zone is an error
		for i := range gateways {
			switch zone := table.Zone(i); {
			case zone == i%len(sevenZones):
				n++
			case zone >= 0:
				t.Fatalf("gateway %d holds that %d is in zone %d", table.number, i, zone)
			}
		}
		return n
	}
	now, bytes := epoch, 0
	run := func(span time.Duration) {
		for end := now + span; now < end; now += step {
			for i, table := range all {
				to := rnd.IntN(gateways)
				if rnd.Float64() > datagrams*step.Seconds() || to == i {
					continue
				}
				body := table.Append(now, to, 200, nil)
				bytes += len(body)
				if rnd.IntN(50) > 0 {
					all[to].Receive(i, body)
				}
			}
		}
	}
	run(12 * time.Second)
	least := gateways
	for _, table := range all {
		least = min(least, known(table))
	}
	t.Logf("12 s after the start of all, a gateway knows %d of %d zones at the least", least, gateways)
	if least < gateways*99/100 {
		t.Errorf("%d zones known", least)
	}
	now = epoch + startupPeriod + time.Second
	bytes, started[7] = 0, now
	all[7] = New(7, gateways, sevenZones, 0, func(member int) time.Duration { return started[member] })
	all[7].SetOn(true)
	run(4 * time.Second)
	t.Logf("4 s after its start one gateway knows %d; %d bytes a gateway and second", known(all[7]), bytes/gateways/4)
	if known(all[7]) < gateways*9/10 || bytes/gateways/4 > 64 {
		t.Errorf("%d zones known, %d bytes a gateway and second", known(all[7]), bytes/gateways/4)
	}
}
