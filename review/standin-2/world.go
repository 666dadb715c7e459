package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const readyTimeout = 10 * time.Second

// The largest limits of a gateway ("at most 192 MB and 1,024 descriptors").
const (
	mostMemoryMB = 192
	mostSockets  = 1024
)

// world holds the processes, the record and the temporary folder of a case.
type world struct {
	started time.Time
	root    string // root of the repository
	dir     string // temporary folder
	// memoryMB and sockets are the limits in the configuration of the gateway.
	memoryMB, sockets int

	mu        sync.Mutex
	file      *os.File
	processes []*exec.Cmd
	closed    bool
}

// newWorld creates the record in the working folder, which is that of the case.
func newWorld() (*world, error) {
	file, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	here, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &world{
		started: time.Now(), root: filepath.Join(here, "..", ".."), dir: dir, file: file, memoryMB: mostMemoryMB, sockets: mostSockets,
	}, nil
}

// since returns the time since the start of the case.
func (w *world) since() time.Duration { return time.Since(w.started) }

// record writes a line with the time since the start to record.txt and to standard output.
func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", w.since().Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Print(line)
	_, _ = w.file.WriteString(line)
}

// close kills all processes of the case and removes its temporary folder.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, p := range w.processes {
		_ = p.Process.Kill()
	}
	for _, p := range w.processes {
		_ = p.Wait()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.file.Sync()
}

// start starts a process that close kills.
func (w *world) start(cmd *exec.Cmd) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.processes = append(w.processes, cmd)
	return nil
}

// freeAddr returns a loopback address with a free port.
func freeAddr(network string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// class is a class of queries in the settings.
type class struct {
	name    string
	aim     time.Duration
	giveUp  time.Duration
	repeat  string
	worth   float64
	threads int
	isLoad  bool
	window  time.Duration
}

// usualClasses are those of a small deployment.
var usualClasses = []class{
	{name: "lookup", aim: 800 * time.Millisecond, giveUp: 4 * time.Second, repeat: "retryable", worth: 1, threads: 1, window: 5 * time.Second},
	{name: "report", aim: 3 * time.Second, giveUp: 15 * time.Second, repeat: "retryable", worth: 10, threads: 4, window: 5 * time.Second},
	{name: "form-load", aim: 4 * time.Second, giveUp: 20 * time.Second, repeat: "dedup", worth: 8, threads: 2, isLoad: true, window: 12 * time.Second},
}

// settingsObject returns the settings of a deployment with one gateway.
func settingsObject(classes []class) map[string]any {
	var list []map[string]any
	var threads []int
	var loads, waits []bool
	for _, c := range classes {
		list = append(list, map[string]any{
			"name": c.name, "objective": int64(c.aim), "aim_stretch": 2.0, "give_up": int64(c.giveUp), "repeat": c.repeat, "group": "all",
			"window": int64(c.window), "late_value": 0.4, "worth": c.worth, "stream": false,
		})
		threads, loads, waits = append(threads, c.threads), append(loads, c.isLoad), append(waits, false)
	}
	return map[string]any{
		"classes": list,
		"family_info": map[string]any{
			"cores_by_kind": []int{12}, "size_mb": []float64{24576}, "threads_by_class": threads, "is_load": loads,
			"waits_for_loads": waits, "overbooked": "overcommit", "takes_grants": false, "takes_priority": false,
			"cost_in_answers": false, "grant_cap": 0.4, "tells_every": int64(time.Second),
		},
		"models": []string{"large-12c"}, "zones": []string{"dc1"}, "zone": 0, "membership_mode": "pushed",
		"permissions": map[string]any{
			"attempts_cap": 4, "cancel": true, "conn_idle": int64(30 * time.Second), "connect_timeout": int64(250 * time.Millisecond),
			"max_open": 20000, "max_retry_after": int64(500 * time.Millisecond), "parallel_tries": false, "peer_messages": true,
			"probes": false, "retry_after": true, "streams_per_conn": 32,
		},
		"report": map[string]any{"fields": []string{"queue", "inflight", "x0", "x1"}, "via": "answers"},
		"rules": map[string]any{
			"answer_slack": int64(20 * time.Millisecond), "drain_grace": int64(2 * time.Second), "cold_share": 0.31,
			"warm_after": int64(14 * time.Second), "fall": int64(2 * time.Second), "fall_multiple": 3.0, "must_ask_in": int64(10 * time.Second),
			"free_resends": 2.0, "extra_share": 0.1, "ratio_span": int64(5 * time.Second),
		},
		"siblings": 1, "self_index": 0, "tick": int64(5 * time.Millisecond), "value_by": "request", "tier": 0,
	}
}

// listedEngine is an engine in the list of the discovery server.
type listedEngine struct {
	name  string
	addr  string // HTTP
	mysql string // MySQL; empty = none
}

// gateway is a running gateway.
type gateway struct {
	listen string // platform clients
	mysql  string // MySQL clients
	cmd    *exec.Cmd
}

// startGateway starts a gateway with the run command of the deploy file and waits until it serves. With withMySQL, the operator's file
// that the command names is replaced by one with the same sections and the MySQL listener.
func (w *world) startGateway(engines []listedEngine, withMySQL bool) (*gateway, error) {
	g := &gateway{listen: freeAddr("tcp"), mysql: freeAddr("tcp")}
	peer := freeAddr("udp")
	bulletin, err := startBulletin(engines)
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": g.listen, "seed": "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": 1.0, "memory_mb": w.memoryMB, "sockets": w.sockets},
		"peer_listen": peer, "peers": []string{peer}, "bulletin": bulletin.addr,
		"known":    map[string]any{"no": len(bulletin.events), "items": bulletin.events},
		"settings": settingsObject(usualClasses),
	})
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(w.dir, "config.json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return nil, err
	}
	run, err := w.runCommand()
	if err != nil {
		return nil, err
	}
	if withMySQL {
		operator := filepath.Join(w.dir, "operator.toml")
		if err := os.WriteFile(operator, []byte(operatorFile(g.mysql, engines)), 0o600); err != nil {
			return nil, err
		}
		run = strings.Replace(run, "deploy/platform.toml", operator, 1)
	}
	log, err := os.Create(filepath.Join(w.dir, "gateway.log"))
	if err != nil {
		return nil, err
	}
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Dir = w.root
	g.cmd.Env = append(os.Environ(), "GW_CONFIG="+configPath, "GW_NAME=n0", "GW_LISTEN="+g.listen)
	if os.Getenv("SHOW_LOG") != "" {
		g.cmd.Env = append(g.cmd.Env, "FROSTPIER_DEBUG=1")
		g.cmd.Stderr = os.Stderr
	} else {
		g.cmd.Stderr = log
	}
	if err := w.start(g.cmd); err != nil {
		return nil, err
	}
	w.record("gateway started: %s", run)
	return g, g.waitServing()
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// runCommand returns the run command of the deploy file.
func (w *world) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return "", errors.New("no run command in deploy/balancer.toml")
	}
	return string(match[1]), nil
}

