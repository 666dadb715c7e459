package netio

import (
	"context"
	"log/slog"
	"net"
	"time"

	"frostpier/internal/bulletin"
)

const (
	feedDial    = time.Second
	feedAgain   = 200 * time.Millisecond
	feedSilence = 2500 * time.Millisecond // the bulletin speaks every second; what it tells counts as told 4 s after a stop
	feedQueue   = 1 << 10
)

// Feed follows the bulletin at one address at a time.
type Feed struct {
	gateway *Gateway
	log     *slog.Logger
	addr    string
	stream  *bulletin.Stream
	conn    *Conn
	silence *Timer
	again   *Timer
	undial  func() // gives up the dial under way
	patient time.Duration
}

// NewFeed makes a Feed that goes on behind what the stream knows.
func NewFeed(g *Gateway, log *slog.Logger, addr string, stream *bulletin.Stream) *Feed {
	return &Feed{gateway: g, log: log, addr: addr, stream: stream, patient: feedSilence}
}

// Follow leaves whatever it followed and follows the bulletin at addr, behind the last event that it has. It is
// called on the loop.
func (f *Feed) Follow(addr string) {
	f.leave()
	f.addr = addr
	if addr != "" {
		f.Connect()
	}
}

// Connect dials and asks; it is called on the loop.
func (f *Feed) Connect() {
	f.leave()
	ctx, cancel := context.WithTimeout(context.Background(), feedDial)
	left := false // a dial that was given up may have come through meanwhile: two feeds would mix their lines
	f.undial = func() { left = true; cancel() }
	addr := f.addr
	go func() {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		cancel()
		f.gateway.Loop.Post(func() {
			switch {
			case left && nc != nil:
				nc.Close()
			case !left:
				f.dialed(nc, err)
			}
		})
	}()
}

// leave ends the connection, or the dial or the wait for one.
func (f *Feed) leave() {
	f.silence.Stop()
	f.again.Stop()
	if f.undial != nil {
		f.undial()
		f.undial = nil
	}
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
}

func (f *Feed) dialed(nc net.Conn, err error) {
	f.undial = nil
	if err != nil {
		f.log.Warn("bulletin not reached", "error", err)
		f.anew()
		return
	}
	f.conn = NewConn(f.gateway.Loop, nc, f, feedQueue)
	f.conn.Write(f.stream.Ask())
	f.listen()
}

// listen starts the wait for the next line anew.
func (f *Feed) listen() {
	f.silence.Stop()
	f.silence = f.gateway.Loop.After(f.patient, func() {
		f.log.Warn("bulletin is silent")
		f.anew()
	})
}

// Data takes events in. Only whole lines count as news: one that never ends is silence too.
func (f *Feed) Data(b []byte) {
	before := f.stream.Lines()
	events, err := f.stream.Feed(b)
	for _, e := range events {
		f.gateway.Roster(e.Whole, e.Lines)
	}
	switch {
	case err != nil:
		f.log.Warn("bulletin line not used", "error", err)
		f.anew()
	case f.stream.Lines() != before:
		f.listen()
	}
}

// Closed asks again.
func (f *Feed) Closed(err error) {
	f.log.Warn("bulletin connection ended", "error", err)
	f.anew()
}

func (f *Feed) anew() {
	f.leave()
	f.again = f.gateway.Loop.After(feedAgain, f.Connect)
}
