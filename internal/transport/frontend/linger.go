package frontend

import (
	"slices"

	"frostpier/internal/transport/eventloop"
)

// lingerShare is the part of a front's connections that may be in the course of being shut: each holds its descriptor until its
// peer has ended it too, and peers that do not must not keep others out.
const lingerShare = 8

// lingerSet holds the connections of a front that are being shut down, oldest first.
type lingerSet struct {
	conns   []*eventloop.Conn
	limit   int
	open    func() int // how many of the front's are not being shut
	emptied func()     // runs once there are none of either
}

func newLingerSet(connections int, open func() int) *lingerSet {
	return &lingerSet{limit: max(1, connections/lingerShare), open: open}
}

// whenEmpty sets what runs once no connection of the front is open or being shut.
func (s *lingerSet) whenEmpty(run func()) {
	s.emptied = run
	s.check()
}

// check is called whenever a connection has gone.
func (s *lingerSet) check() {
	if run := s.emptied; run != nil && s.open() == 0 && len(s.conns) == 0 {
		s.emptied = nil
		run()
	}
}

// finish shuts a connection. Where too many are being shut, one that was told all there is goes before one that was not.
func (s *lingerSet) finish(c *eventloop.Conn) {
	if !c.IsOpen() {
		return
	}
	c.OnReleased(func() {
		s.conns = slices.DeleteFunc(s.conns, func(o *eventloop.Conn) bool { return o == c })
		s.check()
	})
	s.conns = append(s.conns, c)
	c.CloseGracefully()
	if len(s.conns) > s.limit {
		i := max(0, slices.IndexFunc(s.conns, func(o *eventloop.Conn) bool { return o.IsLingering() }))
		s.conns[i].Close()
	}
}
