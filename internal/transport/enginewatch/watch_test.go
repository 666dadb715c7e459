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

// asked listens as a discovery server that never answers, and reports each request and the end of each connection.
func asked(t *testing.T) (addr string, lines, ends chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	lines, ends = make(chan string, 16), make(chan string, 16)
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
					lines <- line
					io.Copy(io.Discard, r)
				}
				ends <- line
			}()
		}
	}()
	return ln.Addr().String(), lines, ends
}

// Guards against two watches at once: whatever the watch does when it is moved to another server (it dials,
// it waits to dial again, it listens), nothing of that goes on.
func TestWatchFollowsOneServer(t *testing.T) {
	loop := eventlooptest.Start(t)
	first, firstLines, firstEnds := asked(t)
	second, secondLines, secondEnds := asked(t)
	f := New(loop, nil, slog.New(slog.NewTextHandler(io.Discard, nil)), "", &discovery.Stream{})
	loop.Do(func() {
		f.Follow(first) // dials, and is told at once to leave that
		f.Follow(second)
	})
	if line := <-secondLines; line != "after 0\n" {
		t.Fatalf("asked %q", line)
	}
	loop.Do(func() {
		f.reconnect() // waits to dial the second again
		f.Follow(first)
	})
	<-secondEnds
	<-firstLines
	loop.Do(func() { f.Follow(second) })
	<-firstEnds
	<-secondLines
	time.Sleep(2 * watchRetryDelay) // long enough for a wait left behind to show, were there one
	if len(firstLines) > 0 || len(secondLines) > 0 {
		t.Fatal("a second watch was opened")
	}
	loop.Do(func() { f.Follow("") })
}
