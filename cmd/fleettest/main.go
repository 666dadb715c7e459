// Fleettest is the project's test tool: it runs fleets of gateways, as processes of the program or simulated on a virtual clock,
// puts them under load, injects faults, and saves the results as tables and charts. Each subcommand is a type with a method Run,
// in its own file. The tool listens on loopback addresses only. Gateways do not depend on it for their decisions.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Demo     demoCommand         `cmd:"" help:"Demonstrate the program: run a few gateways with emulated engines, and kill one of each."`
	Run      runCommand          `cmd:"" help:"Run a scenario of faults on a fleet of gateway processes, and measure membership."`
	Simulate simulateCommand     `cmd:"" help:"Simulate membership on a virtual clock, and compare it with a heartbeat detector."`
	Spread   distributionCommand `cmd:"" help:"Compare how evenly versions of the program distribute load over emulated engines."`
	Rollout  rolloutCommand      `cmd:"" help:"Roll out good and faulty changes in stages on fleets of gateway processes."`
	Soak     soakCommand         `cmd:"" help:"Shut gateways down gracefully under load, with one scenario per seed, and check that no request is lost."`
	Scale    scaleCommand        `cmd:"" help:"Measure the cost of the control plane in a fleet of hundreds of gateways, most of them hollow."`
	Slopes   slopesCommand       `cmd:"" help:"Measure how the cost of each mechanism grows with the size of the fleet, for docs/operators/CAPACITY.md."`
	Capacity capacityCommand     `cmd:"" help:"Compute the tables of docs/operators/CAPACITY.md from the measured slopes."`

	HollowGateways hollowGatewaysCommand `cmd:"" hidden:"" help:"Run hollow gateways that are controlled by commands on standard input."`
	HollowEngines  hollowEnginesCommand  `cmd:"" hidden:"" help:"Run hollow engines that are controlled by commands on standard input."`

	Gateway gatewayCommand `cmd:"" hidden:"" help:"Run a gateway with the fault that the environment variable FLEETTEST_FAULT names."`
	Account accountCommand `cmd:"" help:"Summarize decisions, queueing times and rejections of a fleet from the logs of its gateways."`
	Replay  replayCommand  `cmd:"" help:"Run the random membership tests of a range of seeds on a virtual clock, and check all invariants."`
}

// helpTexts are the help texts that are too long for a struct tag, by the name under which a tag refers to them.
var helpTexts = kong.Vars{
	"load_case_help": "Fault that is injected: calm (none), hot (half of the queries read one table group), lost (an engine stops " +
		"responding), release (60 % of the engines are replaced within 7 s), reports (load reports of engines are 5 s late), " +
		"cut (gateways do not receive each other's datagrams), herd (70 % of the gateways are killed at the same time and restarted).",
	"slope_group_help": "Measure one group of slopes only. Its results are printed, and no file is written.",
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("fleettest"), kong.UsageOnError(), helpTexts,
		kong.Description("Runs, simulates and measures fleets of frostpier gateways on loopback addresses."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleettest:", err)
		os.Exit(1)
	}
}
