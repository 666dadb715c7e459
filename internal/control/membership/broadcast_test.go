package membership

import "testing"

// Checks that updates are popped in order from the front of the queue, including when the ring buffer wraps around.
func TestBroadcastQueueOrder(t *testing.T) {
	var q broadcastQueue
	q.init(3)
	for range 5 { // moves the head through the whole ring
		q.pushBack(1)
		q.pushBack(2)
		q.pushFront(0)
		for want := range 3 {
			if got := q.pop(); got != want {
				t.Fatalf("popped %d, want %d", got, want)
			}
		}
		q.pushBack(9)
		q.pop()
	}
	if q.count != 0 {
		t.Errorf("%d updates left in the queue, want none", q.count)
	}
}
