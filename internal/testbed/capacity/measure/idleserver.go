package measure

import (
	"net"
	"sync"
)

// idleServer accepts connections and keeps them open without reading from them.
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

// count returns the number of accepted connections.
func (s *idleServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// close closes the listener and all connections. It ignores errors, because the measurement is complete.
func (s *idleServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	closeAll(s.conns)
}
