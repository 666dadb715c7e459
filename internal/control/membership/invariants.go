package membership

import "fmt"

// CheckInvariants returns an error for the first violated invariant. Tests, and programs built with -tags debug, call it
// after every other call of the Node.
func (n *Node) CheckInvariants() error {
	if err := n.checkMembers(); err != nil {
		return err
	}
	if err := n.checkOwnState(); err != nil {
		return err
	}
	if err := n.checkBounds(); err != nil {
		return err
	}
	return n.checkDatagrams()
}

// checkMembers compares the cached counts and the digest with the member table.
func (n *Node) checkMembers() error {
	inService, queued, suspects := 0, 0, 0
	digest := uint32(0)
	for i := range n.members {
		m := &n.members[i]
		if m.state < Alive || m.state > Left {
			return fmt.Errorf("member %d has the invalid state %d", i, m.state)
		}
		digest ^= memberDigest(i, m.state)
		if m.state.InService() {
			inService++
		}
		if m.retransmits > 0 {
			queued++
		}
		if m.state == Suspect {
			suspects++
		}
	}
	switch {
	case inService != n.inService:
		return fmt.Errorf("%d members are in service, but the cached count is %d", inService, n.inService)
	case queued != n.broadcasts.count:
		return fmt.Errorf("%d members have an update to send, but the broadcast queue has %d", queued, n.broadcasts.count)
	case suspects != len(n.suspects):
		return fmt.Errorf("%d members are suspected, but the list of suspects has %d", suspects, len(n.suspects))
	case digest != n.digest:
		return fmt.Errorf("the digest of the view is %x, but the cached digest is %x", digest, n.digest)
	}
	return nil
}

func (n *Node) checkOwnState() error {
	own := n.members[n.cfg.Self].state
	if own != Alive && !n.left || own != Left && n.left {
		return fmt.Errorf("this member has the state %v in its own view; it has left the fleet: %v", own, n.left)
	}
	return nil
}

func (n *Node) checkBounds() error {
	if len(n.relayedProbes) > maxRelayedProbes || len(n.syncRequests) > maxSyncRequests || len(n.notices) > maxNotices {
		return fmt.Errorf("queue over its limit: %d relayed probes, %d sync requests, %d notices", len(n.relayedProbes), len(n.syncRequests), len(n.notices))
	}
	return nil
}

func (n *Node) checkDatagrams() error {
	for _, d := range n.datagrams {
		if len(d.Bytes) > MaxDatagramSize || d.To == n.cfg.Self || d.To < 0 || d.To >= len(n.members) {
			return fmt.Errorf("invalid outgoing datagram: %d bytes to member %d", len(d.Bytes), d.To)
		}
	}
	return nil
}
