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

// silentServer starts a discovery server that never answers, and reports each request and the end of each connection.
func silentServer(t *testing.T) (addr string, requests, ends chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests, ends = make(chan string, 16), make(chan string, 16)
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
				ends <- line
			}()
		}
	}()
	return ln.Addr().String(), requests, ends
}

// There is one watch at a time: whatever the watch does when it is moved to another server (a dial, a backoff, an open
// connection), none of that goes on.
func TestWatchFollowsOneServer(t *testing.T) {
	loop := eventlooptest.Start(t)
	first, firstRequests, firstEnds := silentServer(t)
	second, secondRequests, secondEnds := silentServer(t)
	w := New(loop, nil, slog.New(slog.NewTextHandler(io.Discard, nil)), "", &discovery.Stream{})
	loop.Do(func() {
		w.SetServer(first) // the dial is cancelled at once
		w.SetServer(second)
	})
	if line := <-secondRequests; line != "after 0\n" {
		t.Fatalf("request %q", line)
	}
	loop.Do(func() {
		w.Reconnect() // starts the backoff before another dial of the second
		w.SetServer(first)
	})
	<-secondEnds
	<-firstRequests
	loop.Do(func() { w.SetServer(second) })
	<-firstEnds
	<-secondRequests
	time.Sleep(2 * retryBackoff) // long enough for a timer that was not stopped to show
	if len(firstRequests) > 0 || len(secondRequests) > 0 {
		t.Fatal("a second watch was opened")
	}
	loop.Do(func() { w.SetServer("") })
}
