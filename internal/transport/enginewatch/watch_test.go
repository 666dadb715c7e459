package enginewatch

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"frostpier/internal/protocol/discovery"
	"frostpier/internal/transport/eventloop/eventlooptest"
)

// startSilentServer starts a discovery server that never responds. It sends each request line on requests, and at the end of the connection
// on closed.
func startSilentServer(t *testing.T) (addr string, requests, closed chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests, closed = make(chan string, 16), make(chan string, 16)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(nc)
				line, err := r.ReadString('\n')
				if err == nil {
					requests <- line
					io.Copy(io.Discard, r)
				}
				closed <- line
			}()
		}
	}()
	return ln.Addr().String(), requests, closed
}

// SetServer stops whatever the watch is doing for the previous server, whether it is dialing, in a backoff or connected, so that there is
// never more than one connection.
func TestSetServerReplacesPreviousWatch(t *testing.T) {
	loop := eventlooptest.Start(t)
	first, firstRequests, firstClosed := startSilentServer(t)
	second, secondRequests, secondClosed := startSilentServer(t)
	w := New(loop, nil, slog.New(slog.NewTextHandler(io.Discard, nil)), "", &discovery.Stream{})
	loop.Do(func() {
		w.SetServer(first) // the dial is cancelled at once
		w.SetServer(second)
	})
	if line := <-secondRequests; line != "after 0\n" {
		t.Fatalf("watch request is %q, want %q", line, "after 0\n")
	}
	loop.Do(func() {
		w.Reconnect() // starts the backoff before the second server is dialed again
		w.SetServer(first)
	})
	<-secondClosed
	<-firstRequests
	loop.Do(func() { w.SetServer(second) })
	<-firstClosed
	<-secondRequests
	time.Sleep(2 * retryBackoff) // long enough for a retry timer that was not stopped to expire
	if len(firstRequests) > 0 || len(secondRequests) > 0 {
		t.Fatal("the watch opened more than one connection")
	}
	loop.Do(func() { w.SetServer("") })
}
