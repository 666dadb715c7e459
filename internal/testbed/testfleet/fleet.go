package testfleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Options say what fleet to start.
type Options struct {
	Gateways int
	Seed     uint64
	Dir      string   // for configurations and logs
	Command  []string // that starts the program
	Env      []string
	Interval time.Duration // of the membership protocol; 0 = its default
	Link     Link          // between any two gateways
	Engines  []Engine
	Settings func(gateways, self int) string // the platform's settings object; nil = one class and no engine's figures
	Operator string                          // further sections of the operator's file, as TOML
	Others   int                             // members of the fleet beyond Gateways that run elsewhere, at OtherAddrs
	Sockets  int                             // descriptors that a gateway may use; 0 = 512
	Bare     bool                            // no operator's file: for programs from before there was membership
}

// Fleet is a number of processes of the program, with what they need around them.
type Fleet struct {
	opt       Options
	Relay     *Relay
	Discovery *DiscoveryServer
	gateways  []*gateway
	operator  string
	listen    []netip.AddrPort // where datagrams of peers arrive
	clients   []netip.AddrPort // where clients connect
	mu        sync.Mutex
	changes   []StateChange
}

// members is how many the membership protocol knows of.
func (o Options) members() int { return o.Gateways + o.Others }

// OtherAddrs is where the members that run elsewhere are to listen for datagrams. What they send to a gateway goes to
// its face at the relay; among themselves they need no relay.
func (f *Fleet) OtherAddrs() []netip.AddrPort { return f.listen[f.opt.Gateways:] }

// New prepares a fleet; Start and StartAll start its processes, Close ends them.
func New(opt Options) (*Fleet, error) {
	f := &Fleet{opt: opt, operator: filepath.Join(opt.Dir, "operator.toml")}
	addr := ownAddr(opt.Seed)
	held, listen, err := hold(addr, opt.members())
	if err != nil {
		return nil, err
	}
	f.listen = listen
	f.Relay, err = NewRelay(addr, f.listen, opt.Seed)
	release(held)
	if err != nil {
		return nil, err
	}
	if f.clients, err = freePorts(addr, opt.Gateways); err != nil {
		f.Relay.Close()
		return nil, err
	}
	f.Relay.Usual(opt.Link)
	if len(opt.Engines) == 0 {
		opt.Engines = []Engine{{Name: "e1", Addr: "127.0.0.1:1", Zone: "z", Kind: "m", State: "in_service"}}
	}
	if f.Discovery, err = NewDiscoveryServer(opt.Engines); err != nil {
		f.Relay.Close()
		return nil, err
	}
	if err := f.writeOperator(); err != nil {
		f.Close()
		return nil, err
	}
	for i := range opt.Gateways {
		f.gateways = append(f.gateways, &gateway{number: i})
	}
	return f, nil
}

// ownAddr is an address of the loopback network that other programs hardly use: a port that a killed gateway leaves
// is still free when it starts again.
func ownAddr(seed uint64) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + seed%128), byte(pid >> 8), byte(1 + pid%250)})
}

// hold takes free UDP ports; they are given back when the gateways are to have them.
func hold(addr netip.Addr, n int) (held []*net.UDPConn, out []netip.AddrPort, err error) {
	for range n {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)))
		if err != nil {
			release(held)
			return nil, nil, fmt.Errorf("free port: %w", err)
		}
		held = append(held, c)
		out = append(out, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	return held, out, nil
}

// freePorts finds free TCP ports, all held until the last is found.
func freePorts(addr netip.Addr, n int) (out []netip.AddrPort, err error) {
	var held []net.Listener
	defer func() {
		for _, ln := range held {
			ln.Close()
		}
	}()
	for range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(addr, 0).String())
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		held = append(held, ln)
		out = append(out, ln.Addr().(*net.TCPAddr).AddrPort())
	}
	return out, nil
}

func release(held []*net.UDPConn) {
	for _, c := range held {
		c.Close()
	}
}

// defaultSockets is how many descriptors a gateway may use.
const defaultSockets = 512

