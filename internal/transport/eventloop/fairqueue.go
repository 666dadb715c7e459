package eventloop

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

const (
	// usageDecay is the time constant (decay to 1/e) of the time for which a connection has used the loop.
	usageDecay = time.Second
	// initialUsage is the time for which a new connection counts as having used the loop. Connections that are opened again and again
	// must not precede those that have long been open.
	initialUsage = 50 * time.Millisecond
)

// decayingTime is a sum of times that decays exponentially with the time constant usageDecay.
type decayingTime struct {
	sum       float64 // seconds
	updatedAt time.Duration
}

// valueAt returns the sum in seconds.
func (d *decayingTime) valueAt(now time.Duration) float64 {
	return d.sum * math.Exp(-(now-d.updatedAt).Seconds()/usageDecay.Seconds())
}

func (d *decayingTime) add(now, busy time.Duration) {
	d.sum, d.updatedAt = d.valueAt(now)+busy.Seconds(), now
}

// fairQueue holds functions that wait for the loop on behalf of connections. The next one is that of the connection that has used the loop
// least lately, so that connections with much work cannot delay those with little. Its methods may be called on any goroutine.
type fairQueue struct {
	mu        sync.Mutex
	functions functionHeap
	lastOrder uint64
	ready     chan struct{} // capacity 1; signals that the queue may not be empty
}

// fairFunction is a function in a fairQueue.
type fairFunction struct {
	usage float64 // of its connection, in seconds
	order uint64  // of its arrival, which decides between equal usages
	call  func()
}

func newFairQueue() *fairQueue { return &fairQueue{ready: make(chan struct{}, 1)} }

// push adds a function of a connection that has used the loop for the given time lately.
func (q *fairQueue) push(usage float64, call func()) {
	q.mu.Lock()
	q.lastOrder++
	heap.Push(&q.functions, fairFunction{usage: usage, order: q.lastOrder, call: call})
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// pop removes the next function and returns it, or nil if there is none.
func (q *fairQueue) pop() func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.functions) == 0 {
		return nil
	}
	return heap.Pop(&q.functions).(fairFunction).call
}

func (q *fairQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.functions)
}

// functionHeap implements heap.Interface.
type functionHeap []fairFunction

// Len implements heap.Interface.
func (h functionHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h functionHeap) Less(i, j int) bool {
	if h[i].usage != h[j].usage {
		return h[i].usage < h[j].usage
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h functionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *functionHeap) Push(x any) { *h = append(*h, x.(fairFunction)) }

// Pop implements heap.Interface.
func (h *functionHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = fairFunction{}
	*h = (*h)[:last]
	return f
}
