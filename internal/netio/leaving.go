package netio

import "slices"

// lingerShare is the part of a front's connections that may be in the course of being shut: each holds its descriptor until its
// peer has ended it too, and peers that do not must not keep others out.
const lingerShare = 8

// leaving are the connections of a front that are being shut, in the order in which that began.
type leaving struct {
	conns   []*Conn
	most    int
	open    func() int // how many of the front's are not being shut
	emptied func()     // runs once there are none of either
}

func newLeaving(connections int, open func() int) *leaving {
	return &leaving{most: max(1, connections/lingerShare), open: open}
}

// whenEmpty sets what runs once no connection of the front is open or being shut.
func (l *leaving) whenEmpty(run func()) {
	l.emptied = run
	l.check()
}

// check is called whenever a connection has gone.
func (l *leaving) check() {
	if run := l.emptied; run != nil && l.open() == 0 && len(l.conns) == 0 {
		l.emptied = nil
		run()
	}
}

// shut shuts a connection. Where too many are being shut, one that was told all there is goes before one that was not.
func (l *leaving) shut(c *Conn) {
	if !c.isOpen() {
		return
	}
	c.gone = func() {
		l.conns = slices.DeleteFunc(l.conns, func(o *Conn) bool { return o == c })
		l.check()
	}
	l.conns = append(l.conns, c)
	c.Finish()
	if len(l.conns) > l.most {
		i := max(0, slices.IndexFunc(l.conns, func(o *Conn) bool { return o.phase == connLingering }))
		l.conns[i].Close()
	}
}
