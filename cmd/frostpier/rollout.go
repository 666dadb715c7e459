package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"frostpier/internal/control/rollout"
	"frostpier/internal/controller"
)

// commandLine is what kong parses. The names of commands, arguments and flags follow from those of the fields.
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

// stateFlags are the flags that most commands share.
type stateFlags struct {
	State string `default:"rollout" help:"The folder of the journal, logs and operator's files."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

type (
	planCommand struct {
		Plan string `arg:"" type:"existingfile" help:"The plan, a TOML file."`
		JSON bool   `name:"json" help:"Print JSON."`
	}
	startCommand struct {
		stateFlags
		Plan string `arg:"" type:"existingfile" help:"The plan, a TOML file."`
	}
	upCommand struct {
		stateFlags
		Plan string `arg:"" type:"existingfile" help:"The plan, a TOML file."`
	}
	statusCommand  struct{ stateFlags }
	controlCommand struct{ stateFlags } // pause, resume or abort
	historyCommand struct {
		stateFlags
		Name string `arg:"" optional:"" help:"The change; the last one where none is named."`
	}
)

// commandPrefix is what kong's name of a subcommand starts with.
const commandPrefix = "rollout "

// runCommand runs a command line and returns the exit code.
func runCommand(args []string) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name("frostpier"), kong.UsageOnError(),
		kong.Description("A workload manager. Without arguments it serves, as GW_CONFIG says."))
	if err != nil {
		printError(err)
		return exitError
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		printError(err)
		return exitPlan
	}
	err = ctx.Run(ctx.Command())
	if err != nil {
		printError(err)
	}
	return exitCode(err)
}

// readPlan reads and checks a plan.
func readPlan(path string) (controller.CheckedPlan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return controller.CheckedPlan{}, codedError{exitPlan, err}
	}
	checked, err := controller.CheckPlan(text)
	if err != nil {
		return checked, codedError{exitPlan, err}
	}
	return checked, nil
}

// printJSON prints a value as one line of JSON.
func printJSON(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }

// planOutput is the JSON output of the command plan.
type planOutput struct {
	IDs    map[string]rollout.VersionID `json:"ids"` // by version
	Plan   rollout.Plan                 `json:"plan"`
	Stages [][]int                      `json:"stages"` // numbers of the gateways
}

// Run checks and shows a plan.
func (c *planCommand) Run() error {
	checked, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	stages := checked.Plan.StageGateways(len(checked.Fleet.Gateways))
	if c.JSON {
		return printJSON(planOutput{IDs: checked.IDs, Plan: checked.Plan, Stages: stages})
	}
	printPlan(checked, stages)
	return nil
}

func printPlan(checked controller.CheckedPlan, stages [][]int) {
	fmt.Printf("change %q of %d gateways\n", checked.Plan.Name, len(checked.Fleet.Gateways))
	for _, version := range []string{rollout.OldVersion, rollout.NewVersion} {
		id := checked.IDs[version]
		fmt.Printf("%s: program %016x, settings %016x\n", version, id.Program, id.Settings)
	}
	for i, stage := range stages {
		fmt.Printf("stage %d:", i+1)
		for _, number := range stage {
			fmt.Printf(" %s", checked.Fleet.Gateways[number].Name)
		}
		fmt.Println()
	}
}

// Run starts the gateways that do not run.
func (c *upCommand) Run() error {
	checked, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	started, err := controller.StartGateways(c.State, checked)
	if err != nil {
		return err
	}
	fmt.Printf("%d gateways started, %d ran already\n", started, len(checked.Fleet.Gateways)-started)
	return nil
}

// Run executes a change to its end.
func (c *startCommand) Run() error {
	state, err := c.execute()
	if err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(state); err != nil {
			return err
		}
	}
	switch state.Phase {
	case rollout.Done:
		return nil
	case rollout.RolledBack:
		return codedError{exitReturned, fmt.Errorf("stage %d was taken back: %s", state.Stage+1, state.Reason)}
	}
	return codedError{exitStopped, fmt.Errorf("ended while %s; start it again to go on", state.Phase)}
}

// execute runs the controller until the change is over or a signal ends it.
func (c *startCommand) execute() (rollout.State, error) {
	checked, err := readPlan(c.Plan)
	if err != nil {
		return rollout.State{}, err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	changer, err := controller.Open(c.State, checked, log)
	if errors.Is(err, controller.ErrRunning) {
		return rollout.State{}, codedError{exitBusy, err}
	}
	if err != nil {
		return rollout.State{}, err
	}
	defer changer.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return changer.Run(ctx)
}

// show prints the status of a change.
func (f stateFlags) show(s controller.Status) error {
	if f.JSON {
		return printJSON(s)
	}
	fmt.Printf("change %q: %s, stage %d, since %s\n", s.Name, s.State.Phase, s.State.Stage+1, formatTime(int64(s.State.Since)))
	if s.State.Reason != "" {
		fmt.Println("because:", s.State.Reason)
	}
	if s.Verdict.Reason != "" {
		fmt.Println("thought:", s.Verdict.Reason)
	}
	fmt.Printf("gateways: %d on the old version, %d on the new one; a controller runs: %v\n",
		s.GatewayCounts[rollout.OldVersion], s.GatewayCounts[rollout.NewVersion], s.Running)
	return nil
}

// formatTime formats nanoseconds since the Unix epoch.
func formatTime(ns int64) string { return time.Unix(0, ns).Format(time.DateTime) }

// Run shows the status of the last change.
func (c *statusCommand) Run() error {
	s, err := controller.LastStatus(c.State)
	if err != nil {
		return err
	}
	return c.show(s)
}

// Run sends a command to the running controller: the subcommand's own name.
func (c *controlCommand) Run(command string) error {
	s, err := controller.SendCommand(c.State, strings.TrimPrefix(command, commandPrefix))
	if errors.Is(err, controller.ErrNotRunning) {
		return codedError{exitBusy, err}
	}
	if err != nil {
		return err
	}
	return c.show(s)
}

// Run shows the journal of a change.
func (c *historyCommand) Run() error {
	history, err := controller.History(c.State, c.Name)
	if errors.Is(err, controller.ErrRunning) {
		return codedError{exitBusy, err}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(history)
	}
	for _, line := range history {
		fmt.Println(formatTime(int64(line.At)), line.Text)
	}
	return nil
}
