package testfleet

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// watcher is a connection that asks for what follows an event.
func watcher(t *testing.T, b *DiscoveryServer, after int) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(conn, "after %d\n", after)
	return bufio.NewReader(conn)
}

// event is the next line that holds an event.
func event(t *testing.T, lines *bufio.Reader) string {
	t.Helper()
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(line, "roster") {
			return line
		}
	}
}

// A watcher that reads nothing delays no other; one that was disconnected gets what it missed, the whole list included.
func TestWatchersAreIndependent(t *testing.T) {
	engines := make([]Engine, 2000)
	for i := range engines {
		engines[i] = Engine{Name: fmt.Sprintf("engine-%d", i), Addr: "127.0.0.1:1", State: "in_service"}
	}
	b, err := NewDiscoveryServer(engines)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	watcher(t, b, 0) // never read
	reading := watcher(t, b, 1)
	for range 20 { // more than a socket's buffers hold
		b.Publish(engines)
	}
	for number := 2; number <= 21; number++ {
		if line := event(t, reading); !strings.HasPrefix(line, fmt.Sprintf(`{"no":%d,`, number)) || strings.Contains(line, `"reset":true`) {
			t.Fatalf("event %d: %.60s", number, line)
		}
	}
	b.Disconnect()
	for _, err := reading.ReadString('\n'); err == nil; {
		_, err = reading.ReadString('\n')
	}
	b.PublishFull(engines[:1])
	if line := event(t, watcher(t, b, 21)); !strings.Contains(line, `"no":22`) || !strings.Contains(line, `"reset":true`) {
		t.Errorf("%.80s", line)
	}
	if sent, _ := b.Traffic(); b.ResourceVersion() != 22 || sent == 0 {
		t.Errorf("last %d, %d bytes", b.ResourceVersion(), sent)
	}
}
