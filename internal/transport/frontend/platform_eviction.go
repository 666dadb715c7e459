package frontend

import "time"

// queryGrace is how long a connection counts as recently used after its last request: the next query may be on its way.
const queryGrace = 250 * time.Millisecond

// evictIdle closes an idle connection to make room for a new one, and reports whether there was one.
func (l *PlatformListener) evictIdle() bool {
	now := l.dispatcher.Loop.Now()
	for range l.maxConns { // one that turns out to have sent a request stays, and another is closed
		c := l.evictionCandidate(now)
		if c == nil {
			return false
		}
		if c.closeIfIdle("others came") || !l.open[c] { // or its client has closed it
			return true
		}
	}
	return false
}

// evictionCandidate returns the connection without open requests that has the lowest eviction priority and, among equals, has been
// idle for longest. It returns nil if all have open requests.
func (l *PlatformListener) evictionCandidate(now time.Duration) *client {
	var candidate *client
	for c := range l.open {
		if len(c.requests) == 0 && (candidate == nil || c.evictedBefore(candidate, now)) {
			candidate = c
		}
	}
	return candidate
}

// evictionPriority ranks connections without open queries; the lowest is closed first.
type evictionPriority int

const (
	quietWithoutQuery evictionPriority = iota // hundreds of them may come at a time
	quietAfterQuery
	recentWithoutQuery // got the response it is owed
	recentAfterQuery   // the client can send its next query on a new connection
	recentWithoutRequest
)

// evictionPriority returns the priority of a connection. The highest is that of a new one, whose first request may be on its way
// and would be lost.
func (c *client) evictionPriority(now time.Duration) evictionPriority {
	quiet := now-c.idleSince > queryGrace
	switch {
	case quiet && !c.sentQuery:
		return quietWithoutQuery
	case quiet:
		return quietAfterQuery
	case c.sentRequest && !c.sentQuery:
		return recentWithoutQuery
	case c.sentQuery:
		return recentAfterQuery
	}
	return recentWithoutRequest
}

// evictedBefore reports whether c is closed before other to make room for a new connection.
func (c *client) evictedBefore(other *client, now time.Duration) bool {
	a, b := c.evictionPriority(now), other.evictionPriority(now)
	return a < b || a == b && c.idleSince < other.idleSince
}
