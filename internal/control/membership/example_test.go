package membership

import (
	"fmt"
	"time"
)

func ExampleNode() {
	peers := peerAddresses(2)
	a, _ := New(Config{Self: 0, Peers: peers, Fleet: "example"})
	b, _ := New(Config{Self: 1, Peers: peers, Fleet: "example"})
	a.Start(epoch)
	b.Start(epoch)
	for _, d := range a.Datagrams() { // a driver sends these to peers[d.To]
		b.Receive(epoch, peers[0], d.Bytes)
	}
	b.Leave(epoch + time.Second)
	for _, d := range b.Datagrams() {
		a.Receive(epoch+time.Second, peers[1], d.Bytes)
	}
	for _, e := range a.Events() {
		fmt.Println("member", e.Member, e.OldState, "->", e.NewState)
	}
	// Output: member 1 alive -> left
}
