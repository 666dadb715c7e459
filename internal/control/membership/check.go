package membership

import "fmt"

// Check reports which of the rules that must hold after every call is broken: for tests and builds with -tags debug.
func (n *Node) Check() error {
	serving, queued, suspects := 0, 0, 0
	digest := uint32(0)
	for i := range n.members {
		m := &n.members[i]
		digest ^= digestOf(i, m.state)
		if m.state.Serves() {
			serving++
		}
		if m.repeats > 0 {
			queued++
		}
		if m.state == Suspect {
			suspects++
		}
		if m.state < Alive || m.state > Left {
			return fmt.Errorf("member %d in state %d", i, m.state)
		}
	}
	own := n.members[n.cfg.Self].state
	switch {
	case serving != n.serving:
		return fmt.Errorf("%d members in service, counted as %d", serving, n.serving)
	case queued != n.updates.count:
		return fmt.Errorf("%d members with news, %d queued", queued, n.updates.count)
	case suspects != len(n.suspects):
		return fmt.Errorf("%d suspects, %d listed", suspects, len(n.suspects))
	case digest != n.digest:
		return fmt.Errorf("digest %x, kept as %x", digest, n.digest)
	case own != Alive && !n.leaving || own != Left && n.leaving:
		return fmt.Errorf("own state %v", own)
	case len(n.relays) > mostRelays || len(n.askers) > mostAskers || len(n.notices) > mostNotices:
		return fmt.Errorf("%d relays, %d askers, %d notices", len(n.relays), len(n.askers), len(n.notices))
	}
	for _, d := range n.out {
		if len(d.Bytes) > MaxDatagram || d.To == n.cfg.Self || d.To < 0 || d.To >= len(n.members) {
			return fmt.Errorf("%d bytes to %d", len(d.Bytes), d.To)
		}
	}
	return nil
}
