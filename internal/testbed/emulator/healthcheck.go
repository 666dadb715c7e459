package emulator

import (
	"fmt"
	"time"
)

// Serving reports whether clients consider a gateway in service: it passed its latest health check and was reachable since.
func (c *Clients) Serving(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving[i]
}

// checkHealth sends health checks to a gateway until Close.
func (c *Clients) checkHealth(gateway int) {
	defer c.healthChecks.Done()
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.closing:
			return
		case <-tick.C:
			c.ping(gateway)
		}
	}
}

// ping sends a health check to a gateway. A gateway that cannot be reached, or that has more than maxUnansweredPings
// unanswered health checks, is out of service.
func (c *Clients) ping(gateway int) {
	cc, err := c.getOrDial(gateway)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.serving[gateway] = false
		return
	}
	pending := cc.pendingPings()
	if pending > maxUnansweredPings {
		c.serving[gateway] = false
	}
	if pending < maxPendingPings {
		cc.lastID++
		cc.pending[cc.lastID] = &pendingRequest{ping: true, sent: c.clock()}
		_, _ = fmt.Fprintf(cc.conn, "{\"jsonrpc\":\"2.0\",\"id\":%d,\"method\":\"ping\"}\n", cc.lastID)
	}
}

// pendingPings returns the number of unanswered health checks. The caller holds the clients' lock.
func (cc *clientConn) pendingPings() (count int) {
	for _, p := range cc.pending {
		if p.ping {
			count++
		}
	}
	return count
}
