// Package simulation is a discrete-event simulation of a fleet of membership nodes, with a virtual clock, a virtual network
// and injected faults. It simulates minutes of a thousand members within seconds, for tests and the tool fleettest.
//
// The package opens no socket and reads no real clock. A Fleet runs on its caller's goroutine and is not safe for concurrent
// use, but several Fleets may run concurrently. Every random draw comes from Setup.Seed, so a failed run can be replayed
// identically.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"frostpier/internal/control/membership"
)

// Epoch is the virtual time, since the Unix epoch, at which every run starts.
const Epoch = 1_800_000_000 * time.Second

// Default bounds of the network delay: the delays between peers in the site's settings.
const (
	minDefaultDelay = 1300 * time.Microsecond
	maxDefaultDelay = 38 * time.Millisecond
)

// leaveGrace is the time from a member's Leave until its process exits.
const leaveGrace = time.Second

// Setup holds the parameters of a run.
type Setup struct {
	Members     int
	Seed        uint64
	Interval    time.Duration // protocol period; 0 = membership.DefaultInterval
	Loss        float64       // probability that a datagram is lost
	Duplication float64       // probability that a datagram is duplicated
	DelayMin    time.Duration // lower bound of the network delay, which is uniformly distributed; datagrams may be reordered
	DelayMax    time.Duration // upper bound of the network delay; 0 = the default bounds
	StartSpread time.Duration // the members start at random times within this time after Epoch
	// NewDetector returns the failure detector of a member; nil = membership.New.
	NewDetector   func(cfg membership.Config) (Detector, error)
	StepsPerCheck int // a node's invariants are checked once per this number of Fleet.Steps; 0 = at every step
}

// Member is a simulated process.
type Member struct {
	Node       Detector
	Up         bool
	UpSince    time.Duration // when it last started or resumed after a pause
	ClockSkew  time.Duration // offset of its clock from Fleet.Now
	paused     bool
	buffered   []bufferedDatagram // datagrams received during a pause
	timerAt    time.Duration      // virtual time of the next Tick
	generation int                // number of starts and kills, to ignore events for a former process
	lastNow    time.Duration      // last reading of its clock, which never decreases
}

// Fleet is a simulated fleet.
type Fleet struct {
	Setup
	Members []Member
	Now     time.Duration // virtual time since the Unix epoch
	Steps   int           // number of calls made to all nodes so far
	// OnEvent, if set, is called for every event that a member emits, with the number of that member. An error ends the run.
	OnEvent func(at int, e membership.Event) error
	// Drops, if set, reports whether the network drops the datagrams from one member to another.
	Drops           func(from, to int) bool
	Sent, SentBytes []int // datagrams and bytes sent, by member number
	addrs           []netip.AddrPort
	rnd             *rand.Rand
	queue           eventQueue
	lastSequence    uint64 // sequence number of the event queued last
	freeBuffers     [][]byte
	err             error // first error, which ended the run
}

// New returns a fleet whose members start within Setup.StartSpread. Errors of Setup.NewDetector are returned by Run.
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

// Start starts a member without stored state and with the given clock skew.
func (f *Fleet) Start(i int, skew time.Duration) {
	m := &f.Members[i]
	m.generation++
	node, err := f.NewDetector(membership.Config{Self: i, Peers: f.addrs, Fleet: "virtual", Interval: f.Interval,
		Seed: f.Seed*1_000_003 + uint64(i)*101 + uint64(m.generation)})
	if err != nil {
		f.err = err
		return
	}
	*m = Member{Node: node, Up: true, UpSince: f.Now, ClockSkew: skew, generation: m.generation}
	f.step(i, node.Start)
}

// Kill ends the process of a member without a leave.
func (f *Fleet) Kill(i int) {
	m := &f.Members[i]
	m.Up, m.paused, m.buffered = false, false, nil
	m.generation++
}

// Leave makes a member leave the fleet, and ends its process after leaveGrace.
func (f *Fleet) Leave(i int) {
	m := &f.Members[i]
	f.step(i, func(now time.Duration) { m.Node.Leave(now) })
	generation := m.generation
	f.After(leaveGrace, func() {
		if m.generation == generation {
			f.Kill(i)
		}
	})
}

// Pause stops a member for the duration d. Its socket buffers the datagrams that arrive meanwhile.
func (f *Fleet) Pause(i int, d time.Duration) {
	m := &f.Members[i]
	if !m.Up || m.paused {
		return
	}
	m.paused = true
	generation := m.generation
	f.After(d, func() {
		if m.generation == generation {
			f.resume(i)
		}
	})
}

// resume ends a pause. The member handles the buffered datagrams and its timer, in a random order.
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

// step makes a call of a member's node, if the member is up. Then it checks the invariants, and handles the events,
// datagrams and timer of the node.
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
		f.setErr(i, m.Node.CheckInvariants())
	}
	for _, e := range m.Node.Events() {
		if f.OnEvent != nil && f.err == nil {
			f.setErr(i, f.OnEvent(i, e))
		}
	}
	for _, d := range m.Node.Datagrams() {
		f.transmit(i, d)
	}
	if next := m.Node.NextTick() - m.ClockSkew; m.timerAt <= f.Now || next < m.timerAt {
		f.setTimer(i, max(next, f.Now))
	}
}

// setErr ends the run with an error of a member, unless err is nil.
func (f *Fleet) setErr(member int, err error) {
	if err != nil {
		f.err = fmt.Errorf("seed %d, time %v, member %d: %w", f.Seed, f.Now-Epoch, member, err)
	}
}

// ViewsAgree reports whether all views are correct: in the view of each running member, exactly the members that are up
// are in service. If not, it returns a description of one difference.
func (f *Fleet) ViewsAgree() (bool, string) {
	for viewer := range f.Members {
		if !f.Members[viewer].Up || f.Members[viewer].paused {
			continue
		}
		for i := range f.Members {
			s, _ := f.Members[viewer].Node.Member(i)
			if s.InService() != f.Members[i].Up {
				return false, fmt.Sprintf("in the view of member %d, member %d is %v (up: %v)", viewer, i, s, f.Members[i].Up)
			}
		}
	}
	return true, ""
}
