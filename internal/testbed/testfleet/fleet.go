package testfleet

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Options describe a fleet.
type Options struct {
	Gateways            int
	Seed                uint64
	Dir                 string        // existing directory for configurations and logs
	Command             []string      // command line of a gateway
	Env                 []string      // environment variables of the gateways in addition to those of this process
	Interval            time.Duration // interval of the membership protocol; 0 = its default
	Link                Link          // default link between any two gateways
	Engines             []Engine
	Settings            func(gateways, self int) string // the platform's settings object, as JSON; nil = defaultSettings
	Operator            string                          // additional sections of the operator's file, as TOML
	RemoteMembers       int                             // number of members that the caller runs at RemoteAddrs
	MaxDescriptors      int                             // limit on a gateway's file descriptors; 0 = defaultMaxDescriptors
	WithoutOperatorFile bool                            // no operator's file, for versions of the program without membership
}

// Fleet runs gateway processes together with their relay and discovery server. All methods but Reload are safe for
// concurrent use.
type Fleet struct {
	options      Options
	Relay        *Relay
	Discovery    *DiscoveryServer
	gateways     []*gateway
	operatorFile string
	peerAddrs    []netip.AddrPort // UDP address of each member for datagrams from its peers
	clientAddrs  []netip.AddrPort // TCP address of each gateway for clients
	mu           sync.Mutex
	changes      []StateChange
}

// members returns the number of members in the membership protocol.
func (o Options) members() int { return o.Gateways + o.RemoteMembers }

// RemoteAddrs returns the addresses on which the remote members must listen for datagrams. They send datagrams for a
// gateway to its relay address, and datagrams for each other directly.
func (f *Fleet) RemoteAddrs() []netip.AddrPort { return f.peerAddrs[f.options.Gateways:] }

// New starts the relay and the discovery server of a fleet. Start and StartAll start its gateways. Close stops all of them.
func New(opt Options) (*Fleet, error) {
	f := &Fleet{options: opt, operatorFile: filepath.Join(opt.Dir, "operator.toml")}
	addr := loopbackAddr(opt.Seed)
	reserved, peerAddrs, err := reservePorts(addr, opt.members())
	if err != nil {
		return nil, err
	}
	f.peerAddrs = peerAddrs
	f.Relay, err = NewRelay(addr, f.peerAddrs, opt.Seed) // the gateways' ports are still reserved, so that the relay binds others
	releasePorts(reserved)
	if err != nil {
		return nil, err
	}
	if f.clientAddrs, err = freePorts(addr, opt.Gateways); err != nil {
		f.Relay.Close()
		return nil, err
	}
	f.Relay.SetDefaultLink(opt.Link)
	if len(opt.Engines) == 0 {
		opt.Engines = []Engine{{Name: "e1", Addr: "127.0.0.1:1", Zone: "z", Kind: "m", State: "in_service"}}
	}
	if f.Discovery, err = NewDiscoveryServer(opt.Engines); err != nil {
		f.Relay.Close()
		return nil, err
	}
	if err := f.writeOperator(); err != nil {
		_ = f.Close()
		return nil, err
	}
	for i := range opt.Gateways {
		f.gateways = append(f.gateways, &gateway{number: i})
	}
	return f, nil
}

// ClientAddrs returns the addresses on which the gateways accept clients, by gateway index.
func (f *Fleet) ClientAddrs() (out []string) {
	for _, a := range f.clientAddrs {
		out = append(out, a.String())
	}
	return out
}

// Size returns the number of gateways.
func (f *Fleet) Size() int { return len(f.gateways) }

// WriteConfigs writes the configurations of all gateways and returns a glob pattern that matches them. It is used if a
// controller starts the processes of the fleet.
func (f *Fleet) WriteConfigs() (pattern string, err error) {
	for i := range f.gateways {
		if _, err := f.config(i); err != nil {
			return "", err
		}
	}
	return filepath.Join(f.options.Dir, "n*.json"), nil
}

// Start starts a gateway that is not running.
func (f *Fleet) Start(i int) error {
	conf, err := f.config(i)
	if err != nil {
		return err
	}
	operator := f.operatorFile
	if f.options.WithoutOperatorFile {
		operator = ""
	}
	env := append([]string{"GW_CONFIG=" + conf, "FROSTPIER_OPERATOR=" + operator, "GW_LISTEN="}, f.options.Env...)
	return f.gateways[i].start(f.options.Command, env, f.logPath(i), f.options.members(), f.recordChange)
}

func (f *Fleet) recordChange(change StateChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, change)
}

// StartAll starts the gateways that are not running and waits until all are serving.
func (f *Fleet) StartAll() error {
	for i, g := range f.gateways {
		if up, _, _ := g.state(); !up {
			if err := f.Start(i); err != nil {
				return err
			}
		}
	}
	return f.Wait(startTimeout, func() error {
		for i, g := range f.gateways {
			if _, ready, _ := g.state(); !ready {
				return fmt.Errorf("gateway %d: %w", i, errNotReady)
			}
		}
		return nil
	})
}

