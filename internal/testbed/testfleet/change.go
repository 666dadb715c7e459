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

// ChangeOptions describe a change and the fleet to which it is rolled out.
type ChangeOptions struct {
	Gateways, Engines                int
	Cores                            float64 // cores per engine
	Load                             float64 // offered load as a share of the capacity of the engines' cores
	Seed                             uint64
	Dir                              string   // directory for the plan, configurations and logs
	Program                          []string // command line of the old version
	Env                              []string // environment variables of all processes
	Fault                            string   // fault of the new version, one of emulator.Faults; "" = none
	Settings                         string   // operator's file sections added by the new version; "" = the program changes
	Stages                           []string
	MinWatchSeconds, MaxWatchSeconds float64 // minimum and maximum analysis window of a stage, in seconds
}

// Change is a fleet under load, its engines and clients, and the plan of a change that a controller rolls out.
type Change struct {
	options     ChangeOptions
	Pool        *Pool
	Fleet       *Fleet
	Clients     *emulator.Clients
	CheckedPlan controller.CheckedPlan
	PlanPath    string // path of the plan
	StateDir    string // the controller's state directory
	traffic     emulator.Traffic
	clock       func() time.Duration
	reportProxy *reportProxy
	stop        chan struct{}
	clientsDone sync.WaitGroup
}

// NewChange starts engines, clients and a fleet on the old version, and writes the plan of the change. It returns when all
// gateways are serving and have reported. After an error it stops everything that it has started.
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

// Network delays between the gateways of a change, similar to the platform's.
const (
	minChangeDelay = time.Millisecond
	maxChangeDelay = 5 * time.Millisecond
)

// startTestbed starts the environment of the gateways: engines, discovery server, relay and report proxy.
func (c *Change) startTestbed() (err error) {
	opt := c.options
	if c.Pool, err = NewPool(opt.Engines, emulator.DefaultSpec(opt.Cores), c.clock); err != nil {
		return err
	}
	c.traffic = emulator.Traffic{Classes: emulator.DefaultClasses(), Gateways: opt.Gateways, Skew: 0.5, Groups: opt.Engines * 3,
		Zipf: 0.7, EstimateSigma: 0.5, Seed: opt.Seed}
	c.traffic.Rate = c.traffic.RateForLoad(opt.Load, opt.Cores*float64(opt.Engines))
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

// ready returns nil when all gateways are serving clients and have reported.
func (c *Change) ready() error {
	for i := range c.options.Gateways {
		if !c.Clients.Serving(i) {
			return fmt.Errorf("gateway %d: %w", i, errNotReady)
		}
	}
	if c.reportProxy.numReporting() < c.options.Gateways {
		return errNotReporting
	}
	return nil
}

// SendLoad makes the clients send requests for this duration, on a goroutine that StopClients waits for.
func (c *Change) SendLoad(duration time.Duration) {
	requests := c.traffic.Generate(duration)
	c.clientsDone.Add(1)
	go func() {
		defer c.clientsDone.Done()
		c.Clients.Run(requests, c.stop)
	}()
}

// StopClients stops the clients, waits until all requests have finished, and returns their outcomes.
func (c *Change) StopClients() []emulator.Outcome {
	close(c.stop)
	c.clientsDone.Wait()
	out, _ := c.Clients.Outcomes(0)
	return out
}

// DropReports drops the reports of these gateways, and only these, from now on. Without arguments it drops none.
func (c *Change) DropReports(gateways ...int) { c.reportProxy.setDropped(gateways) }

// openLog opens the log that all controllers of the change append to.
func (c *Change) openLog() (*os.File, error) {
	return os.OpenFile(c.path("controller.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// RunController runs a controller of the change in this process until the change has finished or the context is done.
func (c *Change) RunController(ctx context.Context) (rollout.State, error) {
	log, err := c.openLog()
	if err != nil {
		return rollout.State{}, err
	}
	defer func() { _ = log.Close() }()
	ctl, err := controller.Open(c.StateDir, c.CheckedPlan, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		return rollout.State{}, err
	}
	defer ctl.Close()
	return ctl.Run(ctx)
}

// StartController starts a controller as a separate process, which the kernel kills if this process dies. The caller must
// wait for it. command is the program's command line, to which the arguments of a controller are appended.
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

// RollingRestart restarts one gateway after the other on the new version without any analysis. It is the baseline to which
// staged changes are compared.
func (c *Change) RollingRestart(interval time.Duration) error {
	return controller.RollingRestart(c.StateDir, c.CheckedPlan, interval)
}

// Close kills every process of the fleet, by its process ID, and stops everything else that NewChange has started.
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
