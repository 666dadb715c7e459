package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"frostpier/internal/control/rollout"
)

// Controller carries one change to its end.
type Controller struct {
	log      *slog.Logger
	dir      string
	checked  Checked
	journal  *Journal
	machine  *rollout.Machine
	procs    *procs
	sock     *net.UDPConn
	control  net.Listener
	checks   *checker
	reports  chan rollout.Report
	found    chan checkedAt
	requests chan controlRequest
	quit     chan struct{}
}

const (
	tickEvery   = 100 * time.Millisecond
	oldChecked  = 3 // old gateways that are asked known queries: to see whether wrong results are the engines'
	journalName = "rollout.db"
)

// Open begins a change, or takes up the one of this name that is not over; dir is where the controller keeps its state.
func Open(dir string, c Checked, log *slog.Logger) (_ *Controller, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return nil, err
	}
	k := &Controller{log: log, dir: dir, checked: c, reports: make(chan rollout.Report, 4096), found: make(chan checkedAt, 4096),
		requests: make(chan controlRequest), quit: make(chan struct{}),
		procs: fleetProcs(dir, c)}
	if k.journal, err = OpenJournal(filepath.Join(dir, journalName)); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			k.journal.Close()
		}
	}()
	if err := k.takeUp(); err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp4", c.Plan.Listen)
	if err != nil {
		return nil, fmt.Errorf("plan: listen: %w", err)
	}
	if k.sock, err = net.ListenUDP("udp4", addr); err != nil {
		return nil, fmt.Errorf("plan: listen: %w", err)
	}
	k.sock.SetReadBuffer(4 << 20) // hundreds of gateways may report in one moment
	if k.control, err = listenControl(dir); err != nil {
		k.sock.Close()
		return nil, err
	}
	k.checks = newChecker(c, k.found)
	return k, nil
}

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// takeUp makes the machine: from the journal where the change is under way there.
func (k *Controller) takeUp() error {
	p, fleet := k.checked.Plan, k.checked.Fleet
	old, new := k.checked.IDs[rollout.OldVersion], k.checked.IDs[rollout.NewVersion]
	last, err := k.journal.Last()
	switch {
	case err != nil && !errors.Is(err, ErrNoChange):
		return err
	case err == nil && !last.State.Phase.Over() && last.Name != p.Name:
		return fmt.Errorf("change %q is under way (%s): end it first", last.Name, last.State.Phase)
	case err == nil && !last.State.Phase.Over():
		if string(last.Plan) != string(k.checked.Text) {
			return fmt.Errorf("change %q was begun with another plan", p.Name)
		}
		if len(last.State.Gateways) != len(fleet.Gateways) {
			return fmt.Errorf("change %q was begun with %d gateways", p.Name, len(last.State.Gateways))
		}
		k.machine = rollout.Resume(now(), p, old, new, fleet.Classes, last.State)
		k.log.Info("taken up", "change", p.Name, "phase", last.State.Phase, "stage", last.State.Stage+1)
		return k.journal.Save(p.Name, k.machine.State(), now(), []string{"taken up by a controller that started"})
	}
	k.machine = rollout.New(now(), p, old, new, fleet.Classes, len(fleet.Gateways))
	return k.journal.Begin(p.Name, k.checked.Text, k.machine.State())
}

// Close ends the controller; gateways go on.
func (k *Controller) Close() {
	close(k.quit)
	k.checks.close()
	k.sock.Close()
	k.control.Close()
	os.Remove(filepath.Join(k.dir, controlName))
	k.journal.Close()
}

// Run carries the change until it is over, or the context ends; it returns where it stands.
func (k *Controller) Run(ctx context.Context) (rollout.State, error) {
	go k.receiveReports()
	go k.serveControl()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return k.machine.State(), nil
		case r := <-k.reports:
			k.machine.ReceiveReport(now(), r)
			continue
		case c := <-k.found:
			k.machine.RecordChecks(c.gateway, c.class, c.c)
			continue
		case a := <-k.requests:
			a.reply <- k.handleCommand(a.command)
		case <-tick.C:
		}
		for drained := false; !drained; { // what was told before this moment counts in it
			select {
			case r := <-k.reports:
				k.machine.ReceiveReport(now(), r)
			default:
				drained = true
			}
		}
		for i, found := range k.procs.look() {
			k.machine.ObserveProcess(i, found.pid, found.live)
		}
		k.machine.Tick(now())
		if err := k.carryOut(); err != nil {
			return k.machine.State(), err
		}
		if s := k.machine.State(); s.Phase.Over() {
			return s, nil
		}
		k.aim()
	}
}

// carryOut writes the state down, and only then does what is to be done: a controller that takes the change up does it
// again where it cannot tell that it was done.
func (k *Controller) carryOut() error {
	actions := k.machine.Actions()
	var notes []string
	for _, a := range actions {
		if n, is := a.(rollout.Note); is {
			notes = append(notes, n.Text)
			k.log.Info("rollout", "says", n.Text)
		}
	}
	if k.machine.Dirty() || len(notes) > 0 {
		if err := k.journal.Save(k.checked.Plan.Name, k.machine.State(), now(), notes); err != nil {
			return err
		}
	}
	for _, action := range actions {
		var err error
		switch a := action.(type) {
		case rollout.Stop:
			err = k.procs.signal(a.Gateway, a.PID, syscall.SIGTERM)
		case rollout.Kill:
			err = k.procs.signal(a.Gateway, a.PID, syscall.SIGKILL)
		case rollout.Reload:
			err = k.procs.reload(a.Gateway, a.Version, a.PID)
		case rollout.Start:
			err = k.procs.start(a.Gateway, a.Version)
		}
		if err != nil && !errors.Is(err, errGone) { // that it did not happen shows in what is looked at next
			k.log.Error("not done", "what", fmt.Sprintf("%T", action), "error", err)
		}
	}
	return nil
}

// aim has the new gateways, and a few old ones, asked the known queries while a stage is watched.
func (k *Controller) aim() {
	s := k.machine.State()
	var list []int
	olds := 0
	if s.Phase == rollout.Watching {
		for i, g := range s.Gateways {
			if g.Step != rollout.Steady {
				continue
			}
			if g.Started == rollout.NewVersion {
				list = append(list, i)
			} else if olds < oldChecked {
				olds++
				list = append(list, i)
			}
		}
	}
	k.checks.target(list)
}

// receiveReports reads reports until the socket is closed.
func (k *Controller) receiveReports() {
	buf := make([]byte, rollout.MostReport+1)
	for {
		n, _, err := k.sock.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r, err := rollout.ParseReport(buf[:n], k.checked.Plan.Fleet, len(k.checked.Fleet.Gateways), len(k.checked.Fleet.Classes))
		if err != nil {
			k.log.Debug("report dropped", "error", err)
			continue
		}
		select {
		case k.reports <- r:
		default: // the next one tells the same and more
		}
	}
}
