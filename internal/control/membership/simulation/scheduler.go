package simulation

import (
	"container/heap"
	"time"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventTimer   eventKind = iota // a member's timer expires
	eventArrival                  // a datagram arrives
	eventCall                     // a function registered with After is called
)

// event is a scheduled event of the simulation.
type event struct {
	at         time.Duration
	sequence   uint64 // orders events with the same time
	kind       eventKind
	to         int    // eventTimer and eventArrival: the member
	from       int    // eventArrival: the sender
	generation int    // eventTimer: Member.generation when the timer was set
	b          []byte // eventArrival: the datagram
	call       func() // eventCall: the function
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
	(*q)[k] = event{} // lets the garbage collector free the datagram and the function
	*q = (*q)[:k]
	return last
}

// After schedules a call of a function at the virtual time Now plus after.
func (f *Fleet) After(after time.Duration, call func()) {
	f.push(event{at: f.Now + after, kind: eventCall, call: call})
}

// setTimer schedules the next Tick of a member.
func (f *Fleet) setTimer(i int, at time.Duration) {
	m := &f.Members[i]
	m.timerAt = at
	f.push(event{at: at, kind: eventTimer, to: i, generation: m.generation})
}

func (f *Fleet) push(e event) {
	f.lastSequence++
	e.sequence = f.lastSequence
	heap.Push(&f.queue, e)
}

// Run simulates the duration d. It returns the first error of an invariant check, of OnEvent or of Setup.NewDetector.
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

// fireTimer handles the timer of a member, unless it belongs to a former process or was replaced by another timer.
func (f *Fleet) fireTimer(e event) {
	m := &f.Members[e.to]
	if e.generation != m.generation || m.paused || e.at != m.timerAt {
		return
	}
	if next := m.Node.NextTick(); next > f.Now+m.ClockSkew { // the node has postponed its next Tick
		f.setTimer(e.to, next-m.ClockSkew)
		return
	}
	f.step(e.to, m.Node.Tick)
}
