package frontend

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"frostpier/internal/transport/dispatcher"
)

// A connection whose client never logs in does not hold its descriptor.
func TestMySQLClientThatDoesNotLogInIsClosed(t *testing.T) {
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
	greeting, err := io.ReadAll(nc) // ends with the connection
	if err != nil || len(greeting) == 0 || greeting[4] != 10 {
		t.Fatalf("%q, %v", greeting, err)
	}
	loop.Do(func() {
		if len(l.open) != 0 {
			t.Error("the connection still counts")
		}
		l.StopAccepting()
	})
}
