package membership

import "testing"

// Updates leave the queue from the front, also where its ring wraps around.
func TestBroadcastQueueOrder(t *testing.T) {
	var q broadcastQueue
	q.init(3)
	for range 5 { // rotates through the ring
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
		t.Errorf("%d updates left", q.count)
	}
}
