package membership

import (
	"bytes"
	"testing"
	"time"
)

// testExtension appends a message that fills all the space offered.
type testExtension struct{ kind uint32 }

func (e testExtension) Kind() uint32 { return e.kind }

func (e testExtension) Append(_ time.Duration, _, maxBytes int, dst []byte) []byte {
	return append(dst, bytes.Repeat([]byte{byte(e.kind)}, maxBytes)...)
}

// extensionReceivers returns the receivers of the first 200 extension datagrams.
func extensionReceivers(t *testing.T, weights func() []float64) (members []int) {
	t.Helper()
	node := startNode(t, Config{Self: 0, Peers: peerAddresses(6), Fleet: "test", Seed: 1, Extensions: []Extension{testExtension{1}},
		ExtensionInterval: minExtensionInterval, ExtensionWeights: weights})
	for i := range 200 {
		now := node.nextExtensionsAt
		node.clearOutput()
		node.tickExtensions(now)
		if len(node.datagrams) != 1 {
			t.Fatalf("%d datagrams at draw %d, want 1", len(node.datagrams), i)
		}
		members = append(members, node.datagrams[0].To)
	}
	return members
}

// Checks that receivers are drawn by ExtensionWeights, and that members without a positive weight receive nothing. If no
// weight of a member other than this one is positive, the draws are the same as without weights.
func TestExtensionDatagramsFollowWeights(t *testing.T) {
	unweighted := extensionReceivers(t, nil)
	for i, to := range extensionReceivers(t, func() []float64 { return nil }) {
		if to != unweighted[i] {
			t.Fatalf("nil weights: draw %d is member %d, but %d without ExtensionWeights", i, to, unweighted[i])
		}
	}
	for i, to := range extensionReceivers(t, func() []float64 { return []float64{9, 0, 0, 0} }) {
		if to != unweighted[i] {
			t.Fatalf("no positive weights: draw %d is member %d, but %d without ExtensionWeights", i, to, unweighted[i])
		}
	}
	counts := map[int]int{}
	for _, to := range extensionReceivers(t, func() []float64 { return []float64{9, 1, 0, 3, -1} }) {
		counts[to]++
	}
	if len(counts) != 2 || counts[3] < 2*counts[1] || counts[1] == 0 {
		t.Errorf("datagrams by receiver: %v, want only members 1 and 3 with a ratio of about 1 to 3", counts)
	}
}

// Checks that a member out of service receives no extension datagrams, even if its weight is the highest.
func TestOutOfServiceMembersReceiveNoExtensionDatagrams(t *testing.T) {
	node := startNode(t, Config{Self: 0, Peers: peerAddresses(4), Fleet: "test", Seed: 1, ExtensionWeights: func() []float64 { return []float64{0, 5, 1, 0} }})
	node.deliverUpdate(t, 1, Left, startIncarnation, 1)
	for range 50 {
		if to := node.randomExtensionReceiver(); to != 2 {
			t.Fatalf("drew member %d as the receiver, want only member 2", to)
		}
	}
}
