package netio

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"frostpier/internal/bulletin"
)

// asked listens as a bulletin that never answers, and tells what it is asked and when its connections end.
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

// Guards against two feeds at once: whatever the feed does when it is told to follow another bulletin (it dials,
// it waits to dial again, it listens), nothing of that goes on.
func TestFeedFollowsOneBulletin(t *testing.T) {
	loop, _ := pool(t, 1)
	first, firstLines, firstEnds := asked(t)
	second, secondLines, secondEnds := asked(t)
	f := NewFeed(&Gateway{Loop: loop}, slog.New(slog.NewTextHandler(io.Discard, nil)), "", &bulletin.Stream{})
	loop.Do(func() {
		f.Follow(first) // dials, and is told at once to leave that
		f.Follow(second)
	})
	if line := <-secondLines; line != "after 0\n" {
		t.Fatalf("asked %q", line)
	}
	loop.Do(func() {
		f.anew() // waits to dial the second again
		f.Follow(first)
	})
	<-secondEnds
	<-firstLines
	loop.Do(func() { f.Follow(second) })
	<-firstEnds
	<-secondLines
	time.Sleep(2 * feedAgain) // long enough for a wait left behind to show, were there one
	if len(firstLines) > 0 || len(secondLines) > 0 {
		t.Fatal("a second feed was opened")
	}
	loop.Do(func() { f.Follow("") })
}
