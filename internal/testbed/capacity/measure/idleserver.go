package measure

import (
	"net"
	"sync"
)

// idleServer accepts connections and keeps them open without reading.
type idleServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn // guarded by mu
}

func newIdleServer() (*idleServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &idleServer{listener: listener}
	go s.accept()
	return s, nil
}

// accept accepts connections until the listener is closed.
func (s *idleServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
	}
}

func (s *idleServer) addr() string { return s.listener.Addr().String() }

// count returns how many connections were accepted.
func (s *idleServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// close ends the server. Its measurement is over, so errors do not matter.
func (s *idleServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	closeAll(s.conns)
}
