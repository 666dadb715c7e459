// Package simulation runs a fleet of membership nodes on a virtual clock, with faults between them: the experiment
// tool's and the tests' way to see a thousand members for minutes within seconds. All chance comes from one seed, so
// a run that fails replays identically.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"frostpier/internal/control/membership"
)

// Epoch is the time at which every run starts.
const Epoch = 1_800_000_000 * time.Second

// Detector is what runs at a member: the membership protocol, or a baseline to compare it with.
type Detector interface {
	Start(now time.Duration)
	Tick(now time.Duration)
	Receive(now time.Duration, from netip.AddrPort, b []byte)
	Leave(now time.Duration)
	Next() time.Duration
	Datagrams() []membership.Datagram
	Events() []membership.Event
	Member(i int) (membership.State, uint64)
	InService() int
	Check() error
}

// Setup is what a run is made of.
type Setup struct {
	Members  int
	Seed     uint64
	Interval time.Duration // of the protocol; 0 = its default
	Loss     float64       // share of datagrams lost
	Double   float64       // share that arrive twice
	DelayMin time.Duration // of a datagram; delays are even between the two, so datagrams overtake each other
	DelayMax time.Duration
	Spread   time.Duration // members start within this time
	Make     func(cfg membership.Config) (Detector, error)
	Every    int // steps between two checks of a node's rules; 0 = every step
}

// Member is one simulated process.
type Member struct {
	Node    Detector
	Up      bool
	Since   time.Duration // when it last started or was resumed
	Skew    time.Duration // of its clock
	paused  bool
	held    []arrival // what came during a pause
	timer   time.Duration
	life    int // counts starts, so that what belongs to a former one is dropped
	lastNow time.Duration
}

type arrival struct {
	from int
	b    []byte
}

// Fleet is a run.
type Fleet struct {
	Setup
	Members []Member
	Now     time.Duration
	Steps   int
	// Seen is called for every event of a member; an error ends the run.
	Seen func(at int, e membership.Event) error
	// Cut reports whether datagrams between two members are cut off, in this direction.
	Cut             func(from, to int) bool
	Sent, SentBytes []int // of each member
	addrs           []netip.AddrPort
	rnd             *rand.Rand
	queue           queue
	serial          uint64
	free            [][]byte
	err             error
}

// kinds of steps
const (
	stepTimer = iota
	stepArrival
	stepCall
)

type step struct {
	at     time.Duration
	serial uint64
	kind   uint8
	to     int
	from   int
	life   int
	b      []byte
	call   func()
}

type queue []step

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].serial < q[b].serial
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(step)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = step{}
	*q = (*q)[:len(*q)-1]
	return last
}

// New makes a fleet whose members start within Spread.
func New(s Setup) (*Fleet, error) {
	if s.Make == nil {
		s.Make = func(cfg membership.Config) (Detector, error) { return membership.New(cfg) }
	}
	if s.DelayMax == 0 {
		s.DelayMin, s.DelayMax = 1300*time.Microsecond, 38*time.Millisecond // what the site's settings say of peers
	}
	f := &Fleet{Setup: s, Members: make([]Member, s.Members), Now: Epoch, rnd: rand.New(rand.NewPCG(s.Seed, 77)),
		Sent: make([]int, s.Members), SentBytes: make([]int, s.Members)}
	for i := range f.Members {
		f.addrs = append(f.addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)}), 7946))
	}
	for i := range f.Members {
		at := time.Duration(0)
		if s.Spread > 0 {
			at = time.Duration(f.rnd.Int64N(int64(s.Spread)))
		}
		f.At(at, func() { f.Start(i, 0) })
	}
	return f, nil
}

// At has something done when so much time has passed since now.
func (f *Fleet) At(after time.Duration, call func()) {
	f.push(step{at: f.Now + after, kind: stepCall, call: call})
}

func (f *Fleet) push(s step) {
	f.serial++
	s.serial = f.serial
	heap.Push(&f.queue, s)
}

// Start starts a member from nothing, its clock off by skew.
func (f *Fleet) Start(i int, skew time.Duration) {
	m := &f.Members[i]
	m.life++
	node, err := f.Make(membership.Config{Self: i, Peers: f.addrs, Fleet: "virtual", Interval: f.Interval,
		Seed: f.Seed*1_000_003 + uint64(i)*101 + uint64(m.life)})
	if err != nil {
		f.err = err
		return
	}
	*m = Member{Node: node, Up: true, Since: f.Now, Skew: skew, life: m.life}
	f.with(i, func(now time.Duration) { node.Start(now) })
}

// Kill ends a member at once.
func (f *Fleet) Kill(i int) {
	m := &f.Members[i]
	m.Up, m.paused, m.held = false, false, nil
	m.life++
}

// Leave has a member leave, and end a second later.
func (f *Fleet) Leave(i int) {
	f.with(i, func(now time.Duration) { f.Members[i].Node.Leave(now) })
	life := f.Members[i].life
	f.At(time.Second, func() {
		if f.Members[i].life == life {
			f.Kill(i)
		}
	})
}

