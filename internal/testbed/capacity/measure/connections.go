package measure

import (
	"context"
	"io"
	"log/slog"
	"net"
	"runtime"
	"syscall"
	"time"

	"frostpier/internal/transport/dispatcher"
	"frostpier/internal/transport/enginepool"
	"frostpier/internal/transport/eventloop"
	"frostpier/internal/transport/frontend"
	"frostpier/policy"
)

// MaxConnections is the maximum number of connections in a measurement. Both ends are in this process, so each connection
// uses two file descriptors.
const MaxConnections = 2500

const (
	reservedDescriptors = 200 // file descriptors for everything but the measured connections
	connectTimeout      = 10 * time.Second
	eventLoopMemory     = 64 << 20               // bytes that the event loop may buffer
	settleDelay         = 200 * time.Millisecond // wait until the goroutines of closed connections have exited
	concurrentConnects  = 50
	maxPingResponse     = 512 // bytes
)

// checkDescriptors returns an error if the number of connections exceeds MaxConnections, or if the process may not open
// enough file descriptors for both ends of them.
func checkDescriptors(connections int) error {
	if connections > MaxConnections {
		return &ConnectionLimitError{Requested: connections, Limit: MaxConnections}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	needed := uint64(2*connections + reservedDescriptors)
	if limit.Cur < needed {
		return &DescriptorLimitError{Needed: needed, Limit: limit.Cur}
	}
	return nil
}

// discardHandler ignores all events of a connection.
type discardHandler struct{}

// Data ignores received data.
func (discardHandler) Data([]byte) {}

// Closed ignores the close of the connection.
func (discardHandler) Closed(error) {}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// startLoop starts an event loop, which runs until stop is called.
func startLoop() (loop *eventloop.Loop, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	loop = eventloop.New(time.Now(), eventLoopMemory)
	go loop.Run(ctx)
	return loop, cancel
}

// EngineConnectionMemory returns the memory use in bytes of an idle connection of an enginepool.Pool, as the mean over the
// given number of connections. It includes the heap and the stacks of both ends, but not kernel memory.
func EngineConnectionMemory(connections int) (float64, error) {
	if err := checkDescriptors(connections); err != nil {
		return 0, err
	}
	server, err := newIdleServer()
	if err != nil {
		return 0, err
	}
	defer server.close()
	loop, stop := startLoop()
	defer stop()
	pool := enginepool.New(loop, discardLogger(), connectTimeout, time.Hour, enginepool.Budget{Max: connections, Urgent: 1})
	time.Sleep(settleDelay)
	before := liveMemory()
	if err := openIdleConnections(loop, pool, server, connections); err != nil {
		return 0, err
	}
	after := liveMemory()
	loop.Do(func() {
		for i := range connections {
			pool.Invalidate(policy.EngineID(i))
		}
	})
	return (after - before) / float64(connections), nil
}

// openIdleConnections opens connections, releases them to the pool, and waits until the server has accepted all of them.
func openIdleConnections(loop *eventloop.Loop, pool *enginepool.Pool, server *idleServer, connections int) error {
	conns, err := openConnections(loop, pool, server.addr(), connections)
	if err != nil {
		return err
	}
	loop.Do(func() {
		for _, conn := range conns {
			conn.Release()
		}
	})
	return waitFor(func() bool { return server.count() == connections })
}

// openConnections opens one connection to each of the given number of engines, which share one address. It opens up to
// concurrentConnects connections at a time.
func openConnections(loop *eventloop.Loop, pool *enginepool.Pool, addr string, connections int) ([]*enginepool.Conn, error) {
	type result struct {
		conn *enginepool.Conn
		err  error
	}
	results := make(chan result, concurrentConnects)
	var conns []*enginepool.Conn
	for from := 0; from < connections; from += concurrentConnects {
		count := min(concurrentConnects, connections-from)
		loop.Do(func() {
			for i := range count {
				pool.Get(policy.EngineID(from+i), addr, true, false, discardHandler{}, func(conn *enginepool.Conn, err error) {
					results <- result{conn, err}
				})
			}
		})
		for range count {
			r := <-results
			if r.err != nil {
				return nil, r.err
			}
			conns = append(conns, r.conn)
		}
	}
	return conns, nil
}

// ClientConnectionMemory returns the memory use in bytes of a client connection of a frontend.PlatformListener that is idle
// after its first request, as the mean over the given number of connections. It includes the heap and the stacks of both
// ends, but not kernel memory.
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
	listener := frontend.NewPlatformListener(gateway, discardLogger(), 2*connections, eventLoopMemory)
	addr, err := listenOnFreePort(listener)
	if err != nil {
		return 0, err
	}
	defer loop.Do(func() { listener.Stop(func() {}) })
	time.Sleep(settleDelay)
	before := liveMemory()
	conns, err := openClients(addr, connections)
	defer closeAll(conns)
	if err != nil {
		return 0, err
	}
	after := liveMemory()
	runtime.KeepAlive(listener)
	return (after - before) / float64(connections), nil
}

// listenOnFreePort starts the listener on a free port of the loopback interface and returns the address.
func listenOnFreePort(listener *frontend.PlatformListener) (string, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := free.Addr().String()
	if err := free.Close(); err != nil {
		return "", err
	}
	return addr, listener.Serve(addr)
}

// openClients opens connections and completes one ping request on each. On an error it also returns the connections that
// are already open.
func openClients(addr string, connections int) (conns []net.Conn, err error) {
	response := make([]byte, maxPingResponse)
	for range connections {
		conn, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			return conns, err
		}
		conns = append(conns, conn)
		if err := ping(conn, response); err != nil {
			return conns, err
		}
	}
	return conns, nil
}

// ping sends a ping request and reads the response into the given buffer.
func ping(conn net.Conn, response []byte) error {
	if err := conn.SetDeadline(time.Now().Add(connectTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, `{"jsonrpc":"2.0","id":"1","method":"ping"}`+"\n"); err != nil {
		return err
	}
	_, err := conn.Read(response)
	return err
}

// closeAll closes connections. It ignores errors, because the measurement is complete.
func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// waitFor waits until a condition holds. It returns errConnectTimeout after connectTimeout.
func waitFor(condition func() bool) error {
	for deadline := time.Now().Add(connectTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return errConnectTimeout
		}
	}
	return nil
}
