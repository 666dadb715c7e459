package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"frostpier/internal/program"
	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testutil"
)

// waitTimeout is how long a test waits for a condition before it fails.
const waitTimeout = 20 * time.Second

// envAsProgram is an environment variable that makes the test binary run as the program instead of running the tests.
const envAsProgram = "FROSTPIER_AS_PROGRAM"

// TestMain runs the tests, or the program if envAsProgram is set.
func TestMain(m *testing.M) {
	if os.Getenv(envAsProgram) == "" {
		os.Exit(m.Run())
	}
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:]))
	}
	if err := serveWithFaults(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
}

// serveWithFaults runs the gateway with the faults that the environment selects, and logs at debug level.
func serveWithFaults() error {
	hooks, err := emulator.FaultHooks()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	return program.Run(ctx, hup, log, hooks)
}

// node is a process of the program.
type node struct {
	t          *testing.T
	cmd        *exec.Cmd
	listen     string
	log        *testutil.LogBuffer
	discovery  *discoveryServer
	configPath string
	config     map[string]any // content of the configuration

	operatorPath string // empty = no operator's file
}

const testSettings = `{"classes":[
{"name":"lookup","objective":800000000,"give_up":4000000000,"repeat":"retryable","worth":1},
{"name":"report","objective":3000000000,"give_up":15000000000,"repeat":"retryable","worth":10},
{"name":"form-load","objective":4000000000,"give_up":20000000000,"repeat":"dedup","group":"all","window":12000000000,"worth":8}],
"family_info":{"cores_by_kind":[12],"threads_by_class":[1,4,2],"is_load":[false,false,true]},"models":["m"],"zones":["z"],
"permissions":{"attempts_cap":4,"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"max_open":20000,"max_retry_after":500000000},
"report":{"fields":["queue","inflight","x0","x1"],"via":"answers"},
"rules":{"answer_slack":20000000,"drain_grace":2000000000,"free_resends":2,"extra_share":0.1,"ratio_span":5000000000},
"siblings":1,"tick":5000000}`

// startNode starts the program with a list of engines and the content of an operator's file; empty means no file.
func startNode(t *testing.T, operator string, engines ...engineEntry) *node {
	t.Helper()
	return startNodeWith(t, operator, func(map[string]any) {}, engines...)
}

// startNodeWith is like startNode, but lets change modify the configuration.
func startNodeWith(t *testing.T, operator string, change func(conf map[string]any), engines ...engineEntry) *node {
	t.Helper()
	n := &node{t: t, listen: freePort(t), log: &testutil.LogBuffer{}, discovery: newDiscoveryServer(t, engines...)}
	dir := t.TempDir()
	n.configPath = filepath.Join(dir, "config.json")
	n.config = map[string]any{"name": "n0", "listen": n.listen, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"bulletin": n.discovery.ln.Addr().String(), "settings": json.RawMessage(testSettings),
		"known": map[string]any{"no": 1, "items": []any{n.discovery.events[0]}}}
	change(n.config)
	n.writeConfig()
	if operator != "" {
		n.operatorPath = filepath.Join(dir, "operator.toml")
		if err := os.WriteFile(n.operatorPath, []byte(operator), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	n.launch()
	n.waitLog("msg=serving")
	return n
}

// launch starts the program and kills it at the end of the test. The test fails if the log shows a panic, a broken invariant or a data
// race.
func (n *node) launch() {
	n.t.Helper()
	n.start()
	t := n.t
	t.Cleanup(func() {
		n.cmd.Process.Kill()
		n.cmd.Wait()
		if log := n.log.String(); strings.Contains(log, "panic") || strings.Contains(log, "invariant broken") ||
			strings.Contains(log, "DATA RACE") {
			t.Errorf("the program's log shows a panic, a broken invariant or a data race:\n%s", log)
		} else if t.Failed() {
			t.Logf("the end of the program's log:\n%s", log[max(0, len(log)-4000):])
		}
	})
}

// start starts the process of the program, also after a previous one has ended.
func (n *node) start() {
	n.t.Helper()
	n.cmd = exec.Command(os.Args[0])
	n.cmd.Env = append(os.Environ(), envAsProgram+"=1", "GW_CONFIG="+n.configPath, "GW_LISTEN="+n.listen)
	if n.operatorPath != "" {
		n.cmd.Env = append(n.cmd.Env, "FROSTPIER_OPERATOR="+n.operatorPath)
	}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
}

// writeConfig writes the configuration file.
func (n *node) writeConfig() {
	n.t.Helper()
	text, err := json.Marshal(n.config)
	if err != nil {
		n.t.Fatal(err)
	}
	if err := os.WriteFile(n.configPath, text, 0o600); err != nil {
		n.t.Fatal(err)
	}
}

// waitLog waits until the log contains a text.
func (n *node) waitLog(text string) {
	n.t.Helper()
	waitFor(n.t, "log line "+text, func() bool { return strings.Contains(n.log.String(), text) })
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// engineEntry is an entry of the engine list, as encoded by the discovery server.
type engineEntry struct {
	Name        string `json:"instanceId"`
	Addr        string `json:"hostPort"`
	Zone        string `json:"zone"`
	MachineType string `json:"machineType"`
	State       string `json:"lifecycle"`
}

// engineInService returns the entry of an engine in service.
func engineInService(name, addr string) engineEntry {
	return engineEntry{name, addr, "z", "m", "in_service"}
}

// discoveryServer is a fake of the platform's discovery server.
type discoveryServer struct {
	ln       net.Listener
	mu       sync.Mutex
	events   []map[string]any
	conns    []net.Conn
	requests []string // first line received on each connection
}

func newDiscoveryServer(t *testing.T, engines ...engineEntry) *discoveryServer {
	t.Helper()
	f := &discoveryServer{events: []map[string]any{event(1, engines)}}
	f.ln = serveTCP(t, f.serve)
	return f
}

// serveTCP listens on a free port and serves each connection on its own goroutine.
func serveTCP(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return ln
}

// event returns a discovery event with a list of engines.
func event(no int, engines []engineEntry) map[string]any {
	return map[string]any{"no": no, "roster": map[string]any{"generation": no, "reset": false, "instances": engines}}
}

func (f *discoveryServer) serve(nc net.Conn) {
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, strings.TrimSpace(line))
	after := 0
	fmt.Sscanf(line, "after %d", &after)
	for _, e := range f.events[min(after, len(f.events)):] {
		f.write(nc, e)
	}
	f.conns = append(f.conns, nc)
}

func (f *discoveryServer) write(w io.Writer, e any) {
	b, _ := json.Marshal(e)
	w.Write(append(b, '\n'))
}

// publish records an event and sends it to every connection.
func (f *discoveryServer) publish(engines ...engineEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := event(len(f.events)+1, engines)
	f.events = append(f.events, e)
	for _, nc := range f.conns {
		f.write(nc, e)
	}
}

// publishRaw sends a line unchanged to every connection, without recording it.
func (f *discoveryServer) publishRaw(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, nc := range f.conns {
		io.WriteString(nc, line+"\n")
	}
}

// connections returns how many connections have sent a request so far.
func (f *discoveryServer) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}