// passwordHash is the hash of mysqlPassword, which all accounts of the cases have.
const passwordHash = "*2470C0C06DEE42FD1618BB99005ADCA2EC9D1E19"

// operatorFile returns deploy/platform.toml's sections with a MySQL listener and an account for each usual class.
func operatorFile(listen string, engines []listedEngine) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[membership]\nfleet = \"review\"\n\n[spread]\n\n[mysql]\nlisten = %q\nengine_port = 3306\nengine_user = \"gateway\"\n"+
		"engine_password = \"\"\n\n[mysql.engines]\n", listen)
	for _, e := range engines {
		if e.mysql != "" {
			fmt.Fprintf(&b, "%q = %q\n", e.name, e.mysql)
		}
	}
	users := map[string]string{"lookup": "branch", "report": "analyst", "form-load": "loader"}
	for _, c := range usualClasses {
		fmt.Fprintf(&b, "\n[[mysql.account]]\nuser = %q\npassword_hash = %q\nclass = %q\nbudget_ms = %d\n",
			users[c.name], passwordHash, c.name, c.giveUp.Milliseconds())
	}
	return b.String()
}

// waitServing waits until the gateway answers a ping.
func (g *gateway) waitServing() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", g.listen, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":1,"method":"ping","params":{}}`+"\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if strings.Contains(line, `"serving":true`) {
			return nil
		}
	}
	return errors.New("the gateway does not serve")
}

// engineProcess is an engine that runs as a process of its own.
type engineProcess struct {
	name  string
	addr  string
	cmd   *exec.Cmd
	lines chan string // what the engine reports, after it was recorded
}

// startEngine starts an engine process: kind is "mysql-engine" or "http-engine".
func (w *world) startEngine(kind, name string, args ...string) (*engineProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{name: name, lines: make(chan string, 10000)}
	e.cmd = exec.Command(self, append([]string{kind}, args...)...)
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.start(e.cmd); err != nil {
		return nil, err
	}
	in := bufio.NewScanner(out)
	if !in.Scan() {
		return nil, errors.New("an engine did not start")
	}
	e.addr = in.Text()
	w.record("engine %s started at %s", name, e.addr)
	go func() {
		for in.Scan() {
			w.record("engine %s: %s", name, in.Text())
			select {
			case e.lines <- in.Text():
			default:
			}
		}
	}()
	return e, nil
}

func (e *engineProcess) signal(s syscall.Signal) error { return e.cmd.Process.Signal(s) }

// bulletin is the discovery server. Its list does not change.
type bulletin struct {
	addr   string
	events []map[string]any
}

func startBulletin(engines []listedEngine) (*bulletin, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var instances []map[string]any
	for _, e := range engines {
		instances = append(instances, map[string]any{
			"instanceId": e.name, "hostPort": e.addr, "zone": "dc1", "machineType": "large-12c", "cell": 0, "lifecycle": "in_service",
			"weight": 12, "startedAtMs": 0,
		})
	}
	first := map[string]any{"no": 1, "roster": map[string]any{"generation": 1, "reset": false, "instances": instances}}
	b := &bulletin{addr: ln.Addr().String(), events: []map[string]any{first}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

// serve answers a watch: the events after the given number, and each second a line with the last number.
func (b *bulletin) serve(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	after := 0
	_, _ = fmt.Sscanf(line, "after %d", &after)
	for i := after; i < len(b.events); i++ {
		text, _ := json.Marshal(b.events[i])
		_, _ = conn.Write(append(text, '\n'))
	}
	for {
		if _, err := fmt.Fprintf(conn, "%d\n", len(b.events)); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}
