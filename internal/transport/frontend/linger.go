package frontend

import (
	"slices"

	"frostpier/internal/transport/eventloop"
)

// lingerLimitDivisor limits the connections of a listener that are being closed to 1/8 of its maximum. Each holds its descriptor until its
// peer has closed it too, and peers that never do so must not keep new clients out.
const lingerLimitDivisor = 8

// lingerSet holds the connections of a listener that are being closed gracefully, oldest first. It is used on the loop only.
type lingerSet struct {
	conns   []*eventloop.Conn
	limit   int
	open    func() int // returns the number of open connections of the listener
	onEmpty func()     // called once when the listener has no connection that is open or being closed
}

func newLingerSet(maxConns int, open func() int) *lingerSet {
	return &lingerSet{limit: max(1, maxConns/lingerLimitDivisor), open: open}
}

// setOnEmpty sets a function that is called once, as soon as no connection of the listener is open or being closed.
func (s *lingerSet) setOnEmpty(f func()) {
	s.onEmpty = f
	s.checkEmpty()
}

// checkEmpty calls the onEmpty function if no connection is left. It is called whenever a connection was removed.
func (s *lingerSet) checkEmpty() {
	if f := s.onEmpty; f != nil && s.open() == 0 && len(s.conns) == 0 {
		s.onEmpty = nil
		f()
	}
}

// closeGracefully closes a connection gracefully, and enforces the limit on connections that are being closed.
func (s *lingerSet) closeGracefully(c *eventloop.Conn) {
	if !c.IsOpen() {
		return
	}
	c.OnReleased(func() {
		s.conns = slices.DeleteFunc(s.conns, func(other *eventloop.Conn) bool { return other == c })
		s.checkEmpty()
	})
	s.conns = append(s.conns, c)
	c.OnLingering(s.enforceLimit)
	c.CloseGracefully()
	s.enforceLimit()
}

// enforceLimit closes lingering connections immediately, oldest first, while more than the limit are being closed. It skips those that still
// have bytes to write, since their clients would lose responses; it is called again when these have been written.
func (s *lingerSet) enforceLimit() {
	excess := -s.limit
	for _, c := range s.conns {
		if !c.IsClosed() { // closed connections are removed from the set asynchronously
			excess++
		}
	}
	for _, c := range s.conns {
		if excess > 0 && c.IsLingering() {
			c.Close()
			excess--
		}
	}
}
