package simulation

import (
	"container/heap"
	"time"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventTimer   eventKind = iota // a member's Tick is due
	eventArrival                  // a datagram arrives
	eventCall                     // a function is to be called
)

// event is something that happens at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64 // order of events at the same time
	kind     eventKind
	to       int    // member
	from     int    // of eventArrival: the sender
	starts   int    // of eventTimer: Member.starts when it was set
	b        []byte // of eventArrival
	call     func() // of eventCall
}

// eventQueue is a heap of events, the earliest first. It implements heap.Interface.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less orders the events by time, then by sequence.
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}

// Swap swaps two events.
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push appends an event, as heap.Push requires.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event, as heap.Pop requires.
func (q *eventQueue) Pop() any {
	k := len(*q) - 1
	last := (*q)[k]
	(*q)[k] = event{} // releases its memory
	*q = (*q)[:k]
	return last
}

// After has a function called when a time has passed since Now.
func (f *Fleet) After(after time.Duration, call func()) {
	f.push(event{at: f.Now + after, kind: eventCall, call: call})
}

// setTimer schedules the next Tick of a member.
func (f *Fleet) setTimer(i int, at time.Duration) {
	m := &f.Members[i]
	m.timerAt = at
	f.push(event{at: at, kind: eventTimer, to: i, starts: m.starts})
}

func (f *Fleet) push(e event) {
	f.lastSequence++
	e.sequence = f.lastSequence
	heap.Push(&f.queue, e)
}

// Run continues the run for a time. It returns the first error of an invariant, of Seen or of Setup.Make, with the seed,
// the time and the member.
func (f *Fleet) Run(d time.Duration) error {
	end := f.Now + d
	for f.err == nil && len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.Now = max(f.Now, e.at)
		switch e.kind {
		case eventCall:
			e.call()
		case eventTimer:
			f.fireTimer(e)
		case eventArrival:
			f.receive(e)
		}
	}
	f.Now = max(f.Now, end)
	return f.err
}

// fireTimer handles the timer of a member, unless it belongs to a former process or was replaced by another.
func (f *Fleet) fireTimer(e event) {
	m := &f.Members[e.to]
	if e.starts != m.starts || m.paused || e.at != m.timerAt {
		return
	}
	if next := m.Node.NextTick(); next > f.Now+m.ClockSkew { // the node has postponed it since
		f.setTimer(e.to, next-m.ClockSkew)
		return
	}
	f.step(e.to, m.Node.Tick)
}
