// Package simulation runs a fleet of membership nodes on a virtual clock and a virtual network, with faults: tests and the
// experiment tool simulate minutes of a thousand members within seconds.
//
// The package owns the clock, the network and the faults of a run. It opens no socket and reads no real clock. A Fleet runs
// on the goroutine of its caller and is not safe for concurrent use; several may run at once. Every random draw comes from
// Setup.Seed, so a run that fails replays identically.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"frostpier/internal/control/membership"
)

// Epoch is the virtual time at which every run starts, since the Unix epoch.
const Epoch = 1_800_000_000 * time.Second

// The delays of a datagram where Setup has none: those between peers in the site's settings.
const (
	minDefaultDelay = 1300 * time.Microsecond
	maxDefaultDelay = 38 * time.Millisecond
)

// leaveGrace is the time from a member's Leave until its process ends.
const leaveGrace = time.Second

// Setup holds the parameters of a run.
type Setup struct {
	Members       int
	Seed          uint64
	Interval      time.Duration // protocol period; 0 = the default of membership
	Loss          float64       // share of the datagrams that are lost
	Duplication   float64       // share of the datagrams that are duplicated
	DelayMin      time.Duration // of a datagram; delays are uniform between the two, so datagrams are reordered
	DelayMax      time.Duration // 0 = default delays
	StartSpread   time.Duration // after Epoch, within which the members start
	NewDetector   func(cfg membership.Config) (Detector, error)
	StepsPerCheck int // steps between two checks of a node's invariants; 0 = every step
}

// Member is one simulated process.
type Member struct {
	Node      Detector
	Up        bool
	UpSince   time.Duration // when it last started or resumed
	ClockSkew time.Duration // of its clock
	paused    bool
	buffered  []arrival     // received during a pause
	timerAt   time.Duration // of its next Tick
	starts    int           // starts and ends so far, to recognize events of a former process
	lastNow   time.Duration // of its clock, which never decreases
}

// Fleet is a run.
type Fleet struct {
	Setup
	Members []Member
	Now     time.Duration // virtual time since the Unix epoch
	Steps   int           // calls of the nodes so far
	// Seen, if set, is called for every event of a member. An error ends the run.
	OnEvent func(at int, e membership.Event) error
	// Cut, if set, reports whether datagrams between two members are dropped, in this direction.
	Drops           func(from, to int) bool
	Sent, SentBytes []int // datagrams and bytes sent, by member
	addrs           []netip.AddrPort
	rnd             *rand.Rand
	queue           eventQueue
	lastSequence    uint64 // of the events
	freeBuffers     [][]byte
	err             error // that ended the run
}

// New returns a fleet whose members start within Setup.Spread. An error of Setup.Make is returned by Run.
func New(s Setup) (*Fleet, error) {
	if s.NewDetector == nil {
		s.NewDetector = func(cfg membership.Config) (Detector, error) { return membership.New(cfg) }
	}
	if s.DelayMax == 0 {
		s.DelayMin, s.DelayMax = minDefaultDelay, maxDefaultDelay
	}
	f := &Fleet{
		Setup:     s,
		Members:   make([]Member, s.Members),
		Now:       Epoch,
		Sent:      make([]int, s.Members),
		SentBytes: make([]int, s.Members),
		rnd:       rand.New(rand.NewPCG(s.Seed, 77)),
	}
	for i := range f.Members {
		f.addrs = append(f.addrs, address(i))
	}
	for i := range f.Members {
		at := time.Duration(0)
		if s.StartSpread > 0 {
			at = time.Duration(f.rnd.Int64N(int64(s.StartSpread)))
		}
		f.After(at, func() { f.Start(i, 0) })
	}
	return f, nil
}

// address returns the virtual address of a member.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)}), 7946)
}

// Start starts a member without stored state, its clock off by skew.
func (f *Fleet) Start(i int, skew time.Duration) {
	m := &f.Members[i]
	m.starts++
	node, err := f.NewDetector(membership.Config{Self: i, Peers: f.addrs, Fleet: "virtual", Interval: f.Interval,
		Seed: f.Seed*1_000_003 + uint64(i)*101 + uint64(m.starts)})
	if err != nil {
		f.err = err
		return
	}
	*m = Member{Node: node, Up: true, UpSince: f.Now, ClockSkew: skew, starts: m.starts}
	f.step(i, node.Start)
}

// Kill ends a member at once.
func (f *Fleet) Kill(i int) {
	m := &f.Members[i]
	m.Up, m.paused, m.buffered = false, false, nil
	m.starts++
}

// Leave has a member leave, and ends it a second later.
func (f *Fleet) Leave(i int) {
	m := &f.Members[i]
	f.step(i, func(now time.Duration) { m.Node.Leave(now) })
	starts := m.starts
	f.After(leaveGrace, func() {
		if m.starts == starts {
			f.Kill(i)
		}
	})
}

// Pause stops a member for a time. The datagrams that arrive meanwhile wait in its socket.
func (f *Fleet) Pause(i int, d time.Duration) {
	m := &f.Members[i]
	if !m.Up || m.paused {
		return
	}
	m.paused = true
	starts := m.starts
	f.After(d, func() {
		if m.starts == starts {
			f.resume(i)
		}
	})
}

// resume ends a pause: the member handles what waits in its socket and its timer, in either order.
func (f *Fleet) resume(i int) {
	m := &f.Members[i]
	m.paused, m.UpSince = false, f.Now
	buffered := m.buffered
	m.buffered = nil
	if f.rnd.IntN(2) == 0 && m.Node.NextTick() <= f.Now+m.ClockSkew {
		f.step(i, m.Node.Tick)
	}
	for _, datagram := range buffered {
		f.deliver(i, datagram.from, datagram.b)
	}
	f.step(i, m.Node.Tick)
}

// step makes a call of a member's node, if it is up, and then does what the node wants: checks, events, datagrams, timer.
func (f *Fleet) step(i int, call func(now time.Duration)) {
	m := &f.Members[i]
	if !m.Up || f.err != nil {
		return
	}
	now := max(f.Now+m.ClockSkew, m.lastNow)
	m.lastNow = now
	call(now)
	f.Steps++
	if f.StepsPerCheck == 0 || f.Steps%f.StepsPerCheck == 0 {
		f.fail(i, m.Node.CheckInvariants())
	}
	for _, e := range m.Node.Events() {
		if f.OnEvent != nil && f.err == nil {
			f.fail(i, f.OnEvent(i, e))
		}
	}
	for _, d := range m.Node.Datagrams() {
		f.transmit(i, d)
	}
	if next := m.Node.NextTick() - m.ClockSkew; m.timerAt <= f.Now || next < m.timerAt {
		f.setTimer(i, max(next, f.Now))
	}
}

// fail ends the run with an error of a member, if there is one.
func (f *Fleet) fail(member int, err error) {
	if err != nil {
		f.err = fmt.Errorf("seed %d, %v, member %d: %w", f.Seed, f.Now-Epoch, member, err)
	}
}

// ViewsAgree reports whether in the view of every member that is up exactly those that are up are in service; if not, it
// describes a difference.
func (f *Fleet) ViewsAgree() (bool, string) {
	for viewer := range f.Members {
		if !f.Members[viewer].Up || f.Members[viewer].paused {
			continue
		}
		for i := range f.Members {
			s, _ := f.Members[viewer].Node.Member(i)
			if s.InService() != f.Members[i].Up {
				return false, fmt.Sprintf("at member %d: member %d is %v, up: %v", viewer, i, s, f.Members[i].Up)
			}
		}
	}
	return true, ""
}
