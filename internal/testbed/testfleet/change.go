package testfleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/control/rollout/controller"
	"frostpier/internal/testbed/emulator"
)

// ChangeOptions say what change goes out to what fleet.
type ChangeOptions struct {
	Gateways, Engines int
	Cores, Load       float64
	Seed              uint64
	Dir               string
	Program           []string // the program of the old version, with its arguments
	Env               []string // of all processes
	Fault             string   // of the new version; "" = a good change
	Settings          string   // further settings of the new version's operator's file: a change of settings alone
	Stages            []string
	LeastS, MostS     float64
}

// Change is a fleet of processes under load, engines, and a plan that a controller is to carry.
type Change struct {
	opt     ChangeOptions
	Pool    *Pool
	Fleet   *Fleet
	Clients *emulator.Clients
	Checked controller.Checked
	Plan    string // the plan's path
	State   string // the controller's folder
	traffic emulator.Traffic
	clock   func() time.Duration
	passer  *passer
	stop    chan struct{}
	sent    sync.WaitGroup
}

const changeOperator = `[membership]
fleet = "rig"
interval_ms = 500

[spread]

[rollout]
report_to = "%s"
report_ms = 250
%s`

const changePlan = `name = "change-%d"
fleet = "rig"
listen = "%s"
reports = "%s"
configs = "%s"
stages = [%s]

[old]
program = "%s"
args = [%s]
env = [%s]
operator = "%s"

[new]
program = "%s"
args = [%s]
env = [%s]
operator = "%s"

[watch]
least_s = %g
most_s = %g

[change]
ready_s = 8
stop_s = 6
silent_s = 3

[judge]
least_answers = 3

[[check]]
class = "lookup"
statement = "%s"
expect = "row\t{rid}\tof 1\n"
every_ms = 40
`

// NewChange prepares engines, configurations, both versions and the plan, and starts the fleet on the old version.
func NewChange(opt ChangeOptions) (_ *Change, err error) {
	began := time.Now()
	c := &Change{opt: opt, State: filepath.Join(opt.Dir, "rollout"), Plan: filepath.Join(opt.Dir, "plan.toml"),
		clock: func() time.Duration { return time.Since(began) }, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	if c.Pool, err = NewPool(opt.Engines, emulator.DefaultSpec(opt.Cores), c.clock); err != nil {
		return c, err
	}
	c.traffic = emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: opt.Gateways, Skew: 0.5, Groups: opt.Engines * 3,
		Zipf: 0.7, Estimate: 0.5, Seed: opt.Seed}
	c.traffic.Rate = c.traffic.RateFor(opt.Load, opt.Cores*float64(opt.Engines))
	settings := func(n, self int) string { return emulator.Settings(c.traffic.Classes, n, self, opt.Cores) }
	if c.Fleet, err = New(Options{Gateways: opt.Gateways, Seed: opt.Seed, Dir: opt.Dir, Engines: c.Pool.EngineList(), Settings: settings,
		Link: Link{DelayMin: time.Millisecond, DelayMax: 5 * time.Millisecond}}); err != nil {
		return c, err
	}
	c.Pool.PublishTo(c.Fleet.Discovery)
	if c.passer, err = newPasser(opt.Gateways, len(c.traffic.Classes)); err != nil {
		return c, err
	}
	if err := c.write(); err != nil {
		return c, err
	}
	if _, err := controller.Up(c.State, c.Checked); err != nil {
		return c, err
	}
	c.Clients = emulator.NewClients(c.Fleet.Clients(), c.traffic.Classes, opt.Seed, c.clock)
	return c, c.Fleet.Wait(startPatience, func() error {
		for i := range opt.Gateways {
			if !c.Clients.Serving(i) {
				return fmt.Errorf("gateway %d: %w", i, errNotReady)
			}
		}
		if c.passer.reporting() < opt.Gateways {
			return errors.New("not all gateways have reported")
		}
		return nil
	})
}

// write writes both versions and the plan, and checks it.
func (c *Change) write() error {
	pattern, err := c.Fleet.Configs()
	if err != nil {
		return err
	}
	path := func(name string) string { return filepath.Join(c.opt.Dir, name) }
	next := c.opt.Program[0]
	if c.opt.Settings == "" { // another program: the same with a few bytes behind it, which nothing reads
		text, err := os.ReadFile(next)
		if err != nil {
			return err
		}
		next = path("new-program")
		if err := os.WriteFile(next, append(text, fmt.Sprintf("change %d", c.opt.Seed)...), 0o755); err != nil {
			return err
		}
	}
	for name, more := range map[string]string{"old.toml": "", "new.toml": c.opt.Settings} {
		if err := os.WriteFile(path(name), fmt.Appendf(nil, changeOperator, c.passer.addr(), more), 0o600); err != nil {
			return err
		}
	}
	listen, err := freeUDP()
	if err != nil {
		return err
	}
	quoted := func(list []string) string {
		var out []string
		for _, s := range list {
			out = append(out, fmt.Sprintf("%q", s))
		}
		return strings.Join(out, ", ")
	}
	newEnv := c.opt.Env
	if c.opt.Fault != "" {
		newEnv = append(slices.Clone(newEnv), emulator.FaultEnv(c.opt.Fault)...)
	}
	check := emulator.Statement(emulator.Query{Work: 0.01, Threads: 1, IO: 0.1, NeedMB: 1, Group: 1})
	text := fmt.Sprintf(changePlan, c.opt.Seed, listen, c.passer.addr(), pattern, quoted(c.opt.Stages), c.opt.Program[0],
		quoted(c.opt.Program[1:]), quoted(c.opt.Env), path("old.toml"), next, quoted(c.opt.Program[1:]), quoted(newEnv), path("new.toml"),
		c.opt.LeastS, c.opt.MostS, check)
	if err := os.WriteFile(c.Plan, []byte(text), 0o600); err != nil {
		return err
	}
	if c.Checked, err = controller.CheckPlan([]byte(text)); err != nil {
		return err
	}
	return c.passer.to(listen)
}

