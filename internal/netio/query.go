package netio

import (
	"strconv"
	"strings"
	"time"

	"frostpier/internal/core"
	"frostpier/internal/httpq"
	"frostpier/policy"
)

// query drives one attempt over HTTP.
type query struct {
	gateway *Gateway
	start   core.Start
	machine *httpq.Query
	lanes   [2]*lane
	alarms  map[httpq.Alarm]*Timer
}

// lane is one of its connections, or the wait for one.
type lane struct {
	query *query
	lane  httpq.Lane
	link  *Link
	stop  func()
	gone  bool
}

// startQuery starts an attempt of a query over HTTP.
func startQuery(g *Gateway, start core.Start, req httpq.Request) Attempt {
	q := &query{gateway: g, start: start, alarms: map[httpq.Alarm]*Timer{}}
	machine, steps := httpq.NewQuery(req)
	q.machine = machine
	q.carryOut(steps)
	return q
}

// GiveUp calls the attempt off.
func (q *query) GiveUp(outcome policy.Outcome) { q.carryOut(q.machine.GiveUp(outcome)) }

func (q *query) carryOut(steps []httpq.Step) {
	for _, step := range steps {
		switch s := step.(type) {
		case httpq.Open:
			q.open(s)
		case httpq.Write:
			if l := q.lanes[s.Lane]; l != nil && l.link != nil {
				l.link.Write(s.Bytes)
			}
		case httpq.Release:
			q.leave(s.Lane, true)
		case httpq.Drop:
			q.leave(s.Lane, false)
		case httpq.Set:
			q.alarms[s.Alarm].Stop()
			delete(q.alarms, s.Alarm)
			if s.After > 0 {
				q.alarms[s.Alarm] = q.gateway.Loop.After(s.After, func() { q.carryOut(q.machine.Rang(s.Alarm)) })
			}
		case httpq.News:
			q.gateway.Progress(q.start.ID, q.start.Attempt, s.Done)
		case httpq.End:
			q.gateway.Ended(q.start.ID, q.start.Attempt, s.Outcome, fields(s.Report), s.Result)
		}
	}
}

func (q *query) open(s httpq.Open) {
	q.leave(s.Lane, false)
	l := &lane{query: q, lane: s.Lane}
	q.lanes[s.Lane] = l
	e := q.start.Engine
	l.stop = q.gateway.Pool.Get(e.ID, e.Addr, s.Fresh, l, func(link *Link, err error) {
		l.stop = nil
		if err != nil {
			q.carryOut(q.machine.Failed(l.lane))
			return
		}
		l.link = link
		q.carryOut(q.machine.Opened(l.lane, func() (time.Duration, bool) {
			return q.gateway.MaySend(q.start.ID, q.start.Attempt)
		}))
	})
}

// leave ends a lane's connection or the wait for it.
func (q *query) leave(which httpq.Lane, keep bool) {
	l := q.lanes[which]
	if l == nil {
		return
	}
	q.lanes[which], l.gone = nil, true
	switch {
	case l.stop != nil:
		l.stop()
	case l.link != nil && keep:
		l.link.Release()
	case l.link != nil:
		l.link.Drop()
	}
}

// Data feeds the machine.
func (l *lane) Data(b []byte) {
	if !l.gone {
		l.query.carryOut(l.query.machine.Fed(l.lane, b))
	}
}

// Closed tells the machine that the connection ended.
func (l *lane) Closed(error) {
	if !l.gone {
		l.link = nil
		l.query.carryOut(l.query.machine.Broke(l.lane))
	}
}

// fields reads a load report, as in inflight:7;util:0.61; what is no figure is left out.
func fields(report string) []core.Field {
	if report == "" {
		return nil
	}
	var out []core.Field
	for _, part := range strings.Split(report, ";") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), ":")
		if value, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
			out = append(out, core.Field{Name: name, Value: value})
		}
	}
	return out
}