// Pause stops a member for a time; what comes meanwhile waits for it.
func (f *Fleet) Pause(i int, d time.Duration) {
	m := &f.Members[i]
	if !m.Up || m.paused {
		return
	}
	m.paused = true
	life := m.life
	f.At(d, func() {
		if m.life != life {
			return
		}
		m.paused, m.Since = false, f.Now
		held := m.held
		m.held = nil
		if f.rnd.IntN(2) == 0 && m.Node.Next() <= f.Now+m.Skew { // a timer may well come before what waits in the socket
			f.with(i, func(now time.Duration) { m.Node.Tick(now) })
		}
		for _, a := range held {
			f.deliver(i, a.from, a.b)
		}
		f.with(i, func(now time.Duration) { m.Node.Tick(now) })
	})
}

func (f *Fleet) deliver(to, from int, b []byte) {
	f.with(to, func(now time.Duration) { f.Members[to].Node.Receive(now, f.addrs[from], b) })
}

// with lets a member run, sends what it wants sent and checks the rules.
func (f *Fleet) with(i int, run func(now time.Duration)) {
	m := &f.Members[i]
	if !m.Up || f.err != nil {
		return
	}
	now := max(f.Now+m.Skew, m.lastNow)
	m.lastNow = now
	run(now)
	f.Steps++
	if f.Every == 0 || f.Steps%f.Every == 0 {
		if err := m.Node.Check(); err != nil {
			f.err = fmt.Errorf("seed %d, %v, member %d: %w", f.Seed, f.Now-Epoch, i, err)
		}
	}
	for _, e := range m.Node.Events() {
		if f.Seen != nil && f.err == nil {
			if err := f.Seen(i, e); err != nil {
				f.err = fmt.Errorf("seed %d, %v, member %d: %w", f.Seed, f.Now-Epoch, i, err)
			}
		}
	}
	for _, d := range m.Node.Datagrams() {
		f.carry(i, d)
	}
	if next := m.Node.Next() - m.Skew; m.timer <= f.Now || next < m.timer {
		m.timer = max(next, f.Now)
		f.push(step{at: m.timer, kind: stepTimer, to: i, life: m.life})
	}
}

// carry is the network.
func (f *Fleet) carry(from int, d membership.Datagram) {
	f.Sent[from]++
	f.SentBytes[from] += len(d.Bytes)
	if f.Cut != nil && f.Cut(from, d.To) {
		return
	}
	copies := 1
	if f.Double > 0 && f.rnd.Float64() < f.Double {
		copies = 2
	}
	for range copies {
		if f.Loss > 0 && f.rnd.Float64() < f.Loss {
			continue
		}
		delay := f.DelayMin + time.Duration(f.rnd.Int64N(int64(f.DelayMax-f.DelayMin)+1))
		f.push(step{at: f.Now + delay, kind: stepArrival, to: d.To, from: from, b: append(f.buffer(), d.Bytes...)})
	}
}

func (f *Fleet) buffer() []byte {
	if k := len(f.free); k > 0 {
		b := f.free[k-1]
		f.free = f.free[:k-1]
		return b[:0]
	}
	return make([]byte, 0, membership.MaxDatagram)
}

// Run plays on for a time. It returns the first rule that was broken, with the seed.
func (f *Fleet) Run(d time.Duration) error {
	end := f.Now + d
	for f.err == nil && len(f.queue) > 0 && f.queue[0].at <= end {
		s := heap.Pop(&f.queue).(step)
		f.Now = max(f.Now, s.at)
		m := &f.Members[s.to]
		switch s.kind {
		case stepCall:
			s.call()
		case stepTimer:
			if s.life != m.life || m.paused || s.at != m.timer {
				continue
			}
			if m.Node.Next() > f.Now+m.Skew {
				m.timer = m.Node.Next() - m.Skew
				f.push(step{at: m.timer, kind: stepTimer, to: s.to, life: m.life})
				continue
			}
			f.with(s.to, func(now time.Duration) { m.Node.Tick(now) })
		case stepArrival:
			switch {
			case !m.Up:
			case m.paused:
				if len(m.held) < 1000 { // a socket's buffer is bounded too
					m.held = append(m.held, arrival{s.from, append([]byte(nil), s.b...)})
				}
			default:
				f.deliver(s.to, s.from, s.b)
			}
			f.free = append(f.free, s.b)
		}
	}
	f.Now = max(f.Now, end)
	return f.err
}

// Agreed reports whether every member that is up holds each member as it is, and names one that does not.
func (f *Fleet) Agreed() (bool, string) {
	for v := range f.Members {
		if !f.Members[v].Up || f.Members[v].paused {
			continue
		}
		for i := range f.Members {
			if s, _ := f.Members[v].Node.Member(i); s.Serves() != f.Members[i].Up {
				return false, fmt.Sprintf("member %d holds %d %v, which is up: %v", v, i, s, f.Members[i].Up)
			}
		}
	}
	return true, ""
}
