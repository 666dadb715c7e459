package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the network path to one engine: a listener at the address that the bulletin gives, which forwards to the engine. A
// cut link is silent: open connections stay open, what is sent on them does not arrive, and new connections never come up.
// After the cut, TCP does what it always does: each side retransmits what was not acknowledged, at its next retransmission. A
// side that has aborted its connection meanwhile (RST) retransmits nothing.
type link struct {
	addr   string
	target string
	ln     *net.TCPListener

	plugs  []net.Conn // connections that fill the queue of the listener during a cut
	filled chan bool  // whether they did

	mu     sync.Mutex
	cut    bool
	healed chan struct{} // closed at the end of the cut
	ports  map[string]bool
}

// acceptWait is how long the listener waits for a connection before it looks whether the link is cut.
const acceptWait = 20 * time.Millisecond

// firstRetransmission is the first retransmission time-out of Linux on a fast path; it doubles with each retransmission.
const firstRetransmission = 200 * time.Millisecond

func startLink(target string) (*link, error) {
	ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	l := &link{addr: ln.Addr().String(), target: target, ln: ln, ports: map[string]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		_ = l.ln.SetDeadline(time.Now().Add(acceptWait))
		l.mu.Lock()
		cut := l.cut
		l.mu.Unlock()
		if cut {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c, err := l.ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l.mu.Lock()
		plug := l.ports[c.RemoteAddr().String()]
		l.mu.Unlock()
		if plug {
			_ = c.Close()
			continue
		}
		go l.forward(c)
	}
}

// backlog sets the length of the listener's queue.
func (l *link) backlog(n int) {
	if raw, err := l.ln.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

// startCut cuts the link. The queue of the listener is filled, so that the handshake of a new connection never completes.
func (l *link) startCut() {
	l.mu.Lock()
	l.cut, l.healed = true, make(chan struct{})
	l.mu.Unlock()
	l.filled = make(chan bool, 1)
	go func() { l.filled <- l.fill() }()
}

// fill fills the queue of the listener, and reports whether it is full.
func (l *link) fill() bool {
	time.Sleep(acceptWait) // the last Accept has returned
	l.backlog(0)
	for range 8 {
		c, err := net.DialTimeout("tcp4", l.addr, 100*time.Millisecond)
		if err != nil {
			return true // full: new connections no longer come up
		}
		l.mu.Lock()
		l.ports[c.LocalAddr().String()] = true
		l.mu.Unlock()
		l.plugs = append(l.plugs, c)
	}
	return false
}

// endCut ends the cut, and reports whether the queue of the listener was full during it.
func (l *link) endCut() (filled bool) {
	filled = <-l.filled
	l.backlog(128)
	for _, c := range l.plugs {
		_ = c.Close()
	}
	l.plugs = nil
	l.mu.Lock()
	l.cut = false
	close(l.healed)
	l.mu.Unlock()
	return filled
}

// state reports whether the link is cut, and the channel that is closed at the end of the cut.
func (l *link) state() (bool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.healed
}

func (l *link) forward(a *net.TCPConn) {
	b, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = a.SetLinger(0)
		_ = a.Close()
		return
	}
	up := b.(*net.TCPConn)
	go l.copy(up, a)
	l.copy(a, up)
}

// segment is what one side has sent and the other has not received.
type segment struct {
	data []byte
	sent time.Time
	end  error // io.EOF: the side has closed; another error: it has aborted the connection
}

// copy carries what one side sends to the other. What is sent during a cut is delivered at the first retransmission after it,
// unless its sender aborts the connection before that.
func (l *link) copy(from, to *net.TCPConn) {
	segments := make(chan segment, 1000)
	aborted := make(chan struct{})
	go func() {
		defer close(segments)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				segments <- segment{data: buf[:n], sent: time.Now()}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					close(aborted)
				}
				segments <- segment{sent: time.Now(), end: err}
				return
			}
		}
	}()
	for s := range segments {
		if !l.carry(s, aborted) {
			continue
		}
		switch {
		case s.end == nil:
			if _, err := to.Write(s.data); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
			}
		case errors.Is(s.end, io.EOF):
			_ = to.CloseWrite()
		default:
			_ = to.SetLinger(0)
			_ = to.Close()
		}
	}
}

// carry waits until a segment gets through, and reports whether it does.
func (l *link) carry(s segment, aborted chan struct{}) bool {
	wait := firstRetransmission
	for due := s.sent; ; {
		cut, healed := l.state()
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-aborted:
			return s.end != nil && !errors.Is(s.end, io.EOF)
		}
		for !due.After(time.Now()) { // the first retransmission after the cut
			due = due.Add(wait)
			wait *= 2
		}
		time.Sleep(time.Until(due))
	}
}
