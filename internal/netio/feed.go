package netio

import (
	"log/slog"
	"net"
	"time"

	"frostpier/internal/bulletin"
)

const (
	feedDial    = time.Second
	feedAgain   = 200 * time.Millisecond
	feedSilence = 3500 * time.Millisecond // the bulletin speaks every second
	feedQueue   = 1 << 10
)

// Feed follows the bulletin.
type Feed struct {
	gateway *Gateway
	log     *slog.Logger
	addr    string
	stream  *bulletin.Stream
	conn    *Conn
	silence *Timer
}

// NewFeed makes a Feed that goes on behind what the stream knows.
func NewFeed(g *Gateway, log *slog.Logger, addr string, stream *bulletin.Stream) *Feed {
	return &Feed{gateway: g, log: log, addr: addr, stream: stream}
}

// Connect dials and asks; it is called on the loop.
func (f *Feed) Connect() {
	go func() {
		nc, err := net.DialTimeout("tcp", f.addr, feedDial)
		f.gateway.Loop.Post(func() { f.dialed(nc, err) })
	}()
}

func (f *Feed) dialed(nc net.Conn, err error) {
	if err != nil {
		f.log.Warn("bulletin not reached", "error", err)
		f.gateway.Loop.After(feedAgain, f.Connect)
		return
	}
	f.conn = NewConn(f.gateway.Loop, nc, f, feedQueue)
	f.conn.Write(f.stream.Ask())
	f.listen()
}

// listen starts the wait for the next line anew.
func (f *Feed) listen() {
	f.silence.Stop()
	f.silence = f.gateway.Loop.After(feedSilence, func() {
		f.log.Warn("bulletin is silent")
		f.anew()
	})
}

// Data takes events in.
func (f *Feed) Data(b []byte) {
	f.listen()
	events, err := f.stream.Feed(b)
	for _, e := range events {
		f.gateway.Roster(e.Whole, e.Lines)
	}
	if err != nil {
		f.log.Warn("bulletin line not used", "error", err)
		f.anew()
	}
}

// Closed asks again.
func (f *Feed) Closed(err error) {
	f.log.Warn("bulletin connection ended", "error", err)
	f.anew()
}

func (f *Feed) anew() {
	f.silence.Stop()
	f.conn.Close()
	f.gateway.Loop.After(feedAgain, f.Connect)
}
