package membership

import (
	"testing"
	"time"

	"frostpier/internal/control/membership/membershippb"
)

// A member whose Tick is late after a pause suspects nobody: the answers may still wait in its socket.
func TestOwnPauseRaisesNoSuspicion(t *testing.T) {
	n := newNode(t, 0, 5)
	now := n.NextTick()
	n.Tick(now) // sends a probe
	n.Tick(now + 30*time.Second)
	if n.Counts().Suspected > 0 || n.Counts().Late != 1 || n.HealthScore() == 0 {
		t.Fatalf("counts %+v, health %d", n.Counts(), n.HealthScore())
	}
}

// Guards against a suspect declared dead without a ping: a member that had missed a refutation extended the suspicion while
// its own health score was bad, and declared the suspect dead as soon as the score recovered. Seen once in 100
// process-hours with pauses.
func TestRecoveredHealthDeclaresNoUnpingedSuspectDead(t *testing.T) {
	n := newNode(t, 0, 5)
	n.deliverUpdate(t, 3, Suspect, startIncarnation, 1)
	n.healthScore = maxHealthScore
	now := epoch + time.Second
	pings := 0
	for end := now + 18*time.Second; now < end; now += 20 * time.Millisecond {
		if now > epoch+17*time.Second {
			n.healthScore = 0
		}
		n.Tick(now)
		if now > epoch+16*time.Second {
			pings += n.datagramsTo(3)
		}
		if s, _ := n.Member(3); s == Dead && pings < 5 {
			t.Fatalf("declared dead after %v and %d pings", now-epoch, pings)
		}
	}
}

// Guards against updates from beyond a partition that has healed: a member reported dead without a suspicion is pinged for an
// interval before it is declared dead. Half of 100 processes declared eight of their own partition dead after a split.
func TestReportedDeathIsVerified(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers bool
		want    State
	}{
		{"refuted", true, Alive},
		{"no answer", false, Dead},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t, 0, 5)
			n.deliver(t, 1, datagramFrom(n, 1, nil))
			n.deliver(t, 3, datagramFrom(n, 3, nil))
			n.deliverUpdate(t, 3, Dead, startIncarnation, 1)
			if s, _ := n.Member(3); s != Suspect {
				t.Fatalf("member 3 is %v at once", s)
			}
			pings := 0
			for now := epoch + time.Second; now < epoch+4*time.Second; now += 20 * time.Millisecond {
				n.Tick(now)
				pings += n.datagramsTo(3)
				if pings > 0 && c.answers {
					n.Receive(now, n.cfg.Peers[3], datagramFrom(n, 3, func(d *membershippb.Datagram) { d.Incarnation++ }))
				}
			}
			if s, _ := n.Member(3); pings == 0 || s != c.want {
				t.Errorf("%v after %d pings, want %v", s, pings, c.want)
			}
		})
	}
}

// However many members are reported dead at once, the rate of the pings that verify it is bounded, each suspect is pinged,
// and a repeated report declares none of them dead without a ping.
func TestPingsOfSuspectsAreBounded(t *testing.T) {
	const peers, gone = 200, 150
	n := newNode(t, 0, peers)
	reportAll := func() {
		for i := 2; i < 2+gone; i++ {
			n.deliverUpdate(t, i, Dead, startIncarnation, 1)
		}
	}
	reportAll()
	reportAll()
	if n.NumInService() != peers {
		t.Fatalf("%d of %d in service: a death reported twice was not verified", n.NumInService(), peers)
	}
	pinged, pings := map[int]bool{}, 0
	const span = 10 * time.Second
	pingInterval := n.cfg.intervals(suspectPingShare)
	for now := epoch + time.Second; now < epoch+time.Second+span; now = max(now+time.Millisecond, n.NextTick()) {
		n.Tick(now)
		for _, d := range n.Datagrams() {
			if d.To >= 2 && d.To < 2+gone && n.nextSuspectPingAt == now+pingInterval/suspectPingsPerRound {
				pinged[d.To] = true
				pings++
			}
		}
		if err := n.CheckInvariants(); err != nil {
			t.Fatal(err)
		}
	}
	limit := int(float64(suspectPingsPerRound)*float64(span)/float64(pingInterval)) + 1
	if pings > 2*limit { // twice, for other datagrams to suspects in the same Tick
		t.Errorf("%d pings of suspects in %v, limit %d", pings, span, 2*limit)
	}
	if len(pinged) < gone {
		t.Errorf("%d of %d suspects were pinged", len(pinged), gone)
	}
}
