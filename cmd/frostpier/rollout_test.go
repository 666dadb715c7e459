//go:build !debug

// Built only without the tag debug to keep CI short: with the tag, fleet_test.go runs fleets.

package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostpier/internal/control/rollout"
	"frostpier/internal/controller"
	"frostpier/internal/testbed/emulator"
	"frostpier/internal/testbed/testfleet"
)

// The tests run twelve processes of the program under load, and roll out changes. They check the controller's decisions and the clients'
// responses, but no durations; timeouts are many times the expected time.
const (
	changeGateways = 12
	changeTimeout  = 3 * time.Minute
)

// startChange starts a fleet, its engines and its clients, and prepares a change.
func startChange(t *testing.T, opt testfleet.ChangeOptions) *testfleet.Change {
	t.Helper()
	opt.Gateways, opt.Engines, opt.Cores, opt.Load = changeGateways, 4, 8, 0.5
	opt.Dir, opt.Program = t.TempDir(), []string{os.Args[0]}
	opt.Env = append([]string{envAsProgram + "=1"}, emulator.OwnerEnv()...)
	if opt.Stages == nil {
		opt.Stages = []string{"2", "100%"}
	}
	if opt.MinWatchSeconds == 0 {
		opt.MinWatchSeconds, opt.MaxWatchSeconds = 7, 60
	}
	c, err := testfleet.NewChange(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		logs, _ := filepath.Glob(filepath.Join(opt.Dir, "rollout", "logs", "*.log"))
		for _, path := range append(logs, filepath.Join(opt.Dir, "controller.log")) {
			text, _ := os.ReadFile(path)
			if strings.Contains(string(text), "panic") || strings.Contains(string(text), "DATA RACE") {
				t.Errorf("%s shows a panic or a data race:\n%s", path, text)
			}
		}
		if t.Failed() {
			text, _ := os.ReadFile(filepath.Join(opt.Dir, "controller.log"))
			t.Logf("the controller's log:\n%s", text)
		}
	})
	c.SendLoad(changeTimeout)
	return c
}

// executeChange runs the controller in this process until the change has finished.
func executeChange(t *testing.T, c *testfleet.Change) rollout.State {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	s, err := c.RunController(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkReplies checks that every request got exactly one complete reply. killed allows lost requests, for tests that kill a gateway. It
// returns the number of requests by verdict.
func checkReplies(t *testing.T, c *testfleet.Change, killed bool) map[emulator.Verdict]int {
	t.Helper()
	verdicts := map[emulator.Verdict]int{}
	for _, o := range c.StopClients() {
		verdicts[o.Verdict]++
		if o.DuplicateAnswers > 0 {
			t.Errorf("a request got %d duplicate replies", o.DuplicateAnswers)
		}
	}
	if !killed && verdicts[emulator.Lost]+verdicts[emulator.Unanswered] > 0 {
		t.Errorf("lost or unanswered: %v", verdicts)
	}
	return verdicts
}

// TestFleetGoodChangeCompletes checks that a change without a fault completes, that no request is lost, and that none gets two replies.
func TestFleetGoodChangeCompletes(t *testing.T) {
	t.Parallel()
	c := startChange(t, testfleet.ChangeOptions{Seed: 1})
	s := executeChange(t, c)
	verdicts := checkReplies(t, c, false)
	t.Logf("%s, %v", s.Phase, verdicts)
	if s.Phase != rollout.Done || verdicts[emulator.Corrupted] > 0 {
		t.Errorf("%s: %s; %v; want phase done and no corrupted reply", s.Phase, s.Reason, verdicts)
	}
	status, err := controller.LastStatus(c.StateDir)
	if err != nil || status.GatewayCounts[rollout.NewVersion] != changeGateways {
		t.Errorf("status: %+v, error %v, want all gateways on the new version", status, err)
	}
}

// TestFleetFaultyChangesAreRolledBack checks, for each fault of a new version, that the change is rolled back in its first stage and that all
// gateways run the old version again.
func TestFleetFaultyChangesAreRolledBack(t *testing.T) {
	t.Parallel()
	for _, fault := range emulator.Faults() {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			c := startChange(t, testfleet.ChangeOptions{Seed: 2, Fault: fault, MinWatchSeconds: 15, MaxWatchSeconds: 100})
			s := executeChange(t, c)
			verdicts := checkReplies(t, c, true)
			t.Logf("%s: %s; %v", s.Phase, s.Reason, verdicts)
			if s.Phase != rollout.RolledBack || s.Stage != 0 {
				t.Errorf("%s in stage %d: %s; want a rollback in stage 1", s.Phase, s.Stage+1, s.Reason)
			}
			status, err := controller.LastStatus(c.StateDir)
			if err != nil || status.GatewayCounts[rollout.OldVersion] != changeGateways {
				t.Errorf("status: %+v, error %v, want all gateways on the old version", status, err)
			}
		})
	}
}

// TestFleetSettingsChangeNeedsNoRestart checks that a change that affects only settings is applied by reloads, without a restart.
func TestFleetSettingsChangeNeedsNoRestart(t *testing.T) {
	t.Parallel()
	c := startChange(t, testfleet.ChangeOptions{Seed: 3, Settings: "\n# a comment makes another file\n"})
	before := controller.FindProcesses(c.CheckedPlan.Fleet)
	s := executeChange(t, c)
	verdicts := checkReplies(t, c, false)
	if s.Phase != rollout.Done {
		t.Errorf("%s: %s; %v; want phase done", s.Phase, s.Reason, verdicts)
	}
	for i, pid := range controller.FindProcesses(c.CheckedPlan.Fleet) {
		if pid != before[i] {
			t.Errorf("gateway %d was restarted: pid %d became %d", i, before[i], pid)
		}
	}
}

