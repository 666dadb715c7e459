package frontend

import "time"

// recentUsePeriod is how long a connection counts as recently used after its last request: the client may already have sent another query.
const recentUsePeriod = 250 * time.Millisecond

// evictIdle closes an idle connection to make room for a new one, and reports whether it found one.
func (l *PlatformListener) evictIdle() bool {
	now := l.dispatcher.Loop.Now()
	for range l.maxConns { // a candidate that turns out to have sent a request is kept, and the next one is tried
		c := l.evictionCandidate(now)
		if c == nil {
			return false
		}
		if c.closeIfIdle("evicted for a new connection") || !l.open[c] { // or the client has closed it
			return true
		}
	}
	return false
}

// evictionCandidate returns the connection without open requests that has the lowest evictionPriority and, among equals, has been idle
// longest. It returns nil if all connections have open requests.
func (l *PlatformListener) evictionCandidate(now time.Duration) *client {
	var candidate *client
	for c := range l.open {
		if len(c.requests) == 0 && (candidate == nil || c.evictedBefore(candidate, now)) {
			candidate = c
		}
	}
	return candidate
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

// evictedBefore reports whether c is evicted before other.
func (c *client) evictedBefore(other *client, now time.Duration) bool {
	a, b := c.evictionPriority(now), other.evictionPriority(now)
	return a < b || a == b && c.idleSince < other.idleSince
}
