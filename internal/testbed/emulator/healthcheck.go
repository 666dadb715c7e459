package emulator

import (
	"fmt"
	"time"
)

// Serving reports whether a gateway passed its last health check.
func (c *Clients) Serving(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving[i]
}

// checkHealth pings a gateway until Close.
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

// ping sends a gateway a health check. One that cannot be reached, or leaves several unanswered, is out of service.
func (c *Clients) ping(gateway int) {
	k, err := c.connection(gateway)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.serving[gateway] = false
		return
	}
	pending := k.pendingPings()
	if pending > unansweredPings {
		c.serving[gateway] = false
	}
	if pending < maxPendingPings {
		k.lastID++
		k.pending[k.lastID] = &pendingRequest{ping: true, sent: c.clock()}
		_, _ = fmt.Fprintf(k.conn, "{\"jsonrpc\":\"2.0\",\"id\":%d,\"method\":\"ping\"}\n", k.lastID)
	}
}

// pendingPings is how many health checks have no answer yet; the clients' lock is held.
func (k *clientConn) pendingPings() (count int) {
	for _, p := range k.pending {
		if p.ping {
			count++
		}
	}
	return count
}
