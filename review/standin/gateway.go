package main

import (
	"bufio"
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
const siteSettings = `{"classes":[
{"aim_stretch":2.0,"give_up":4000000000,"group":"all","late_value":0.1,"name":"lookup","objective":800000000,"repeat":"retryable","stream":false,"window":5000000000,"worth":1.0},
{"aim_stretch":2.5,"give_up":15000000000,"group":"all","late_value":0.4,"name":"report","objective":3000000000,"repeat":"retryable","stream":false,"window":5000000000,"worth":10.0},
{"aim_stretch":2.5,"give_up":20000000000,"group":"all","late_value":0.6,"name":"form-load","objective":4000000000,"repeat":"dedup","stream":false,"window":12000000000,"worth":8.0}],
"clients":{"marks_retry":true},
"costs":{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.05,"membership_mode":0.0,"moves":0.0,"origin":0.0,"peer":0.012,"probe":0.0,"waste":0.057},
"domain_type":"queries",
"family_info":{"cores_by_kind":[12,8],"cost_in_answers":false,"grant_cap":0.4,"is_load":[false,false,true],"overbooked":"overcommit","report_x0":"share of memory granted","report_x1":"share of disks busy","size_mb":[24576.0,16384.0],"takes_grants":false,"takes_priority":false,"tells_every":1000000000,"threads_by_class":[1,4,2],"waits_for_loads":[false,false,false]},
"goal":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.2},
"membership_mode":"pushed","models":["large-12c","small-8c"],"over_share_worth":0.1,
"permissions":{"attempts_cap":4,"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"max_open":20000,"max_retry_after":500000000,"parallel_tries":false,"peer_messages":true,"probes":false,"retry_after":false,"streams_per_conn":32},
"report":{"fields":["queue","inflight","x0","x1"],"via":"answers"},
"rules":{"answer_slack":20000000,"cold_share":0.31,"drain_grace":2000000000,"extra_share":0.1,"fall":2000000000,"fall_multiple":3.0,"free_resends":2.0,"must_ask_in":10000000000,"ratio_span":5000000000,"warm_after":14000000000},
"self_index":0,"siblings":1,"tenants":[],"tick":5000000,"tier":0,"tiers":["query-fleet"],"value_by":"request","weights":"rough","zone":0,"zones":["reykjavik-dc1"]}`

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
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
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