// stopTimeout bounds the wait for a process to exit. A graceful shutdown takes at most 3.6 s.
const stopTimeout = 20 * time.Second

// Kill kills a gateway with SIGKILL and waits until it has exited.
func (f *Fleet) Kill(i int) error {
	if err := f.gateways[i].signal(syscall.SIGKILL); err != nil {
		return err
	}
	return f.gateways[i].waitExit(stopTimeout)
}

// Terminate shuts a gateway down gracefully with SIGTERM and waits until it has exited.
func (f *Fleet) Terminate(i int) error {
	if err := f.gateways[i].signal(syscall.SIGTERM); err != nil {
		return err
	}
	return f.gateways[i].waitExit(stopTimeout)
}

// Signal sends a signal to a gateway without waiting for an exit.
func (f *Fleet) Signal(i int, s syscall.Signal) error { return f.gateways[i].signal(s) }

// WaitExit waits until a gateway has exited. It returns an error after the timeout, or if the exit code is not 0.
func (f *Fleet) WaitExit(i int, timeout time.Duration) error {
	if err := f.gateways[i].waitExit(timeout); err != nil {
		return err
	}
	return f.gateways[i].exitError()
}

// Pause suspends a gateway with SIGSTOP until Resume.
func (f *Fleet) Pause(i int) error { return f.gateways[i].signal(syscall.SIGSTOP) }

// Resume resumes a paused gateway with SIGCONT.
func (f *Fleet) Resume(i int) error { return f.gateways[i].signal(syscall.SIGCONT) }

// Running reports whether a gateway's process is running, including while it is paused.
func (f *Fleet) Running(i int) bool {
	up, _, _ := f.gateways[i].state()
	return up
}

// PID returns the process ID of a gateway, or 0 if it is not running.
func (f *Fleet) PID(i int) int {
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.up {
		return 0
	}
	return g.process.Process.Pid
}

// Ready reports whether a gateway is running and has logged that it is serving.
func (f *Fleet) Ready(i int) bool {
	_, ready, _ := f.gateways[i].state()
	return ready
}

// EngineList returns the resource version of a gateway's engine list and the number of engines in it.
func (f *Fleet) EngineList(i int) (version int64, engines int) {
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version, g.engines
}

// MemberState returns the state of a member as seen by a gateway: alive, dead or left.
func (f *Fleet) MemberState(viewer, member int) string {
	g := f.gateways[viewer]
	g.mu.Lock()
	defer g.mu.Unlock()
	if member >= len(g.view) {
		return ""
	}
	return g.view[member]
}

// StateChanges returns the state changes that the gateways have logged since mark, and the mark for the next call.
func (f *Fleet) StateChanges(mark int) ([]StateChange, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]StateChange(nil), f.changes[mark:]...), len(f.changes)
}

// CheckConverged returns nil if every serving gateway that is not paused sees exactly the running gateways as alive.
func (f *Fleet) CheckConverged() error {
	for v, g := range f.gateways {
		if up, ready, paused := g.state(); !up || !ready || paused {
			continue
		}
		for i := range f.gateways {
			if state := f.MemberState(v, i); (state == "alive") != f.Running(i) {
				return fmt.Errorf("gateway %d sees gateway %d as %s, running: %v", v, i, state, f.Running(i))
			}
		}
	}
	return nil
}

// waitInterval is the interval between the checks in Wait.
const waitInterval = 10 * time.Millisecond

// Wait calls check until it returns nil. After the timeout it returns the last error of check.
func (f *Fleet) Wait(timeout time.Duration, check func() error) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(waitInterval) {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v: %w", timeout, err)
		}
	}
}

// Alarms returns the log lines that report failures of the program itself: panics, broken invariants and data races.
func (f *Fleet) Alarms() (out []string) {
	for _, g := range f.gateways {
		g.mu.Lock()
		out = append(out, g.alarms...)
		g.mu.Unlock()
	}
	return out
}

// Close kills every process that the fleet has started, by its process ID, and closes the relay and the discovery server.
func (f *Fleet) Close() error {
	var errs []error
	for _, g := range f.gateways {
		if up, _, _ := g.state(); up {
			errs = append(errs, g.signal(syscall.SIGKILL))
		}
	}
	for _, g := range f.gateways {
		errs = append(errs, g.waitExit(stopTimeout))
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	f.Relay.Close()
	return errors.Join(errs...)
}

// Reload replaces the additional sections of the operator's file and has every running gateway reload it.
func (f *Fleet) Reload(sections string) error {
	f.options.Operator = sections
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

// Log returns the log of a gateway so far, or "" if it has none.
func (f *Fleet) Log(i int) string {
	text, err := os.ReadFile(f.logPath(i))
	if err != nil {
		return ""
	}
	return string(text)
}

func (f *Fleet) logPath(i int) string { return filepath.Join(f.options.Dir, fmt.Sprintf("n%d.log", i)) }
