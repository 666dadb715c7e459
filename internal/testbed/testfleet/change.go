package testfleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/controller"
	"frostpier/internal/testbed/emulator"
)

// ChangeOptions describe a change and the fleet that it is rolled out to.
type ChangeOptions struct {
	Gateways, Engines                int
	Cores                            float64 // of an engine
	Load                             float64 // work that clients send, as a share of what the engines' cores can do
	Seed                             uint64
	Dir                              string   // for the plan, configurations and logs
	Program                          []string // command of the old version
	Env                              []string // of all processes
	Fault                            string   // of the new version, one of emulator.Faults; "" = none
	Settings                         string   // further sections of the new version's operator's file; "" = the program changes
	Stages                           []string
	MinWatchSeconds, MaxWatchSeconds float64 // shortest and longest watch of a stage, in seconds
}

// Change is a fleet of processes under load, with engines, and a plan that a controller carries out.
type Change struct {
	options     ChangeOptions
	Pool        *Pool
	Fleet       *Fleet
	Clients     *emulator.Clients
	CheckedPlan controller.CheckedPlan
	PlanPath    string // path of the plan
	StateDir    string // the controller's state folder
	traffic     emulator.Traffic
	clock       func() time.Duration
	reportProxy *reportProxy
	stop        chan struct{}
	clientsDone sync.WaitGroup
}

// NewChange starts engines, clients and a fleet on the old version, and writes the plan of the change. It returns once all
// gateways serve and report; after an error everything is ended again.
func NewChange(opt ChangeOptions) (_ *Change, err error) {
	start := time.Now()
	c := &Change{
		options:  opt,
		StateDir: filepath.Join(opt.Dir, "rollout"),
		PlanPath: filepath.Join(opt.Dir, "plan.toml"),
		clock:    func() time.Duration { return time.Since(start) },
		stop:     make(chan struct{}),
	}
	defer func() {
		if err != nil {
			_ = c.Close()
		}
	}()
	if err := c.startTestbed(); err != nil {
		return c, err
	}
	if err := c.writePlan(); err != nil {
		return c, err
	}
	if _, err := controller.StartGateways(c.StateDir, c.CheckedPlan); err != nil {
		return c, err
	}
	c.Clients = emulator.NewClients(c.Fleet.ClientAddrs(), c.traffic.Classes, opt.Seed, c.clock)
	return c, c.Fleet.Wait(startTimeout, c.ready)
}

// Times between any two gateways of a change, much like the platform's.
const (
	minChangeDelay = time.Millisecond
	maxChangeDelay = 5 * time.Millisecond
)

// startTestbed starts what stands around the gateways: engines, discovery server, relay and report proxy.
func (c *Change) startTestbed() (err error) {
	opt := c.options
	if c.Pool, err = NewPool(opt.Engines, emulator.DefaultSpec(opt.Cores), c.clock); err != nil {
		return err
	}
	c.traffic = emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: opt.Gateways, Skew: 0.5, Groups: opt.Engines * 3,
		Zipf: 0.7, Estimate: 0.5, Seed: opt.Seed}
	c.traffic.Rate = c.traffic.RateFor(opt.Load, opt.Cores*float64(opt.Engines))
	if c.Fleet, err = New(Options{
		Gateways: opt.Gateways,
		Seed:     opt.Seed,
		Dir:      opt.Dir,
		Engines:  c.Pool.EngineList(),
		Settings: func(n, self int) string { return emulator.Settings(c.traffic.Classes, n, self, opt.Cores) },
		Link:     Link{DelayMin: minChangeDelay, DelayMax: maxChangeDelay},
	}); err != nil {
		return err
	}
	c.Pool.SetDiscoveryServer(c.Fleet.Discovery)
	c.reportProxy, err = newReportProxy(opt.Gateways, len(c.traffic.Classes))
	return err
}

var errNotReporting = errors.New("not all gateways have reported")

// ready is nil once all gateways serve clients and have reported.
func (c *Change) ready() error {
	for i := range c.options.Gateways {
		if !c.Clients.Serving(i) {
			return fmt.Errorf("gateway %d: %w", i, errNotReady)
		}
	}
	if c.reportProxy.reporting() < c.options.Gateways {
		return errNotReporting
	}
	return nil
}

// SendLoad has clients send requests for so long, on a goroutine that StopClients waits for.
func (c *Change) SendLoad(span time.Duration) {
	requests := c.traffic.Draw(span)
	c.clientsDone.Add(1)
	go func() {
		defer c.clientsDone.Done()
		c.Clients.Play(requests, c.stop)
	}()
}

// StopClients stops the clients, waits until all requests have ended, and returns their outcomes.
func (c *Change) StopClients() []emulator.Outcome {
	close(c.stop)
	c.clientsDone.Wait()
	out, _ := c.Clients.Outcomes(0)
	return out
}

// DropReports drops the reports of these gateways on their way to the controller; without arguments it drops none.
func (c *Change) DropReports(gateways ...int) { c.reportProxy.setCut(gateways) }

// openLog opens the log that all controllers of the change append to.
func (c *Change) openLog() (*os.File, error) {
	return os.OpenFile(c.path("controller.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// RunController runs a controller of the change in this process until the change has ended or the context has.
func (c *Change) RunController(ctx context.Context) (rollout.State, error) {
	log, err := c.openLog()
	if err != nil {
		return rollout.State{}, err
	}
	defer func() { _ = log.Close() }()
	k, err := controller.Open(c.StateDir, c.CheckedPlan, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		return rollout.State{}, err
	}
	defer k.Close()
	return k.Run(ctx)
}

// StartController starts a controller as a process of the program, which ends with this process at the latest. The caller waits for
// it. command starts the program; the arguments of a controller are added to it.
func (c *Change) StartController(command []string, env []string) (*exec.Cmd, error) {
	cmd := exec.Command(command[0], append(slices.Clone(command[1:]), "rollout", "start", c.PlanPath, "--state", c.StateDir)...)
	cmd.Env = append(os.Environ(), env...)
	log, err := c.openLog()
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, cmd.Start()
}

// RollingRestart is the rolling restart to compare with: each gateway in turn is restarted on the new version, and nothing
// evaluates it.
func (c *Change) RollingRestart(each time.Duration) error {
	return controller.RollingRestart(c.StateDir, c.CheckedPlan, each)
}

// Close ends every process of the fleet, by its process ID, and everything else that NewChange started.
func (c *Change) Close() error {
	var errs []error
	for _, pid := range controller.FindProcesses(c.CheckedPlan.Fleet) {
		if pid > 0 {
			errs = append(errs, syscall.Kill(pid, syscall.SIGKILL))
		}
	}
	if c.Clients != nil {
		c.Clients.Close()
	}
	if c.reportProxy != nil {
		c.reportProxy.close()
	}
	if c.Fleet != nil {
		errs = append(errs, c.Fleet.Close())
	}
	if c.Pool != nil {
		c.Pool.Close()
	}
	return errors.Join(errs...)
}
