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

// commandLine defines the command line for kong, which derives the names of commands, arguments and flags from the field names.
type commandLine struct {
	Rollout struct {
		Plan    planCommand    `cmd:"" help:"Validate a plan and show its stages, without changing anything."`
		Up      upCommand      `cmd:"" help:"Start the gateways that are not running, on the plan's old version."`
		Start   startCommand   `cmd:"" help:"Execute a change in stages, or resume one that was started with the same plan."`
		Status  statusCommand  `cmd:"" help:"Show the status of the last change."`
		Pause   controlCommand `cmd:"" help:"Put the change on hold. Steps in progress are completed."`
		Resume  controlCommand `cmd:"" help:"Resume a change that is on hold, after a pause or an inconclusive stage."`
		Abort   controlCommand `cmd:"" help:"Abort the change: roll all gateways back to the old version."`
		History historyCommand `cmd:"" help:"Show the history of a change."`
	} `cmd:"" help:"Roll out a new program or new settings to a fleet, in stages."`
}

// stateFlags are the flags shared by all commands except plan.
type stateFlags struct {
	State string `default:"rollout" help:"Directory of the journal, logs and operator's files."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

type (
	planCommand struct {
		Plan string `arg:"" type:"existingfile" help:"Path of the plan, a TOML file."`
		JSON bool   `name:"json" help:"Print JSON."`
	}
	startCommand struct {
		stateFlags
		Plan string `arg:"" type:"existingfile" help:"Path of the plan, a TOML file."`
	}
	upCommand struct {
		stateFlags
		Plan string `arg:"" type:"existingfile" help:"Path of the plan, a TOML file."`
	}
	statusCommand  struct{ stateFlags }
	controlCommand struct{ stateFlags } // pause, resume or abort
	historyCommand struct {
		stateFlags
		Name string `arg:"" optional:"" help:"Name of the change; by default the last one."`
	}
)

// commandPrefix is the prefix of the subcommand names that kong passes to Run.
const commandPrefix = "rollout "

// runCommand runs a command line and returns the exit code.
func runCommand(args []string) int {
	var c commandLine
	parser, err := kong.New(&c, kong.Name("frostpier"), kong.UsageOnError(),
		kong.Description("A workload manager for queries. Without arguments it runs the gateway with the configuration file in GW_CONFIG."))
	if err != nil {
		printError(err)
		return exitError
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		printError(err)
		return exitInvalid
	}
	err = ctx.Run(ctx.Command())
	if err != nil {
		printError(err)
	}
	return exitCode(err)
}

// readPlan reads and validates a plan.
func readPlan(path string) (controller.CheckedPlan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return controller.CheckedPlan{}, exitCodeError{exitInvalid, err}
	}
	checked, err := controller.CheckPlan(text)
	if err != nil {
		return checked, exitCodeError{exitInvalid, err}
	}
	return checked, nil
}

// printJSON prints a value as one line of JSON.
func printJSON(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }

// planOutput is the JSON output of the plan command.
type planOutput struct {
	IDs    map[string]rollout.VersionID `json:"ids"` // version IDs, keyed by rollout.OldVersion and rollout.NewVersion
	Plan   rollout.Plan                 `json:"plan"`
	Stages [][]int                      `json:"stages"` // gateway indexes by stage
}

// Run validates a plan and prints its stages.
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

// Run starts the gateways that are not running.
func (c *upCommand) Run() error {
	checked, err := readPlan(c.Plan)
	if err != nil {
		return err
	}
	started, err := controller.StartGateways(c.State, checked)
	if err != nil {
		return err
	}
	fmt.Printf("%d gateways started, %d already running\n", started, len(checked.Fleet.Gateways)-started)
	return nil
}

// Run executes a change and returns an error unless it is completed.
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
		return exitCodeError{exitRolledBack, fmt.Errorf("change rolled back in stage %d: %s", state.Stage+1, state.Reason)}
	}
	return exitCodeError{exitInterrupted, fmt.Errorf("controller stopped in phase %s; run the command again to resume the change", state.Phase)}
}

// execute runs the controller until the change has finished or a signal stops it.
func (c *startCommand) execute() (rollout.State, error) {
	checked, err := readPlan(c.Plan)
	if err != nil {
		return rollout.State{}, err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctl, err := controller.Open(c.State, checked, log)
	if errors.Is(err, controller.ErrRunning) {
		return rollout.State{}, exitCodeError{exitConflict, err}
	}
	if err != nil {
		return rollout.State{}, err
	}
	defer ctl.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return ctl.Run(ctx)
}

// show prints the status of a change.
func (f stateFlags) show(s controller.Status) error {
	if f.JSON {
		return printJSON(s)
	}
	fmt.Printf("change %q: %s, stage %d, since %s\n", s.Name, s.State.Phase, s.State.Stage+1, formatTime(int64(s.State.Since)))
	if s.State.Reason != "" {
		fmt.Println("reason:", s.State.Reason)
	}
	if s.Verdict.Reason != "" {
		fmt.Println("verdict:", s.Verdict.Reason)
	}
	fmt.Printf("gateways: %d on the old version, %d on the new version; controller running: %v\n",
		s.GatewayCounts[rollout.OldVersion], s.GatewayCounts[rollout.NewVersion], s.Running)
	return nil
}

// formatTime formats nanoseconds since the Unix epoch.
func formatTime(ns int64) string { return time.Unix(0, ns).Format(time.DateTime) }

// Run prints the status of the last change.
func (c *statusCommand) Run() error {
	s, err := controller.LastStatus(c.State)
	if err != nil {
		return err
	}
	return c.show(s)
}

// Run sends the name of the subcommand as a command to the running controller, and prints the resulting status.
func (c *controlCommand) Run(command string) error {
	s, err := controller.SendCommand(c.State, strings.TrimPrefix(command, commandPrefix))
	if errors.Is(err, controller.ErrNotRunning) {
		return exitCodeError{exitConflict, err}
	}
	if err != nil {
		return err
	}
	return c.show(s)
}

// Run prints the history of a change.
func (c *historyCommand) Run() error {
	history, err := controller.History(c.State, c.Name)
	if errors.Is(err, controller.ErrRunning) {
		return exitCodeError{exitConflict, err}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(history)
	}
	for _, entry := range history {
		fmt.Println(formatTime(int64(entry.At)), entry.Text)
	}
	return nil
}
