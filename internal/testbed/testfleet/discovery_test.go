package testfleet

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// openWatch opens a watch that starts after the event with this number, and returns its reader.
func openWatch(t *testing.T, server *DiscoveryServer, after int) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(conn, "after %d\n", after)
	return bufio.NewReader(conn)
}

// nextEvent returns the next line that contains an event, skipping heartbeats.
func nextEvent(t *testing.T, lines *bufio.Reader) string {
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

// Checks that a watch that does not read does not delay other watches, and that a watch that reconnects gets the events that it has
// missed, including a complete list.
func TestDiscoveryServerServesWatchesIndependently(t *testing.T) {
	engines := make([]Engine, 2000)
	for i := range engines {
		engines[i] = Engine{Name: fmt.Sprintf("engine-%d", i), Addr: "127.0.0.1:1", State: "in_service"}
	}
	server, err := NewDiscoveryServer(engines)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	openWatch(t, server, 0) // never reads
	reading := openWatch(t, server, 1)
	for range 20 { // more data than the socket buffers hold
		server.Publish(engines)
	}
	for number := 2; number <= 21; number++ {
		if line := nextEvent(t, reading); !strings.HasPrefix(line, fmt.Sprintf(`{"no":%d,`, number)) || strings.Contains(line, `"reset":true`) {
			t.Fatalf("line %.60s, want event %d without a complete list", line, number)
		}
	}
	server.Disconnect()
	for _, err := reading.ReadString('\n'); err == nil; {
		_, err = reading.ReadString('\n')
	}
	server.PublishFull(engines[:1])
	if line := nextEvent(t, openWatch(t, server, 21)); !strings.Contains(line, `"no":22`) || !strings.Contains(line, `"reset":true`) {
		t.Errorf("line %.80s, want event 22 with a complete list", line)
	}
	if sent, _ := server.Traffic(); server.ResourceVersion() != 22 || sent == 0 {
		t.Errorf("resource version %d and %d bytes sent, want version 22 and more than 0 bytes", server.ResourceVersion(), sent)
	}
}
