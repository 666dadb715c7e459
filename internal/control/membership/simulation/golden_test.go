package simulation

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"frostpier/internal/control/membership"
	"frostpier/internal/testutil"
)

// datagramsInFull is the number of datagrams that the golden file contains in full. The file also contains a hash
// of all datagrams.
const datagramsInFull = 40

// recordedNode is a Node that passes every datagram it sends to record.
type recordedNode struct {
	*membership.Node
	record func(d membership.Datagram)
}

func (n *recordedNode) Datagrams() []membership.Datagram {
	list := n.Node.Datagrams()
	for _, d := range list {
		n.record(d)
	}
	return list
}

// Checks that the bytes of all datagrams of a fleet with kills, a pause, a partition and a leave match the golden file.
func TestDatagramsMatchGoldenFile(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	hash, count := fnv.New64a(), 0
	setup := Setup{Members: 24, Seed: 26, Loss: 0.02, Duplication: 0.01, DelayMin: time.Millisecond, DelayMax: 20 * time.Millisecond,
		StartSpread: 2 * time.Second, NewDetector: func(cfg membership.Config) (Detector, error) {
			node, err := membership.New(cfg)
			if err != nil {
				return nil, err
			}
			return &recordedNode{node, func(d membership.Datagram) {
				if count++; count <= datagramsInFull {
					fmt.Fprintf(&out, "%d to %d: %x\n", cfg.Self, d.To, d.Bytes)
				}
				fmt.Fprintf(hash, "%d to %d: %x\n", cfg.Self, d.To, d.Bytes)
			}}, nil
		}}
	f, err := New(setup)
	if err != nil {
		t.Fatal(err)
	}
	partitioned := false
	f.Drops = func(from, to int) bool { return partitioned && from%2 != to%2 }
	f.After(20*time.Second, func() { f.Kill(3); f.Kill(4) })
	f.After(25*time.Second, func() { f.Pause(7, 4*time.Second) })
	f.After(40*time.Second, func() { partitioned = true })
	f.After(60*time.Second, func() { partitioned = false })
	f.After(70*time.Second, func() { f.Start(3, 0); f.Leave(9) })
	if err := f.Run(2 * time.Minute); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "%d datagrams, hash %016x\n", count, hash.Sum64())
	testutil.Golden(t, "datagrams.golden", []byte(out.String()))
}
