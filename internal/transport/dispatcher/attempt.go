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

// AttemptDriver executes the steps of one attempt's state machine, independent of the engine's protocol. It owns the attempt's connections
// and timers and passes their events to the machine. All methods are called on the event loop.
type AttemptDriver struct {
	dispatcher *Dispatcher
	pool       *enginepool.Pool
	start      core.StartAttempt
	addr       string
	machine    attempt.StateMachine
	relay      func([]byte)
	channels   [2]*channel // indexed by attempt.Channel; nil if not in use
	timers     map[attempt.Timer]*eventloop.Timer
	paused     bool // the response is not read
	ended      bool
}

// channel is a connection of an attempt, or a pending request for one.
type channel struct {
	driver    *AttemptDriver
	id        attempt.Channel
	conn      *enginepool.Conn
	cancelGet func() // cancels the pending request; nil if there is none
	closed    bool   // the attempt no longer uses the channel
}

// StartAttempt starts an attempt on the engine at addr and executes the machine's first steps. relay is called with the parts of the
// response that are relayed to the client before the attempt ends.
func StartAttempt(d *Dispatcher, pool *enginepool.Pool, start core.StartAttempt, addr string, machine attempt.StateMachine, steps []attempt.Step,
	relay func([]byte)) *AttemptDriver {
	a := &AttemptDriver{
		dispatcher: d,
		pool:       pool,
		start:      start,
		addr:       addr,
		machine:    machine,
		relay:      relay,
		timers:     map[attempt.Timer]*eventloop.Timer{},
	}
	a.execute(steps)
	return a
}

// Pause stops reading the response until Resume is called.
func (a *AttemptDriver) Pause() {
	a.paused = true
	a.onPrimary((*eventloop.Conn).Pause)
}

// Resume resumes reading the response.
func (a *AttemptDriver) Resume() {
	a.paused = false
	a.onPrimary((*eventloop.Conn).Resume)
}

// ReadPending implements Attempt. It reads nothing while the response is paused.
func (a *AttemptDriver) ReadPending() {
	for _, c := range a.channels {
		if c != nil && c.conn != nil && !a.paused {
			c.conn.DeliverPending()
		}
	}
}

// onPrimary calls do with the connection of the primary channel, if there is one.
func (a *AttemptDriver) onPrimary(do func(*eventloop.Conn)) {
	if c := a.channels[attempt.Primary]; c != nil && c.conn != nil {
		do(c.conn.Conn)
	}
}

// Cancel cancels the attempt. The attempt ends with outcome, unless it ends for another reason first.
func (a *AttemptDriver) Cancel(outcome policy.Outcome) {
	a.Resume()
	a.execute(a.machine.Cancel(outcome))
}

func (a *AttemptDriver) execute(steps []attempt.Step) {
	id, number := a.start.ID, a.start.Attempt
	for _, step := range steps {
		switch s := step.(type) {
		case attempt.Open:
			a.openChannel(s)
		case attempt.Write:
			if c := a.channels[s.Channel]; c != nil && c.conn != nil {
				c.conn.Write(s.Bytes)
			}
		case attempt.Release:
			a.closeChannel(s.Channel, (*enginepool.Conn).Release)
		case attempt.Close:
			a.closeChannel(s.Channel, (*enginepool.Conn).Discard)
		case attempt.SetTimer:
			a.setTimer(s)
		case attempt.Progress:
			a.dispatcher.Progress(id, number, s.Done)
		case attempt.ResponseOverdue:
			a.dispatcher.ResponseOverdue(id, number)
		case attempt.Relay:
			if a.dispatcher.ResponseStarted(id, number) {
				a.relay(s.Bytes)
			}
		case attempt.End:
			a.ended = true
			a.dispatcher.AttemptEnded(id, number, s.Outcome, parseLoadReport(s.Report), s.Result)
		}
	}
}

// setTimer restarts or stops a timer. A response timeout is extended by twice the loop's lag, since it also covers the time in which this
// process was not scheduled. When a timer fires, what the engine has sent by then is handled first, and may restart or stop the timer.
func (a *AttemptDriver) setTimer(s attempt.SetTimer) {
	a.timers[s.Timer].Stop()
	delete(a.timers, s.Timer)
	if s.After <= 0 {
		return
	}
	after := s.After
	if s.Timer == attempt.ResponseTimeout {
		after += 2 * a.dispatcher.Loop.Lag()
	}
	var timer *eventloop.Timer
	timer = a.dispatcher.Loop.After(after, func() {
		a.ReadPending()
		if !a.ended && a.timers[s.Timer] == timer {
			a.execute(a.machine.TimerFired(s.Timer))
		}
	})
	a.timers[s.Timer] = timer
}

func (a *AttemptDriver) openChannel(s attempt.Open) {
	a.closeChannel(s.Channel, (*enginepool.Conn).Discard)
	c := &channel{driver: a, id: s.Channel}
	a.channels[s.Channel] = c
	urgent := s.Channel == attempt.Control
	c.cancelGet = a.pool.Get(a.start.Engine.ID, a.addr, s.Fresh, urgent, c, c.connected)
}

// connected handles the result of Pool.Get.
func (c *channel) connected(conn *enginepool.Conn, err error) {
	a := c.driver
	c.cancelGet = nil
	if err != nil {
		a.execute(a.machine.ConnectFailed(c.id))
		return
	}
	c.conn = conn
	a.dispatcher.ReadPendingInput(a.start.ID)
	if c.closed { // the pending input cancelled the request
		return
	}
	a.execute(a.machine.Connected(c.id, &conn.ProtocolState, func(resend bool) (time.Duration, bool) {
		return a.dispatcher.MaySend(a.start.ID, a.start.Attempt, resend)
	}))
}

// closeChannel stops using a channel: it cancels the pending request for its connection, or calls dispose with the connection.
func (a *AttemptDriver) closeChannel(id attempt.Channel, dispose func(*enginepool.Conn)) {
	c := a.channels[id]
	if c == nil {
		return
	}
	a.channels[id] = nil
	c.closed = true
	switch {
	case c.cancelGet != nil:
		c.cancelGet()
	case c.conn != nil:
		dispose(c.conn)
	}
}

// Data passes received bytes to the machine.
func (c *channel) Data(b []byte) {
	if !c.closed {
		c.driver.execute(c.driver.machine.Received(c.id, b))
	}
}

// Closed reports the loss of the connection to the machine.
func (c *channel) Closed(error) {
	if !c.closed {
		c.conn = nil
		c.driver.execute(c.driver.machine.ConnectionLost(c.id))
	}
}

// parseLoadReport parses a load report such as "inflight:7;util:0.61". It skips fields whose value is not a number.
func parseLoadReport(report string) []core.ReportField {
	if report == "" {
		return nil
	}
	var out []core.ReportField
	for _, part := range strings.Split(report, ";") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), ":")
		if value, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
			out = append(out, core.ReportField{Name: name, Value: value})
		}
	}
	return out
}