func freeUDP() (string, error) {
	sock, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	defer sock.Close()
	return sock.LocalAddr().String(), nil
}

// Send has clients send for so long; Sent waits for the ends of all requests.
func (c *Change) Send(span time.Duration) {
	requests := c.traffic.Draw(span)
	c.sent.Add(1)
	go func() {
		defer c.sent.Done()
		c.Clients.Play(requests, c.stop)
	}()
}

// StopClients stops the clients and waits for the ends of all requests.
func (c *Change) StopClients() []emulator.Outcome {
	close(c.stop)
	c.sent.Wait()
	out, _ := c.Clients.Outcomes(0)
	return out
}

// Cut has the reports of these gateways not arrive, or all of them again for none.
func (c *Change) Cut(gateways ...int) { c.passer.cutOff(gateways) }

// Carry carries the change in this process.
func (c *Change) Carry(ctx context.Context) (rollout.State, error) {
	log, err := os.OpenFile(filepath.Join(c.opt.Dir, "controller.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return rollout.State{}, err
	}
	defer log.Close()
	k, err := controller.Open(c.State, c.Checked, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		return rollout.State{}, err
	}
	defer k.Close()
	return k.Run(ctx)
}

// Start starts a controller as a process: command is the program's, to which the words of its command line are added.
func (c *Change) Start(command []string, env []string) (*exec.Cmd, error) {
	cmd := exec.Command(command[0], append(slices.Clone(command[1:]), "rollout", "start", c.Plan, "--state", c.State)...)
	cmd.Env = append(os.Environ(), env...)
	log, err := os.OpenFile(filepath.Join(c.opt.Dir, "controller.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, cmd.Start()
}

// Rolling is the plain way: each gateway in turn is stopped and started on the new version, and nobody looks how it does.
func (c *Change) Rolling(each time.Duration) error {
	return controller.Rolling(c.State, c.Checked, each)
}

// Close ends every process of the fleet, by its id, and all else.
func (c *Change) Close() error {
	var errs []error
	for _, pid := range controller.Processes(c.Checked.Fleet) {
		if pid > 0 {
			errs = append(errs, syscall.Kill(pid, syscall.SIGKILL))
		}
	}
	if c.Clients != nil {
		c.Clients.Close()
	}
	if c.passer != nil {
		c.passer.close()
	}
	if c.Fleet != nil {
		errs = append(errs, c.Fleet.Close())
	}
	if c.Pool != nil {
		c.Pool.Close()
	}
	return errors.Join(errs...)
}

// passer passes reports on to the controller, but for gateways that are cut off from it.
type passer struct {
	sock     *net.UDPConn
	gateways int
	classes  int
	mu       sync.Mutex
	dest     *net.UDPAddr
	cut      map[int]bool
	reported map[int]bool
}

func newPasser(gateways, classes int) (*passer, error) {
	sock, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	sock.SetReadBuffer(4 << 20)
	p := &passer{sock: sock, gateways: gateways, classes: classes, cut: map[int]bool{}, reported: map[int]bool{}}
	go p.pass()
	return p, nil
}

func (p *passer) addr() string { return p.sock.LocalAddr().String() }

func (p *passer) to(addr string) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dest, err = net.ResolveUDPAddr("udp4", addr)
	return err
}

func (p *passer) cutOff(gateways []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
	for _, i := range gateways {
		p.cut[i] = true
	}
}

func (p *passer) reporting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reported)
}

func (p *passer) pass() {
	buf := make([]byte, rollout.MostReport+1)
	for {
		n, _, err := p.sock.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r, err := rollout.ParseReport(buf[:n], "rig", p.gateways, p.classes)
		if err != nil {
			continue
		}
		p.mu.Lock()
		if p.reported[r.Gateway] = true; !p.cut[r.Gateway] && p.dest != nil {
			p.sock.WriteToUDP(buf[:n], p.dest)
		}
		p.mu.Unlock()
	}
}

func (p *passer) close() { p.sock.Close() }
