package frontend

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"frostpier/internal/transport/dispatcher"
)

// Guards against connections that never log in and hold a descriptor for good.
func TestMySQLClientThatDoesNotLogInIsClosed(t *testing.T) {
	loop, p := newPool(t, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	f := NewMySQLListener(dispatcher.New(loop, nil, p, log), p, log, MySQLConfig{Listen: "127.0.0.1:0", MostOpen: 1})
	f.loginTimeout = 20 * time.Millisecond
	var addr string
	loop.Do(func() {
		if err := f.Listen(); err != nil {
			t.Error(err)
		}
		addr = f.Addr().String()
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
		if len(f.open) != 0 {
			t.Error("it still counts")
		}
		f.StopAccepting()
	})
}
