package frontend

import (
	"slices"

	"frostpier/internal/transport/eventloop"
)

// lingerFraction bounds the connections of a listener that are being closed to one in so many: each holds its descriptor until its
// peer has closed it too, and peers that do not must not keep others out.
const lingerFraction = 8

// lingerSet holds the connections of a listener that are being closed gracefully, oldest first. It is used on the loop.
type lingerSet struct {
	conns   []*eventloop.Conn
	limit   int
	open    func() int // returns how many connections of the listener are open
	onEmpty func()     // called once when there are no open or lingering connections
}

func newLingerSet(maxConns int, open func() int) *lingerSet {
	return &lingerSet{limit: max(1, maxConns/lingerFraction), open: open}
}

// whenEmpty sets a function that is called once no connection of the listener is open or being closed.
func (s *lingerSet) whenEmpty(f func()) {
	s.onEmpty = f
	s.checkEmpty()
}

// checkEmpty is called whenever a connection was removed.
func (s *lingerSet) checkEmpty() {
	if f := s.onEmpty; f != nil && s.open() == 0 && len(s.conns) == 0 {
		s.onEmpty = nil
		f()
	}
}

// closeGracefully closes a connection gracefully, and sees to it that not too many are being closed.
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

// enforceLimit closes connections at once, the oldest first, while too many are being closed. It passes over those that still have
// bytes to write: their clients would lose the responses. They are closed as soon as they have written them.
func (s *lingerSet) enforceLimit() {
	excess := -s.limit
	for _, c := range s.conns {
		if !c.IsClosed() { // closed ones leave the set a moment later
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
