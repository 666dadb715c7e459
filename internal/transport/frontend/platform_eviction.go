package frontend

import (
	"cmp"
	"slices"
	"time"
)

// recentUsePeriod is how long a connection counts as recently used after its last request: the client may already have sent another query.
const recentUsePeriod = 250 * time.Millisecond

// maxEvictionTries is how many connections are tried for each new connection. A connection on which the client has sent something is kept.
const maxEvictionTries = 32

// evictIdle closes an idle connection to make room for a new one, and reports whether it found one. What clients have sent is read later: it
// may take milliseconds for each of them, and new connections precede all other work of the loop.
func (l *PlatformListener) evictIdle() bool {
	for _, c := range l.evictionCandidates(l.dispatcher.Loop.Now()) {
		switch {
		case c.conn.PeerClosed():
			c.conn.CloseIfPeerLeft()
		case c.conn.HasInput():
			c.conn.After(0, func() { c.conn.DeliverPending() })
		default:
			c.closeIfIdle("evicted for a new connection")
		}
		if !l.open[c] {
			return true
		}
	}
	return false
}

// evictionCandidates returns the first connections without open requests, up to maxEvictionTries, by evictionPriority and, among equals, by the
// time for which they have been idle.
func (l *PlatformListener) evictionCandidates(now time.Duration) []*client {
	var candidates []*client
	for c := range l.open {
		if len(c.requests) == 0 {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *client) int {
		return cmp.Or(cmp.Compare(a.evictionPriority(now), b.evictionPriority(now)), cmp.Compare(a.idleSince, b.idleSince))
	})
	return candidates[:min(len(candidates), maxEvictionTries)]
}

// evictionPriority ranks connections without open queries: those with the lowest value are evicted first.
type evictionPriority int

const (
	idleWithoutQuery evictionPriority = iota // hundreds of them may be opened at once
	idleAfterQuery
	recentWithoutQuery   // all its requests were answered
	recentAfterQuery     // the client can send its next query on a new connection
	recentWithoutRequest // new: its first request may be in transit and would be lost
)

// evictionPriority returns the priority of a connection without open queries.
func (c *client) evictionPriority(now time.Duration) evictionPriority {
	idle := now-c.idleSince > recentUsePeriod
	switch {
	case idle && !c.sentQuery:
		return idleWithoutQuery
	case idle:
		return idleAfterQuery
	case c.sentRequest && !c.sentQuery:
		return recentWithoutQuery
	case c.sentQuery:
		return recentAfterQuery
	}
	return recentWithoutRequest
}
