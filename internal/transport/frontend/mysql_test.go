package frontend

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"frostpier/internal/transport/dispatcher"
)

// The connection of a client that does not log in is closed after the login timeout, which frees its descriptor.
func TestMySQLLoginTimeoutClosesConnection(t *testing.T) {
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l := NewMySQLListener(dispatcher.New(loop, nil, p, log), p, log, MySQLConfig{Listen: "127.0.0.1:0", MaxConns: 1})
	l.loginTimeout = 20 * time.Millisecond
	var addr string
	loop.Do(func() {
		if err := l.Listen(); err != nil {
			t.Error(err)
		}
		addr = l.Addr().String()
	})
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	greeting, err := io.ReadAll(nc) // until the connection is closed
	if err != nil || len(greeting) == 0 || greeting[4] != 10 {
		t.Fatalf("read %q and error %v, want a greeting of protocol version 10 and EOF", greeting, err)
	}
	loop.Do(func() {
		if len(l.open) != 0 {
			t.Error("the closed connection still counts as open")
		}
		l.StopAccepting()
	})
}
