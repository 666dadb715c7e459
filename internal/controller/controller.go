package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"frostpier/internal/control/rollout"
)

const (
	tickInterval          = 100 * time.Millisecond
	maxOldGatewaysChecked = 3       // old gateways that are checked for comparison, since incorrect results may come from the engines
	reportBufferSize      = 4 << 20 // bytes: hundreds of gateways may send reports at the same moment
	channelCapacity       = 4096    // capacity of the channels to Run, one for reports and one for check results
	journalFileName       = "rollout.db"
)

// Controller executes one change until it has completed or been rolled back. Run owns its state.
type Controller struct {
	log      *slog.Logger
	dir      string
	checked  CheckedPlan
	journal  *Journal
	machine  *rollout.Machine
	procs    *processes
	sock     *net.UDPConn // receives reports
	control  net.Listener
	checker  *checker
	reports  chan rollout.Report
	results  chan checkResult
	requests chan controlRequest
	quit     chan struct{}  // closed by Close
	loops    sync.WaitGroup // goroutines that receive reports and accept commands
}

// ConflictError means that a change cannot begin or be resumed because of the journal's state.
type ConflictError struct {
	Change string // the name of the change in the journal
	Reason string
}

// Error returns the text that operators see.
func (e *ConflictError) Error() string { return fmt.Sprintf("change %q %s", e.Change, e.Reason) }

// Open begins the plan's change, or resumes it if it is unfinished in the journal. The controller stores its state in dir. Open fails
// with ErrRunning while another controller has the journal open, and with a *ConflictError while another change is in progress.
func Open(dir string, c CheckedPlan, log *slog.Logger) (_ *Controller, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return nil, err
	}
	k := &Controller{
		log:      log,
		dir:      dir,
		checked:  c,
		procs:    newProcesses(dir, c),
		reports:  make(chan rollout.Report, channelCapacity),
		results:  make(chan checkResult, channelCapacity),
		requests: make(chan controlRequest),
		quit:     make(chan struct{}),
	}
	if k.journal, err = OpenJournal(filepath.Join(dir, journalFileName)); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = k.journal.Close()
		}
	}()
	if err := k.beginOrResume(); err != nil {
		return nil, err
	}
	if k.sock, err = listenReports(c.Plan.Listen); err != nil {
		return nil, err
	}
	if k.control, err = listenControl(dir); err != nil {
		_ = k.sock.Close()
		return nil, err
	}
	k.checker = newChecker(c, k.results)
	return k, nil
}

// listenReports opens the UDP socket that receives the gateways' reports.
func listenReports(address string) (*net.UDPConn, error) {
	invalid := func(err error) error {
		return &rollout.PlanError{Kind: rollout.ErrPlanValue, Key: "listen", Value: address, Reason: err.Error(), Err: err}
	}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, invalid(err)
	}
	sock, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, invalid(err)
	}
	_ = sock.SetReadBuffer(reportBufferSize) // the system may grant less: a lost report is made up for by the next one
	return sock, nil
}

// now returns the time since the Unix epoch.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// beginOrResume creates the state machine, from the journal if the last change there is unfinished.
func (k *Controller) beginOrResume() error {
	last, err := k.journal.Last()
	if err != nil && !errors.Is(err, ErrChangeNotFound) {
		return err
	}
	if err == nil && !last.State.Phase.Finished() {
		return k.resume(last)
	}
	return k.begin()
}

func (k *Controller) begin() error {
	p, fleet := k.checked.Plan, k.checked.Fleet
	k.machine = rollout.New(now(), p, k.checked.IDs[rollout.OldVersion], k.checked.IDs[rollout.NewVersion], fleet.Classes, len(fleet.Gateways))
	return k.journal.Begin(p.Name, k.checked.Text, k.machine.State())
}

// resume resumes the last change of the journal. It fails with a *ConflictError unless that change was started with the same plan.
func (k *Controller) resume(last Change) error {
	p, fleet := k.checked.Plan, k.checked.Fleet
	switch {
	case last.Name != p.Name:
		return &ConflictError{last.Name, fmt.Sprintf("is in progress (%s): complete or abort it first", last.State.Phase)}
	case string(last.Plan) != string(k.checked.Text):
		return &ConflictError{p.Name, "was started with a different plan"}
	case len(last.State.Gateways) != len(fleet.Gateways):
		return &ConflictError{p.Name, fmt.Sprintf("was started on a fleet of %d gateways", len(last.State.Gateways))}
	}
	k.machine = rollout.Resume(now(), p, k.checked.IDs[rollout.OldVersion], k.checked.IDs[rollout.NewVersion], fleet.Classes, last.State)
	k.log.Info("change resumed", "change", p.Name, "phase", last.State.Phase, "stage", last.State.Stage+1)
	return k.journal.Save(p.Name, k.machine.State(), now(), []string{"resumed after a controller restart"})
}

