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

// closeGracefully closes a connection gracefully. If too many are being closed, one of them is closed at once: the oldest to which
// everything has been written, or the oldest of all.
func (s *lingerSet) closeGracefully(c *eventloop.Conn) {
	if !c.IsOpen() {
		return
	}
	c.OnReleased(func() {
		s.conns = slices.DeleteFunc(s.conns, func(other *eventloop.Conn) bool { return other == c })
		s.checkEmpty()
	})
	s.conns = append(s.conns, c)
	c.CloseGracefully()
	if len(s.conns) > s.limit {
		i := max(0, slices.IndexFunc(s.conns, (*eventloop.Conn).IsLingering))
		s.conns[i].Close()
	}
}
