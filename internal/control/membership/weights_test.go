package membership

import (
	"testing"
	"time"
)

// receivers returns to whom a gateway's datagrams for the extensions alone go.
func receivers(t *testing.T, weights func() []float64) (members []int) {
	t.Helper()
	node, err := New(Config{Self: 0, Peers: addrs(6), Fleet: "test", Seed: 1, Extensions: []Extension{testExtension{1}},
		ExtensionInterval: minExtensionInterval, Weights: weights})
	if err != nil {
		t.Fatal(err)
	}
	node.Start(epoch)
	for i := range 200 {
		now := node.extensionsAt
		node.reset()
		node.tickExtensions(now)
		if len(node.out) != 1 {
			t.Fatalf("%d datagrams at turn %d", len(node.out), i)
		}
		members = append(members, node.out[0].To)
	}
	return members
}

// Without weights the members are those that they always were; with them each gets its part, and those of no weight or out of
// service get none.
func TestExtensionDatagramsFollowWeights(t *testing.T) {
	plain := receivers(t, nil)
	for i, to := range receivers(t, func() []float64 { return nil }) {
		if to != plain[i] {
			t.Fatalf("draw %d went to %d, without the option to %d", i, to, plain[i])
		}
	}
	for i, to := range receivers(t, func() []float64 { return []float64{9, 0, 0, 0} }) {
		if to != plain[i] {
			t.Fatalf("draw %d went to %d where nobody has a weight, without the option to %d", i, to, plain[i])
		}
	}
	counts := map[int]int{}
	for _, to := range receivers(t, func() []float64 { return []float64{9, 1, 0, 3, -1} }) {
		counts[to]++
	}
	if len(counts) != 2 || counts[3] < 2*counts[1] || counts[1] == 0 {
		t.Errorf("datagrams by member: %v", counts)
	}
}

func TestWeightsOfMembersOutOfServiceDoNotCount(t *testing.T) {
	node, err := New(Config{Self: 0, Peers: addrs(4), Fleet: "test", Seed: 1, Weights: func() []float64 { return []float64{0, 5, 1, 0} }})
	if err != nil {
		t.Fatal(err)
	}
	node.Start(epoch)
	node.get(t, 1, from(node, 1, withUpdate(1, Left, uint64(epoch/time.Second), 1)))
	for range 50 {
		if to := node.receiver(); to != 2 {
			t.Fatalf("a datagram to member %d", to)
		}
	}
}
