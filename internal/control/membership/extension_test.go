package membership

import (
	"bytes"
	"testing"
	"time"
)

// testExtension fills all the room that it is offered.
type testExtension struct{ kind uint32 }

func (e testExtension) Kind() uint32 { return e.kind }

func (e testExtension) Append(_ time.Duration, _, room int, dst []byte) []byte {
	return append(dst, bytes.Repeat([]byte{byte(e.kind)}, room)...)
}

// receivers returns the receivers of the first 200 datagrams that carry extensions alone.
func receivers(t *testing.T, weights func() []float64) (members []int) {
	t.Helper()
	node := startNode(t, Config{Self: 0, Peers: peerAddresses(6), Fleet: "test", Seed: 1, Extensions: []Extension{testExtension{1}},
		ExtensionInterval: minExtensionInterval, ExtensionWeights: weights})
	for i := range 200 {
		now := node.nextExtensionsAt
		node.reset()
		node.tickExtensions(now)
		if len(node.datagrams) != 1 {
			t.Fatalf("%d datagrams at draw %d", len(node.datagrams), i)
		}
		members = append(members, node.datagrams[0].To)
	}
	return members
}

// Without weights, or with none above 0, the random draws are the same as without the option. With weights each member
// receives its share, and those without a weight receive none.
func TestExtensionDatagramsFollowWeights(t *testing.T) {
	unweighted := receivers(t, nil)
	for i, to := range receivers(t, func() []float64 { return nil }) {
		if to != unweighted[i] {
			t.Fatalf("draw %d went to %d, without the option to %d", i, to, unweighted[i])
		}
	}
	for i, to := range receivers(t, func() []float64 { return []float64{9, 0, 0, 0} }) {
		if to != unweighted[i] {
			t.Fatalf("draw %d went to %d where nobody has a weight, without the option to %d", i, to, unweighted[i])
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

// A member out of service receives no datagram for extensions, whatever its weight.
func TestWeightsOfMembersOutOfServiceDoNotCount(t *testing.T) {
	node := startNode(t, Config{Self: 0, Peers: peerAddresses(4), Fleet: "test", Seed: 1, ExtensionWeights: func() []float64 { return []float64{0, 5, 1, 0} }})
	node.deliverUpdate(t, 1, Left, startIncarnation, 1)
	for range 50 {
		if to := node.randomExtensionReceiver(); to != 2 {
			t.Fatalf("a datagram to member %d", to)
		}
	}
}
