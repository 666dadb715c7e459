package emulator

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"

	"frostpier/internal/settings"
)

// corruptEvery is the interval between corrupted results: the proxy corrupts every 50th.
const corruptEvery = 50

// The start of a result in a line of the client protocol: unchanged, and with characters inserted before the result.
const (
	resultField    = `"blob":"`
	corruptedField = `"blob":"c3Bv`
)

// corruptingProxy relays between clients and the gateway of this process, and corrupts one result in corruptEvery. Only
// clients can detect this fault; it does not change the gateway's counters.
type corruptingProxy struct {
	listener net.Listener
	gateway  string // address on which the gateway listens
	results  atomic.Int64
}

// startCorruptingProxy listens on the gateway's configured address, and sets GW_LISTEN so that the gateway listens on
// another. The proxy runs until the process exits.
func startCorruptingProxy() error {
	public, err := configuredAddr()
	if err != nil {
		return err
	}
	gateway, err := freeAddr()
	if err != nil {
		return err
	}
	if err := os.Setenv("GW_LISTEN", gateway); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", public)
	if err != nil {
		return err
	}
	p := &corruptingProxy{listener: listener, gateway: gateway}
	go p.serve()
	return nil
}

// configuredAddr returns the address for clients in the configuration of this process's gateway.
func configuredAddr() (string, error) {
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return "", err
	}
	var config settings.Config
	if err := json.Unmarshal(text, &config); err != nil {
		return "", err
	}
	return config.Listen, nil
}

// freeAddr returns a loopback address with a free TCP port.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (p *corruptingProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.proxy(client)
	}
}

// proxy relays between a client and the gateway until either closes its connection.
func (p *corruptingProxy) proxy(client net.Conn) {
	defer func() { _ = client.Close() }()
	gateway, err := net.Dial("tcp", p.gateway)
	if err != nil {
		return
	}
	defer func() { _ = gateway.Close() }()
	go func() {
		_, _ = io.Copy(gateway, client)
		_ = gateway.Close()
	}()
	p.copyLines(client, gateway)
}

// copyLines forwards the gateway's lines to the client, and corrupts some of them.
func (p *corruptingProxy) copyLines(client io.Writer, gateway io.Reader) {
	lines := bufio.NewReader(gateway)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(client, p.corrupt(line)); err != nil {
			return
		}
	}
}

// corrupt returns the line of the gateway. In every corruptEvery-th line with a result it corrupts the result.
func (p *corruptingProxy) corrupt(line string) string {
	if !strings.Contains(line, resultField) {
		return line
	}
	if p.results.Add(1)%corruptEvery != 0 {
		return line
	}
	return strings.Replace(line, resultField, corruptedField, 1)
}
