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

// corruptEvery is how many results pass for each one that the proxy changes.
const corruptEvery = 50

// The start of a result in a line of the client protocol, as it is and with characters put before the result.
const (
	resultField    = `"blob":"`
	corruptedField = `"blob":"c3Bv`
)

// corruptingProxy stands between the clients and the gateway of this process and changes one result in corruptEvery.
// The gateway's own counters know nothing of it: only the clients can tell.
type corruptingProxy struct {
	listener net.Listener
	gateway  string // the address on which the gateway listens
	results  atomic.Int64
}

// startCorruptingProxy listens on the address of the gateway's configuration and moves the gateway, by GW_LISTEN, to
// another one. The proxy runs until the process ends.
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

// configuredAddr is the address on which the gateway of this process is configured to serve clients.
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

// freeAddr is a loopback address with a TCP port that is free.
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

// proxy connects a client with the gateway until either closes.
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

// copyLines passes the gateway's lines on to the client, some of them changed.
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

// corrupt changes a line that holds a result, if its turn has come.
func (p *corruptingProxy) corrupt(line string) string {
	if !strings.Contains(line, resultField) {
		return line
	}
	if p.results.Add(1)%corruptEvery != 0 {
		return line
	}
	return strings.Replace(line, resultField, corruptedField, 1)
}
