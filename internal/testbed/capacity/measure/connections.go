package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/frontend"
	"frostpier/policy"
)

// Bounds of the connection measurements: both ends are in this process, so each connection takes two descriptors.
const (
	MaxConnections      = 2500
	reservedDescriptors = 200
	connectTimeout      = 10 * time.Second
	eventLoopMemory     = 64 << 20
	settleDelay         = 200 * time.Millisecond // in which goroutines of closed connections end
)

var (
	errDescriptors    = errors.New("not enough descriptors for the connection measurement")
	errConnections    = fmt.Errorf("more than %d connections", MaxConnections)
	errConnectTimeout = errors.New("connections did not come up in time")
)

// checkDescriptors refuses what the process may not open.
func checkDescriptors(connections int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	need := uint64(2*connections + reservedDescriptors)
	switch {
	case connections > MaxConnections:
		return errConnections
	case limit.Cur < need:
		return fmt.Errorf("%w: %d needed, the limit is %d", errDescriptors, need, limit.Cur)
	}
	return nil
}

// idleServer accepts connections and holds them, reading nothing.
type idleServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func newIdleServer() (*idleServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ends := &idleServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			ends.mu.Lock()
			ends.conns = append(ends.conns, conn)
			ends.mu.Unlock()
		}
	}()
	return ends, nil
}

func (e *idleServer) addr() string { return e.listener.Addr().String() }

func (e *idleServer) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

func (e *idleServer) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		conn.Close()
	}
}

// discardHandler ignores what a connection brings.
type discardHandler struct{}

func (discardHandler) Data([]byte)  {}
func (discardHandler) Closed(error) {}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startLoop is a loop that ends with the returned function.
func startLoop() (*eventloop.Loop, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	loop := eventloop.New(time.Now(), eventLoopMemory)
	go loop.Run(ctx)
	return loop, cancel
}

// EngineConnectionMemory is the memory of one idle connection of enginepool.Pool, in bytes, over so many of them: heap and
// stacks of both ends; what the kernel holds is not in it.
func EngineConnectionMemory(connections int) (float64, error) {
	if err := checkDescriptors(connections); err != nil {
		return 0, err
	}
	ends, err := newIdleServer()
	if err != nil {
		return 0, err
	}
	defer ends.close()
	loop, stop := startLoop()
	defer stop()
	pool := enginepool.New(loop, discardLogger(), connectTimeout, time.Hour, enginepool.Budget{Most: connections, Urgent: 1})
	time.Sleep(settleDelay)
	before := liveMemory()
	links, err := openConnections(loop, pool, ends.addr(), connections)
	if err != nil {
		return 0, err
	}
	loop.Do(func() {
		for _, link := range links {
			link.Release()
		}
	})
	if err := waitFor(func() bool { return ends.count() == connections }); err != nil {
		return 0, err
	}
	after := liveMemory()
	loop.Do(func() {
		for i := range connections {
			pool.Forget(policy.EngineID(i))
		}
	})
	return (after - before) / float64(connections), nil
}

// openConnections opens a connection to each of so many engines, a few at a time.
func openConnections(loop *eventloop.Loop, pool *enginepool.Pool, addr string, connections int) ([]*enginepool.Conn, error) {
	type opened struct {
		link *enginepool.Conn
		err  error
	}
	const together = 50
	came := make(chan opened, together)
	var links []*enginepool.Conn
	for from := 0; from < connections; from += together {
		count := min(together, connections-from)
		loop.Do(func() {
			for i := range count {
				pool.Get(policy.EngineID(from+i), addr, true, false, discardHandler{}, func(link *enginepool.Conn, err error) {
					came <- opened{link, err}
				})
			}
		})
		for range count {
			one := <-came
			if one.err != nil {
				return nil, one.err
			}
			links = append(links, one.link)
		}
	}
	return links, nil
}

// ClientConnectionMemory is the memory of one client connection of frontend.PlatformListener that has asked and rests, in bytes:
// heap and stacks of both ends; what the kernel holds is not in it.
func ClientConnectionMemory(connections int) (float64, error) {
	if err := checkDescriptors(connections); err != nil {
		return 0, err
	}
	loop, stop := startLoop()
	defer stop()
	gatewayCore, err := newCore()
	if err != nil {
		return 0, err
	}
	gateway := dispatcher.New(loop, gatewayCore, nil, discardLogger())
	clients := frontend.NewPlatformListener(gateway, discardLogger(), 2*connections, eventLoopMemory)
	addr, err := listenOnFreePort(clients)
	if err != nil {
		return 0, err
	}
	defer loop.Do(func() { clients.Stop(func() {}) })
	time.Sleep(settleDelay)
	before := liveMemory()
	open, err := openClients(addr, connections)
	defer func() {
		for _, conn := range open {
			conn.Close()
		}
	}()
	if err != nil {
		return 0, err
	}
	after := liveMemory()
	runtime.KeepAlive(clients)
	return (after - before) / float64(connections), nil
}

// listenOnFreePort has the front listen at a free address.
func listenOnFreePort(clients *frontend.PlatformListener) (string, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := free.Addr().String()
	free.Close()
	return addr, clients.Serve(addr)
}

// openClients opens connections on each of which one ping was answered.
func openClients(addr string, connections int) (open []net.Conn, err error) {
	answer := make([]byte, 512)
	for range connections {
		conn, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			return open, err
		}
		open = append(open, conn)
		conn.SetDeadline(time.Now().Add(connectTimeout))
		if _, err := io.WriteString(conn, `{"jsonrpc":"2.0","id":"1","method":"ping"}`+"\n"); err != nil {
			return open, err
		}
		if _, err := conn.Read(answer); err != nil {
			return open, err
		}
	}
	return open, nil
}

// waitFor waits until something holds, for connectWait at most.
func waitFor(holds func() bool) error {
	for end := time.Now().Add(connectTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errConnectTimeout
		}
	}
	return nil
}
