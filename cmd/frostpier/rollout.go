package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"frostpier/internal/control/rollout"
	"frostpier/internal/control/rollout/controller"
)

// Exit codes of the rollout commands.
const (
	exitDone     = 0 // done, or told
	exitError    = 1
	exitPlan     = 2 // the plan, or the command line, is wrong: nothing was done
	exitBusy     = 3 // another controller runs; for pause, resume and abort: none runs
	exitReturned = 4 // the change was taken back
	exitStopped  = 5 // the controller was told to end before the change was over
)

type commandLine struct {
	Rollout struct {
		Plan    planCommand    `cmd:"" help:"Check a plan whole and show its stages; nothing is done."`
		Up      upCommand      `cmd:"" help:"Start the gateways that do not run, on the plan's old version."`
		Start   startCommand   `cmd:"" help:"Carry a change to its end, or take one up that was begun with the same plan."`
		Status  statusCommand  `cmd:"" help:"Show where the last change stands."`
		Pause   controlCommand `cmd:"" help:"Have nothing go on but what is under way."`
		Resume  controlCommand `cmd:"" help:"Go on after a pause, or where too little was known."`
		Abort   controlCommand `cmd:"" help:"Take the change back."`
		History historyCommand `cmd:"" help:"Show what happened, from the journal."`
	} `cmd:"" help:"Change the program or the settings of a fleet in stages."`
}

// stateFlags are common to the commands.
type stateFlags struct {
	State string `default:"rollout" help:"The folder of the journal, logs and operator's files."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

type planCommand struct {
	Plan string `arg:"" type:"existingfile" help:"The plan, a TOML file."`
	JSON bool   `name:"json" help:"Print JSON."`
}

type startCommand struct {
	stateFlags
	Plan string `arg:"" type:"existingfile" help:"The plan, a TOML file."`
}

type upCommand struct {
	stateFlags
	Plan string `arg:"" type:"existingfile" help:"The plan, a TOML file."`
}

// Run starts what does not run.
func (c *upCommand) Run() error {
	checked, err := checkPlan(c.Plan)
	if err != nil {
		return err
	}
	started, err := controller.Up(c.State, checked)
	if err != nil {
		return err
	}
	fmt.Printf("%d gateways started, %d ran already\n", started, len(checked.Fleet.Gateways)-started)
	return nil
}

type statusCommand struct{ stateFlags }

type controlCommand struct{ stateFlags }

type historyCommand struct {
	stateFlags
	Name string `arg:"" optional:"" help:"The change; the last one where none is named."`
}

// exit is an error with an exit code of its own.
type exit struct {
	code int
	err  error
}

func (e exit) Error() string { return e.err.Error() }

// command runs a command line; it returns the exit code.
func command(args []string) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name("frostpier"), kong.UsageOnError(),
		kong.Description("A workload manager. Without arguments it serves, as GW_CONFIG says."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "frostpier:", err)
		return exitError
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "frostpier:", err)
		return exitPlan
	}
	if err := ctx.Run(ctx.Command()); err != nil {
		fmt.Fprintln(os.Stderr, "frostpier:", err)
		var e exit
		if errors.As(err, &e) {
			return e.code
		}
		return exitError
	}
	return exitDone
}

func checkPlan(path string) (controller.Checked, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return controller.Checked{}, exit{exitPlan, err}
	}
	c, err := controller.CheckPlan(text)
	if err != nil {
		return c, exit{exitPlan, err}
	}
	return c, nil
}

// Run shows a plan.
func (c *planCommand) Run() error {
	checked, err := checkPlan(c.Plan)
	if err != nil {
		return err
	}
	stages := checked.Plan.Order(len(checked.Fleet.Gateways))
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(map[string]any{"plan": checked.Plan, "ids": checked.IDs, "stages": stages})
	}
	fmt.Printf("change %q of %d gateways\n", checked.Plan.Name, len(checked.Fleet.Gateways))
	for _, v := range []string{rollout.OldVersion, rollout.NewVersion} {
		fmt.Printf("%s: program %016x, settings %016x\n", v, checked.IDs[v].Program, checked.IDs[v].Settings)
	}
	for k, list := range stages {
		fmt.Printf("stage %d:", k+1)
		for _, i := range list {
			fmt.Printf(" %s", checked.Fleet.Gateways[i].Name)
		}
		fmt.Println()
	}
	return nil
}

// Run carries a change.
func (c *startCommand) Run() error {
	checked, err := checkPlan(c.Plan)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	k, err := controller.Open(c.State, checked, log)
	if errors.Is(err, controller.ErrRunning) {
		return exit{exitBusy, err}
	}
	if err != nil {
		return err
	}
	defer k.Close()
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	state, err := k.Run(term)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(state); err != nil {
			return err
		}
	}
	switch state.Phase {
	case rollout.Done:
		return nil
	case rollout.Returned:
		return exit{exitReturned, fmt.Errorf("stage %d was taken back: %s", state.Stage+1, state.Reason)}
	}
	return exit{exitStopped, fmt.Errorf("ended while %s; start it again to go on", state.Phase)}
}

func (f stateFlags) show(s controller.Status) error {
	if f.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	fmt.Printf("change %q: %s, stage %d, since %s\n", s.Name, s.State.Phase, s.State.Stage+1,
		time.Unix(0, int64(s.State.Since)).Format(time.DateTime))
	if s.State.Reason != "" {
		fmt.Println("because:", s.State.Reason)
	}
	if s.Opinion.Why != "" {
		fmt.Println("thought:", s.Opinion.Why)
	}
	fmt.Printf("gateways: %d on the old version, %d on the new one; a controller runs: %v\n", s.On[rollout.OldVersion], s.On[rollout.NewVersion], s.Running)
	return nil
}

// Run shows where a change stands.
func (c *statusCommand) Run() error {
	s, err := controller.Last(c.State)
	if err != nil {
		return err
	}
	return c.show(s)
}

// Run sends a command: the subcommand's own name.
func (c *controlCommand) Run(command string) error {
	s, err := controller.SendCommand(c.State, command[len("rollout "):])
	if errors.Is(err, controller.ErrNone) {
		return exit{exitBusy, err}
	}
	if err != nil {
		return err
	}
	return c.show(s)
}

// Run shows what happened.
func (c *historyCommand) Run() error {
	history, err := controller.History(c.State, c.Name)
	if errors.Is(err, controller.ErrRunning) {
		return exit{exitBusy, err}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(history)
	}
	for _, l := range history {
		fmt.Println(time.Unix(0, int64(l.At)).Format(time.DateTime), l.Text)
	}
	return nil
}