// TestFleetChangeSurvivesControllerKills kills the controller at several points of a change, and checks that the next one resumes and
// completes it. A second controller must be rejected while one is running.
func TestFleetChangeSurvivesControllerKills(t *testing.T) {
	t.Parallel()
	c := startChange(t, testfleet.ChangeOptions{Seed: 4, Stages: []string{"2", "5", "100%"}, MinWatchSeconds: 3, MaxWatchSeconds: 60})
	for _, after := range []time.Duration{300, 900, 1700, 2600, 3100, 4500} {
		startController(t, c).killAfter(after * time.Millisecond)
	}
	k := startController(t, c)
	defer k.cmd.Process.Kill()
	k.wantSecondRejected(c)
	select {
	case <-k.ended:
	case <-time.After(changeTimeout):
		t.Fatal("the change did not finish in time")
	}
	if code := k.cmd.ProcessState.ExitCode(); code != exitOK {
		t.Errorf("exit code %d, want %d", code, exitOK)
	}
	checkReplies(t, c, false)
	history, err := controller.History(c.StateDir, "")
	if err != nil || len(history) == 0 {
		t.Errorf("history: %d entries, error %v, want at least one entry", len(history), err)
	}
	status, err := controller.LastStatus(c.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	if status.State.Phase != rollout.Done || status.GatewayCounts[rollout.NewVersion] != changeGateways {
		t.Errorf("status: %+v, want phase done with all gateways on the new version", status)
	}
}

// controllerProcess is a process that runs the command "rollout start".
type controllerProcess struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended chan error
}

// startCommandProcess starts the command "rollout start" in a process.
func startCommandProcess(t *testing.T, c *testfleet.Change) *exec.Cmd {
	t.Helper()
	cmd, err := c.StartController([]string{os.Args[0]}, append([]string{envAsProgram + "=1"}, emulator.OwnerEnv()...))
	if err != nil {
		t.Fatal(err)
	}
	return cmd
}

// startController starts a controller for the change in a process.
func startController(t *testing.T, c *testfleet.Change) *controllerProcess {
	t.Helper()
	k := &controllerProcess{t: t, cmd: startCommandProcess(t, c), ended: make(chan error, 1)}
	go func() { k.ended <- k.cmd.Wait() }()
	return k
}

// killAfter kills the controller after a delay. The controller must still be running then.
func (k *controllerProcess) killAfter(delay time.Duration) {
	k.t.Helper()
	select {
	case err := <-k.ended:
		k.t.Fatalf("the controller exited: %v", err)
	case <-time.After(delay):
	}
	if err := k.cmd.Process.Kill(); err != nil {
		k.t.Fatal(err)
	}
	<-k.ended
}

// wantSecondRejected starts second controllers until one is rejected. This controller must be running until then.
func (k *controllerProcess) wantSecondRejected(c *testfleet.Change) {
	k.t.Helper()
	deadline := time.After(waitTimeout)
	for code := exitOK; code != exitConflict; {
		select {
		case err := <-k.ended:
			k.t.Fatalf("the controller exited: %v", err)
		case <-deadline:
			k.t.Fatal("a second controller was not rejected")
		case <-time.After(100 * time.Millisecond):
		}
		if _, err := controller.SendCommand(c.StateDir, "status"); err != nil {
			continue // the first controller has not opened its journal yet
		}
		second := startCommandProcess(k.t, c)
		second.Wait()
		code = second.ProcessState.ExitCode()
	}
}

// awaitPhase waits until the change is in this phase. It returns false if the change finishes first or the wait times out.
func awaitPhase(c *testfleet.Change, phase rollout.Phase) bool {
	for deadline := time.Now().Add(changeTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, err := controller.LastStatus(c.StateDir)
		if err == nil && status.State.Phase == phase {
			return true
		}
		if err == nil && status.State.Phase.Finished() {
			return false
		}
	}
	return false
}

// TestFleetChangeToleratesUnrelatedFaults checks that a change is not rolled back because of faults that it did not cause: in the middle of a
// stage the reports of a third of the gateways are dropped, a gateway is killed, and an engine hangs.
func TestFleetChangeToleratesUnrelatedFaults(t *testing.T) {
	t.Parallel()
	c := startChange(t, testfleet.ChangeOptions{Seed: 5, MinWatchSeconds: 10, MaxWatchSeconds: 90})
	order := c.CheckedPlan.Plan.StageGateways(changeGateways)
	go func() {
		if !awaitPhase(c, rollout.Watching) {
			return // executeChange reports how the change ended
		}
		time.Sleep(time.Second)
		c.DropReports(order[0][0], order[1][0], order[1][1], order[1][2])
		c.Pool.Engines()[0].SetHung(true)
		if pid := controller.FindProcesses(c.CheckedPlan.Fleet)[order[0][1]]; pid > 0 {
			if p, err := os.FindProcess(pid); err == nil {
				p.Kill()
			}
		}
		time.AfterFunc(8*time.Second, func() {
			c.DropReports()
			c.Pool.Engines()[0].SetHung(false)
		})
	}()
	s := executeChange(t, c)
	verdicts := checkReplies(t, c, true)
	t.Logf("%s: %s; %v", s.Phase, s.Reason, verdicts)
	if s.Phase != rollout.Done {
		t.Errorf("%s: %s; want phase done", s.Phase, s.Reason)
	}
}