const settingsOf = `{"classes":[{"name":"lookup","objective":800000000,"give_up":4000000000,"repeat":"retryable","worth":1}],
"family_info":{"cores_by_kind":[12],"threads_by_class":[1],"is_load":[false]},"models":["m"],"zones":["z"],
"permissions":{"attempts_cap":4,"cancel":true,"conn_idle":30000000000,"connect_timeout":250000000,"max_open":20000,
"max_retry_after":500000000,"peer_messages":true},
"report":{"fields":["queue","inflight"],"via":"answers"},
"rules":{"answer_slack":20000000,"drain_grace":2000000000,"free_resends":2,"extra_share":0.1,"ratio_span":5000000000},
"siblings":%d,"self_index":%d,"tick":5000000}`

// config writes the configuration of a gateway, as the platform would at this start.
func (f *Fleet) config(i int) (string, error) {
	var peers []string
	for _, p := range f.Relay.Faces() {
		peers = append(peers, p.String())
	}
	object := fmt.Sprintf(settingsOf, f.opt.members(), i)
	if f.opt.Settings != nil {
		object = f.opt.Settings(f.opt.members(), i)
	}
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", i), "listen": f.clients[i].String(),
		"seed": fmt.Sprintf("%x", f.opt.Seed*1000+uint64(i)+1), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": cmp.Or(f.opt.Sockets, defaultSockets)},
		"peer_listen": f.listen[i].String(), "peers": peers, "bulletin": f.Discovery.Addr(), "known": f.Discovery.InitialEvents(),
		"settings": json.RawMessage(object)})
	if err != nil {
		return "", fmt.Errorf("configuration: %w", err)
	}
	path := filepath.Join(f.opt.Dir, fmt.Sprintf("n%d.json", i))
	return path, os.WriteFile(path, text, 0o600)
}

// Clients are the addresses where clients connect, a gateway each.
func (f *Fleet) Clients() (out []string) {
	for _, a := range f.clients {
		out = append(out, a.String())
	}
	return out
}

// Size is how many gateways there are.
func (f *Fleet) Size() int { return len(f.gateways) }

// Configs writes the configurations of all gateways and returns a pattern that names them: for a fleet whose processes
// something else starts.
func (f *Fleet) Configs() (pattern string, err error) {
	for i := range f.gateways {
		if _, err := f.config(i); err != nil {
			return "", err
		}
	}
	return filepath.Join(f.opt.Dir, "n*.json"), nil
}

// Start starts a gateway from nothing.
func (f *Fleet) Start(i int) error {
	conf, err := f.config(i)
	if err != nil {
		return err
	}
	operator := f.operator
	if f.opt.Bare {
		operator = ""
	}
	env := append([]string{"GW_CONFIG=" + conf, "FROSTPIER_OPERATOR=" + operator, "GW_LISTEN="}, f.opt.Env...)
	return f.gateways[i].start(f.opt.Command, env, f.logPath(i), f.opt.members(),
		func(t StateChange) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.changes = append(f.changes, t)
		})
}

// StartAll starts those that do not run and waits until all serve.
func (f *Fleet) StartAll() error {
	for i, g := range f.gateways {
		if up, _, _ := g.state(); !up {
			if err := f.Start(i); err != nil {
				return err
			}
		}
	}
	return f.Wait(startPatience, func() error {
		for i, g := range f.gateways {
			if _, ready, _ := g.state(); !ready {
				return fmt.Errorf("gateway %d: %w", i, errNotReady)
			}
		}
		return nil
	})
}

// endPatience bounds the wait for a process that was told to end: a planned stop takes 3.6 s at most.
const endPatience = 20 * time.Second

// Kill ends a gateway at once.
func (f *Fleet) Kill(i int) error {
	if err := f.gateways[i].signal(syscall.SIGKILL); err != nil {
		return err
	}
	return f.gateways[i].wait(endPatience)
}

// Term asks a gateway for a planned stop and waits for its end.
func (f *Fleet) Term(i int) error {
	if err := f.gateways[i].signal(syscall.SIGTERM); err != nil {
		return err
	}
	return f.gateways[i].wait(endPatience)
}

