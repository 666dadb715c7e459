package hollow

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// scriptedSocket reads datagrams from a list of senders and records the receivers of written datagrams.
type scriptedSocket struct {
	from    []netip.AddrPort
	written []netip.AddrPort
}

func (s *scriptedSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	if len(s.from) == 0 {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	from := s.from[0]
	s.from = s.from[1:]
	return 1, from, nil
}

func (s *scriptedSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.written = append(s.written, to)
	return len(b), nil
}

func (s *scriptedSocket) Close() error { return nil }

// Checks that during a partition only datagrams within a region are sent and received, and that afterwards all are.
func TestPartitionSocketDropsDatagramsBetweenRegions(t *testing.T) {
	self, near, far := netip.MustParseAddrPort("127.1.0.1:1"), netip.MustParseAddrPort("127.1.0.1:2"), netip.MustParseAddrPort("127.1.0.1:3")
	inner := &scriptedSocket{from: []netip.AddrPort{far, near, far}}
	partition := &regions{byMember: []int{0, 0, 1}}
	socket := &partitionSocket{Socket: inner, regions: partition, self: 0, members: map[netip.AddrPort]int{self: 0, near: 1, far: 2}}
	partition.partitioned.Store(true)
	for _, to := range []netip.AddrPort{near, far} {
		if n, err := socket.WriteToUDPAddrPort([]byte("x"), to); n != 1 || err != nil {
			t.Errorf("write to %v: %d bytes, error %v; want 1 byte and no error, even if the datagram is dropped", to, n, err)
		}
	}
	if len(inner.written) != 1 || inner.written[0] != near {
		t.Errorf("datagrams were sent to %v, want only one to %v in the same region", inner.written, near)
	}
	if _, from, err := socket.ReadFromUDPAddrPort(nil); from != near || err != nil {
		t.Errorf("received a datagram from %v, error %v; want one from %v", from, err, near)
	}
	partition.partitioned.Store(false)
	if _, from, err := socket.ReadFromUDPAddrPort(nil); from != far || err != nil {
		t.Errorf("after the partition healed, received a datagram from %v, error %v; want one from %v", from, err, far)
	}
}

// roundTrip sends a request to an engine over a new connection and returns the response's status and body.
func roundTrip(t *testing.T, addr, method, path, id string) (int, string) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nX-Hop-Id: %s\r\nContent-Length: 0\r\n\r\n", method, path, id)
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || !strings.HasPrefix(answer.Header.Get("X-Report"), "queue:0;inflight:") {
		t.Fatalf("response headers %v, error %v; want a load report in X-Report", answer.Header, err)
	}
	return answer.StatusCode, string(body)
}

// Checks that an engine answers a statement after its delay and earlier polls with status 202, that it removes a cancelled
// statement, and that it listens on the same address when it is reopened.
func TestEngineRespondsAfterDelayAndReopens(t *testing.T) {
	var served atomic.Int64
	const delay = 400 * time.Millisecond
	e, err := newEngine("127.0.0.1:0", delay, &served)
	if err != nil {
		t.Fatal(err)
	}
	defer e.close()
	began := time.Now()
	if status, _ := roundTrip(t, e.addr, "POST", "/v2/q", "a"); status != http.StatusAccepted {
		t.Errorf("status %d for a running statement, want 202", status)
	}
	for status, body := 0, ""; status != http.StatusOK; {
		status, body = roundTrip(t, e.addr, "GET", "/v2/q/a/0", "")
		if status == http.StatusOK && body != "row\ta\tof 1\n" {
			t.Errorf("got result %q", body)
		}
		if time.Since(began) > 20*time.Second {
			t.Fatal("the statement did not end")
		}
	}
	if passed := time.Since(began); passed < delay || served.Load() != 1 {
		t.Errorf("answered after %v, %d results served; want at least %v and one result", passed, served.Load(), delay)
	}
	if status, _ := roundTrip(t, e.addr, "DELETE", "/v2/q/a", ""); status != http.StatusNoContent {
		t.Errorf("status %d for the cancellation of a statement, want 204", status)
	}
	if status, _ := roundTrip(t, e.addr, "GET", "/v2/q/a/0", ""); status != http.StatusInternalServerError {
		t.Errorf("status %d for an unknown statement, want 500", status)
	}
	addr := e.addr
	e.close()
	if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
		conn.Close()
		t.Error("a closed engine accepts connections")
	}
	if err := e.open(); err != nil || e.addr != addr {
		t.Fatalf("reopened engine listens on %s, error %v; want the previous address %s", e.addr, err, addr)
	}
	if status, _ := roundTrip(t, addr, "POST", "/v2/q", "b"); status != http.StatusAccepted {
		t.Errorf("status %d after the engine was reopened, want 202", status)
	}
}

// Checks that a gateway host rejects commands for unknown members, returns without an error at the end of its input, and returns an
// error for a truncated message.
func TestGatewayHostRejectsUnknownMembers(t *testing.T) {
	g := newGatewayHost(GatewaySetup{Members: []Member{{Number: 3}}})
	if reply := g.execute(GatewayCommand{Start: []int{4}}); !strings.Contains(reply.Error, ErrUnknownMember.Error()) {
		t.Errorf("start of an unknown member: reply %+v, want the error %q", reply, ErrUnknownMember)
	}
	if err := ServeGateways(strings.NewReader(`{"fleet":"x"}`+"\n"), io.Discard); err != nil {
		t.Errorf("at the end of the input: error %v, want none", err)
	}
	if err := ServeGateways(strings.NewReader("{"), io.Discard); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated message: error %v, want io.ErrUnexpectedEOF", err)
	}
}
