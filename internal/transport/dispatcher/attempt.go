package dispatcher

import (
	"strconv"
	"strings"
	"time"

	"frostpier/internal/attempt"
	"frostpier/internal/core"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
	"frostpier/policy"
)

// AttemptDriver drives one attempt, whatever its engine speaks.
type AttemptDriver struct {
	dispatcher *Dispatcher
	pool       *enginepool.Pool
	start      core.Start
	addr       string
	machine    attempt.Machine
	relay      func([]byte)
	lanes      [2]*lane
	alarms     map[attempt.Timer]*eventloop.Timer
}

// lane is one of its connections, or the wait for one.
type lane struct {
	driver *AttemptDriver
	lane   attempt.Channel
	link   *enginepool.Conn
	stop   func()
	gone   bool
}

// StartAttempt starts an attempt that the machine carries; relay takes what goes out before the end.
func StartAttempt(d *Dispatcher, pool *enginepool.Pool, start core.Start, addr string, machine attempt.Machine, steps []attempt.Step,
	relay func([]byte)) *AttemptDriver {
	f := &AttemptDriver{dispatcher: d, pool: pool, start: start, addr: addr, machine: machine, relay: relay,
		alarms: map[attempt.Timer]*eventloop.Timer{}}
	f.carryOut(steps)
	return f
}

// Pause stops reading the answer until Resume.
func (f *AttemptDriver) Pause() { f.reading((*eventloop.Conn).Pause) }

// Resume goes on reading it.
func (f *AttemptDriver) Resume() { f.reading((*eventloop.Conn).Resume) }

func (f *AttemptDriver) reading(do func(*eventloop.Conn)) {
	if l := f.lanes[attempt.Primary]; l != nil && l.link != nil {
		do(l.link.Conn)
	}
}

// Cancel calls the attempt off.
func (f *AttemptDriver) Cancel(outcome policy.Outcome) {
	f.Resume()
	f.carryOut(f.machine.Cancel(outcome))
}

func (f *AttemptDriver) carryOut(steps []attempt.Step) {
	for _, step := range steps {
		switch s := step.(type) {
		case attempt.Open:
			f.open(s)
		case attempt.Write:
			if l := f.lanes[s.Channel]; l != nil && l.link != nil {
				l.link.Write(s.Bytes)
			}
		case attempt.Release:
			f.leave(s.Channel, true)
		case attempt.Close:
			f.leave(s.Channel, false)
		case attempt.SetTimer:
			f.alarms[s.Timer].Stop()
			delete(f.alarms, s.Timer)
			if s.After > 0 {
				after := s.After
				if s.Timer == attempt.ResponseTimeout { // what came while this process waited for its turn is not read yet
					after += 2 * f.dispatcher.Loop.Lag()
				}
				f.alarms[s.Timer] = f.dispatcher.Loop.After(after, func() { f.carryOut(f.machine.TimerFired(s.Timer)) })
			}
		case attempt.Progress:
			f.dispatcher.Progress(f.start.ID, f.start.Attempt, s.Done)
		case attempt.ResponseOverdue:
			f.dispatcher.ResponseOverdue(f.start.ID, f.start.Attempt)
		case attempt.Relay:
			if f.dispatcher.ResponseStarted(f.start.ID, f.start.Attempt) {
				f.relay(s.Bytes)
			}
		case attempt.End:
			f.dispatcher.AttemptEnded(f.start.ID, f.start.Attempt, s.Outcome, fields(s.Report), s.Result)
		}
	}
}

func (f *AttemptDriver) open(s attempt.Open) {
	f.leave(s.Channel, false)
	l := &lane{driver: f, lane: s.Channel}
	f.lanes[s.Channel] = l
	e := f.start.Engine
	l.stop = f.pool.Get(e.ID, f.addr, s.Fresh, s.Channel == attempt.Control, l, func(link *enginepool.Conn, err error) {
		l.stop = nil
		if err != nil {
			f.carryOut(f.machine.ConnectFailed(l.lane))
			return
		}
		l.link = link
		if f.dispatcher.ReadClient(f.start.ID); l.gone { // the client has called it off
			return
		}
		f.carryOut(f.machine.Connected(l.lane, &link.Memory, func(again bool) (time.Duration, bool) {
			return f.dispatcher.MaySend(f.start.ID, f.start.Attempt, again)
		}))
	})
}

// leave ends a lane's connection or the wait for it.
func (f *AttemptDriver) leave(which attempt.Channel, keep bool) {
	l := f.lanes[which]
	if l == nil {
		return
	}
	f.lanes[which], l.gone = nil, true
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
		l.driver.carryOut(l.driver.machine.Received(l.lane, b))
	}
}

// Closed tells the machine that the connection ended.
func (l *lane) Closed(error) {
	if !l.gone {
		l.link = nil
		l.driver.carryOut(l.driver.machine.ConnectionLost(l.lane))
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
