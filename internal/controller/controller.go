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
	tickInterval     = 100 * time.Millisecond
	checkedOld       = 3       // old gateways that are checked too, to see whether incorrect results are the engines'
	reportBufferSize = 4 << 20 // bytes: hundreds of gateways may report at the same moment
	queueSize        = 4096    // reports, and check results, that wait for the loop
	journalName      = "rollout.db"
)

// Controller carries one change to its end. Run owns its state.
type Controller struct {
	log      *slog.Logger
	dir      string
	checked  CheckedPlan
	journal  *Journal
	machine  *rollout.Machine
	procs    *processes
	sock     *net.UDPConn // of reports
	control  net.Listener
	checker  *checker
	reports  chan rollout.Report
	results  chan checkResult
	requests chan controlRequest
	quit     chan struct{}  // closed by Close
	loops    sync.WaitGroup // that receive reports and accept commands
}

// ConflictError says that the journal's state does not allow to begin or resume a change.
type ConflictError struct {
	Change string // the name of the change in the journal
	Reason string
}

// Error returns the text that operators see.
func (e *ConflictError) Error() string { return fmt.Sprintf("change %q %s", e.Change, e.Reason) }

// Open begins a change, or resumes the one of this name that is not over. The controller keeps its state in dir. Open fails
// with ErrRunning while another controller has the journal, and with a *ConflictError while another change is under way.
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
		reports:  make(chan rollout.Report, queueSize),
		results:  make(chan checkResult, queueSize),
		requests: make(chan controlRequest),
		quit:     make(chan struct{}),
	}
	if k.journal, err = OpenJournal(filepath.Join(dir, journalName)); err != nil {
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

// listenReports opens the socket to which gateways report.
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
	_ = sock.SetReadBuffer(reportBufferSize) // the system may grant less: a lost report is followed by the next
	return sock, nil
}

// now returns the Unix time.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// beginOrResume makes the state machine: from the journal if the change is under way there.
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

// resume continues a change that is under way in the journal, if it is the plan's and was begun with the same plan.
func (k *Controller) resume(last Change) error {
	p, fleet := k.checked.Plan, k.checked.Fleet
	switch {
	case last.Name != p.Name:
		return &ConflictError{last.Name, fmt.Sprintf("is under way (%s): end it first", last.State.Phase)}
	case string(last.Plan) != string(k.checked.Text):
		return &ConflictError{p.Name, "was begun with another plan"}
	case len(last.State.Gateways) != len(fleet.Gateways):
		return &ConflictError{p.Name, fmt.Sprintf("was begun with %d gateways", len(last.State.Gateways))}
	}
	k.machine = rollout.Resume(now(), p, k.checked.IDs[rollout.OldVersion], k.checked.IDs[rollout.NewVersion], fleet.Classes, last.State)
	k.log.Info("change resumed", "change", p.Name, "phase", last.State.Phase, "stage", last.State.Stage+1)
	return k.journal.Save(p.Name, k.machine.State(), now(), []string{"taken up by a controller that started"})
}

// Close ends the controller and its goroutines. The gateways keep running.
func (k *Controller) Close() {
	close(k.quit)
	k.checker.close()
	_ = k.sock.Close()
	_ = k.control.Close()
	k.loops.Wait()
	_ = os.Remove(filepath.Join(k.dir, controlName))
	if err := k.journal.Close(); err != nil {
		k.log.Error("journal not closed", "error", err)
	}
}

// Run carries the change until it is over or the context ends, and returns its state. It is called once.
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

// startLoop starts a goroutine that Close waits for.
func (k *Controller) startLoop(loop func()) {
	k.loops.Add(1)
	go func() {
		defer k.loops.Done()
		loop()
	}()
}

// tick updates what is observed, and carries out what the state machine decides.
func (k *Controller) tick() error {
	k.drainReports()
	for i, p := range k.procs.find() {
		k.machine.ObserveProcess(i, p.pid, p.reloadable)
	}
	k.machine.Tick(now())
	return k.carryOut()
}

// drainReports records the reports that arrived before this moment, so that the next decision counts them.
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

// carryOut stores the state, and only then carries out the actions: a controller that resumes the change repeats those of which it
// cannot tell that they were carried out.
func (k *Controller) carryOut() error {
	actions := k.machine.Actions()
	var notes []string
	for _, a := range actions {
		if n, is := a.(rollout.Note); is {
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
		// A failed action shows in what is observed next, and the state machine decides again.
		if err := k.execute(a); err != nil && !errors.Is(err, errProcessEnded) {
			k.log.Error("action failed", "action", fmt.Sprintf("%T", a), "error", err)
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

// gatewaysToCheck returns the new gateways and a few old ones while a stage is watched, else none.
func (k *Controller) gatewaysToCheck() (gateways []int) {
	s := k.machine.State()
	if s.Phase != rollout.Watching {
		return nil
	}
	olds := 0
	for i, g := range s.Gateways {
		if g.Step != rollout.Steady {
			continue
		}
		if g.StartedVersion == rollout.NewVersion {
			gateways = append(gateways, i)
		} else if olds < checkedOld {
			olds++
			gateways = append(gateways, i)
		}
	}
	return gateways
}

// receiveReports reads reports until the socket is closed.
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
			k.log.Debug("report dropped", "error", err)
			continue
		}
		select {
		case k.reports <- r:
		default: // the gateway's next report includes what this one counts
		}
	}
}
