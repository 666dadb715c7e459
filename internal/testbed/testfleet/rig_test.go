package testfleet

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// Each datagram arrives from its sender's face; loss, doubles and cuts hold for the ordered pair alone.
func TestRelayKeepsPairsApart(t *testing.T) {
	addr := netip.MustParseAddr("127.0.0.1")
	held, listen, err := hold(addr, 3)
	if err != nil {
		t.Fatal(err)
	}
	defer release(held)
	r, err := NewRelay(addr, listen, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	faces := r.Faces()
	send := func(from, to int, text string) {
		if _, err := held[from].WriteToUDPAddrPort([]byte(text), faces[to]); err != nil {
			t.Fatal(err)
		}
	}
	get := func(at int) (string, netip.AddrPort) {
		buf := make([]byte, 100)
		held[at].SetReadDeadline(time.Now().Add(10 * time.Second))
		n, from, err := held[at].ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal(err)
		}
		return string(buf[:n]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	}
	expect := func(at, from int, text string) {
		t.Helper()
		if got, addr := get(at); got != text || addr != faces[from] {
			t.Fatalf("at %d: %q from %v, want %q from %v", at, got, addr, text, faces[from])
		}
	}
	passed := func(n int) {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			if k, _ := r.Sent(0); k == n {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("the relay has not passed %d datagrams", n)
			}
		}
	}
	send(0, 1, "a")
	expect(1, 0, "a")
	r.Set(0, 1, Link{Cut: true})
	send(0, 1, "lost")
	passed(2)
	send(1, 0, "the other way")
	expect(0, 1, "the other way")
	send(2, 1, "another pair") // had the first passed, it would come before this one
	expect(1, 2, "another pair")
	r.Set(0, 1, Link{Double: 1})
	send(0, 1, "twice")
	expect(1, 0, "twice")
	expect(1, 0, "twice")
	r.DropOutbound(0, true)
	send(0, 1, "outbound")
	passed(4) // what becomes of a datagram is decided when the relay reads it
	r.Heal()
	r.Side(2, 1)
	send(0, 2, "cut off")
	passed(5)
	send(0, 1, "healed")
	expect(1, 0, "healed")
	if n, b := r.Sent(0); n != 6 || b != len("a")+len("lost")+len("twice")+len("outbound")+len("cut off")+len("healed") {
		t.Errorf("0 sent %d datagrams, %d bytes", n, b)
	}
	stranger, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(faces[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("x"))
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, foreign := r.Longest(); foreign == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the stranger's datagram was not counted")
		}
	}
}

func TestScenarioErrorsNameTheKey(t *testing.T) {
	const good = "name = \"x\"\ngateways = 5\n[[step]]\ndo = \"kill\"\ncount = 2\n"
	if _, err := ParseScenario([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for key, text := range map[string]string{
		"gateways": "gateways = 1\n[[step]]\ndo = \"kill\"\n",
		"no step":  "gateways = 5\n",
		"loss":     "gateways = 5\n[network]\nloss = 1.0\n[[step]]\ndo = \"kill\"\n",
		"do":       "gateways = 5\n[[step]]\ndo = \"explode\"\n",
		"for_s":    "gateways = 5\n[[step]]\ndo = \"pause\"\n",
		"numbers":  "gateways = 5\n[[step]]\ndo = \"kill\"\ngateways = [5]\n",
		"be left":  "gateways = 5\n[[step]]\ndo = \"kill\"\ncount = 5\n",
		"network":  "gateways = 5\n[[step]]\ndo = \"network\"\n",
		"unknown":  good + "fro_s = 3\n",
		"step 1":   "gateways = 5\n[[step]]\ndo = \"kill\"\nrepeat = -1\n",
	} {
		if _, err := ParseScenario([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