// Close stops the controller and its goroutines. The gateways keep running.
func (k *Controller) Close() {
	close(k.quit)
	k.checker.close()
	_ = k.sock.Close()
	_ = k.control.Close()
	k.loops.Wait()
	_ = os.Remove(filepath.Join(k.dir, controlFileName))
	if err := k.journal.Close(); err != nil {
		k.log.Error("closing the journal failed", "error", err)
	}
}

// Run executes the change until it has finished or ctx is done, and returns its state. It must be called only once.
func (k *Controller) Run(ctx context.Context) (rollout.State, error) {
	k.startLoop(k.receiveReports)
	k.startLoop(k.serveControl)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return k.machine.State(), nil
		case r := <-k.reports:
			k.machine.ReceiveReport(now(), r)
			continue
		case r := <-k.results:
			k.machine.RecordChecks(r.gateway, r.class, r.results)
			continue
		case r := <-k.requests:
			r.reply <- k.handleCommand(r.command)
		case <-ticker.C:
		}
		if err := k.tick(); err != nil {
			return k.machine.State(), err
		}
		if s := k.machine.State(); s.Phase.Finished() {
			return s, nil
		}
		k.checker.setTargets(k.gatewaysToCheck())
	}
}

// startLoop runs a function on a goroutine that Close waits for.
func (k *Controller) startLoop(loop func()) {
	k.loops.Add(1)
	go func() {
		defer k.loops.Done()
		loop()
	}()
}

// tick passes the latest reports and processes to the state machine, and executes the actions that it decides on.
func (k *Controller) tick() error {
	k.drainReports()
	for i, p := range k.procs.find() {
		k.machine.ObserveProcess(i, p.pid, p.reloadable)
	}
	k.machine.Tick(now())
	return k.persistAndExecute()
}

// drainReports passes all queued reports to the state machine, so that its next decision takes them into account.
func (k *Controller) drainReports() {
	for {
		select {
		case r := <-k.reports:
			k.machine.ReceiveReport(now(), r)
		default:
			return
		}
	}
}

// persistAndExecute stores the state before it executes the actions, so that a controller that resumes the change after a crash repeats the
// actions that may not have been executed.
func (k *Controller) persistAndExecute() error {
	actions := k.machine.Actions()
	var notes []string
	for _, a := range actions {
		if n, ok := a.(rollout.Note); ok {
			notes = append(notes, n.Text)
			k.log.Info("change progressed", "note", n.Text)
		}
	}
	if k.machine.Dirty() || len(notes) > 0 {
		if err := k.journal.Save(k.checked.Plan.Name, k.machine.State(), now(), notes); err != nil {
			return err
		}
	}
	for _, a := range actions {
		// No retry here: the state machine sees at the next tick that the action had no effect, and decides again.
		if err := k.execute(a); err != nil && !errors.Is(err, errProcessEnded) {
			k.log.Error("action failed, will be retried if still needed", "action", fmt.Sprintf("%T", a), "error", err)
		}
	}
	return nil
}

func (k *Controller) execute(action rollout.Action) error {
	switch a := action.(type) {
	case rollout.Stop:
		return k.procs.signal(a.Gateway, a.PID, syscall.SIGTERM)
	case rollout.Kill:
		return k.procs.signal(a.Gateway, a.PID, syscall.SIGKILL)
	case rollout.Reload:
		return k.procs.reload(a.Gateway, a.Version, a.PID)
	case rollout.Start:
		return k.procs.start(a.Gateway, a.Version)
	}
	return nil
}

// gatewaysToCheck returns the new gateways and up to maxOldGatewaysChecked old ones while a stage is being watched, otherwise none.
func (k *Controller) gatewaysToCheck() (gateways []int) {
	s := k.machine.State()
	if s.Phase != rollout.Watching {
		return nil
	}
	oldGateways := 0
	for i, g := range s.Gateways {
		if g.Step != rollout.Steady {
			continue
		}
		if g.StartedVersion == rollout.NewVersion {
			gateways = append(gateways, i)
		} else if oldGateways < maxOldGatewaysChecked {
			oldGateways++
			gateways = append(gateways, i)
		}
	}
	return gateways
}

// receiveReports receives reports until the socket is closed.
func (k *Controller) receiveReports() {
	buf := make([]byte, rollout.MaxReportBytes+1)
	fleet := k.checked.Fleet
	for {
		n, _, err := k.sock.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r, err := rollout.ParseReport(buf[:n], k.checked.Plan.Fleet, len(fleet.Gateways), len(fleet.Classes))
		if err != nil {
			k.log.Debug("invalid report dropped", "error", err)
			continue
		}
		select {
		case k.reports <- r:
		default: // dropping the report is harmless: counts are cumulative, so the gateway's next report includes them
		}
	}
}
