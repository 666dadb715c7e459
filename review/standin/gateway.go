package main

import (
	"bufio"
	_ "embed" // the settings
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// siteSettings are the settings of the wire page's example, for one workload manager.
//
//go:embed settings.json
var siteSettings string

// gateway is one workload manager, started by the command `run` of the deploy file.
type gateway struct {
	addr string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// gatewayConfig is what differs from case to case.
type gatewayConfig struct {
	root, temp, caseDir string
	bulletin            *bulletin
	memoryMB, sockets   int
	operator            string // text of an operator's file; empty = the command's own
}

// runCommand reads the command `run` from deploy/balancer.toml.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run")
}

func freePort(network string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return ""
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer ln.Close()
	return ln.Addr().String()
}

func startGateway(c gatewayConfig) (*gateway, error) {
	command, err := runCommand(c.root)
	if err != nil {
		return nil, err
	}
	if c.operator != "" { // the same command with another operator's file
		path := filepath.Join(c.temp, "operator.toml")
		if err := os.WriteFile(path, []byte(c.operator), 0o600); err != nil {
			return nil, err
		}
		command = strings.Replace(command, "deploy/platform.toml", path, 1)
	}
	addr, peer := freePort("tcp"), freePort("udp")
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": addr, "seed": "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"peer_listen": peer, "peers": []string{peer}, "bulletin": c.bulletin.addr, "known": c.bulletin.known(),
		"settings": json.RawMessage(siteSettings),
	})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(c.temp, "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.caseDir, "gateway.log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = c.root
	cmd.Env = append(os.Environ(), "GW_CONFIG="+config, "GW_NAME=n0", "GW_LISTEN="+addr, "FROSTPIER_DEBUG="+os.Getenv("FROSTPIER_DEBUG"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	g := &gateway{addr: addr, cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		close(g.done)
	}()
	if err := g.waitServing(30 * time.Second); err != nil {
		g.stop()
		return nil, err
	}
	return g, nil
}

// waitServing waits until the workload manager answers `ping` with "serving":true.
func (g *gateway) waitServing(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", g.addr, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, `{"jsonrpc":"2.0","id":1,"method":"ping"}`+"\n")
		line, _ := bufio.NewReader(c).ReadString('\n')
		_ = c.Close()
		if strings.Contains(line, `"serving":true`) {
			return nil
		}
	}
	return fmt.Errorf("the workload manager does not serve at %s", g.addr)
}

// alive reports whether the process is still running.
func (g *gateway) alive() bool {
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	_ = g.cmd.Process.Kill()
	<-g.done
}

// stop ends the process: SIGTERM, and SIGKILL after 5 s.
func (g *gateway) stop() {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.done:
	case <-time.After(5 * time.Second):
		_ = g.cmd.Process.Kill()
		<-g.done
	}
	_ = g.log.Close()
}