// Pause stops a gateway, Resume lets it go on.
func (f *Fleet) Pause(i int) error { return f.gateways[i].signal(syscall.SIGSTOP) }

// Resume lets a paused gateway go on.
func (f *Fleet) Resume(i int) error { return f.gateways[i].signal(syscall.SIGCONT) }

// Up reports whether a gateway runs, Paused or not.
func (f *Fleet) Up(i int) bool {
	up, _, _ := f.gateways[i].state()
	return up
}

// PID is the process of a gateway that runs, or 0.
func (f *Fleet) PID(i int) int {
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.up {
		return 0
	}
	return g.cmd.Process.Pid
}

// Ready reports whether a gateway runs and serves.
func (f *Fleet) Ready(i int) bool {
	_, ready, _ := f.gateways[i].state()
	return ready
}

// EngineList returns the resource version of the list that a gateway holds, and how many engines it lists.
func (f *Fleet) EngineList(i int) (version int64, engines int) {
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version, g.engines
}

// View is what a gateway holds of a member: alive, dead or left.
func (f *Fleet) View(viewer, member int) string {
	g := f.gateways[viewer]
	g.mu.Lock()
	defer g.mu.Unlock()
	if member >= len(g.view) {
		return ""
	}
	return g.view[member]
}

// StateChanges returns what the gateways logged about each other since the mark of an earlier call.
func (f *Fleet) StateChanges(mark int) ([]StateChange, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]StateChange(nil), f.changes[mark:]...), len(f.changes)
}

// Agreed is nil when every gateway that runs holds each member as it is.
func (f *Fleet) Agreed() error {
	for v, g := range f.gateways {
		if up, ready, paused := g.state(); !up || !ready || paused {
			continue
		}
		for i := range f.gateways {
			if is := f.View(v, i); (is == "alive") != f.Up(i) {
				return fmt.Errorf("gateway %d holds %d %s, which runs: %v", v, i, is, f.Up(i))
			}
		}
	}
	return nil
}

// Wait waits until there is no error, and returns the last one if that takes too long.
func (f *Fleet) Wait(most time.Duration, check func() error) error {
	for end := time.Now().Add(most); ; time.Sleep(10 * time.Millisecond) {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %v: %w", most, err)
		}
	}
}

// Alarms are lines of the logs that no run may have: panics, broken invariants, data races.
func (f *Fleet) Alarms() (out []string) {
	for _, g := range f.gateways {
		g.mu.Lock()
		out = append(out, g.alarms...)
		g.mu.Unlock()
	}
	return out
}

// Close ends every process that the fleet started, by its id, and all else.
func (f *Fleet) Close() error {
	var errs []error
	for _, g := range f.gateways {
		if up, _, _ := g.state(); up {
			errs = append(errs, g.signal(syscall.SIGKILL))
		}
	}
	for _, g := range f.gateways {
		errs = append(errs, g.wait(endPatience))
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	f.Relay.Close()
	return errors.Join(errs...)
}

// Reload writes another operator's file, with these further sections, and has every gateway that runs read it.
func (f *Fleet) Reload(sections string) error {
	f.opt.Operator = sections
	if err := f.writeOperator(); err != nil {
		return err
	}
	for _, g := range f.gateways {
		if up, _, _ := g.state(); up {
			if err := g.signal(syscall.SIGHUP); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeOperator writes the operator's file that all gateways share.
func (f *Fleet) writeOperator() error {
	text := "[membership]\nfleet = \"rig\"\n"
	if f.opt.Interval > 0 {
		text += fmt.Sprintf("interval_ms = %d\n", f.opt.Interval.Milliseconds())
	}
	return os.WriteFile(f.operator, []byte(text+f.opt.Operator), 0o600)
}

// Log is what a gateway has logged so far.
func (f *Fleet) Log(i int) string {
	text, err := os.ReadFile(f.logPath(i))
	if err != nil {
		return ""
	}
	return string(text)
}

func (f *Fleet) logPath(i int) string { return filepath.Join(f.opt.Dir, fmt.Sprintf("n%d.log", i)) }
