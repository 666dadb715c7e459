// Fleettest is the project's test tool: it starts fleets of gateways, as processes of the program or simulated on a virtual
// clock, puts them under load, injects faults, and keeps the results as tables and charts. Each subcommand is a type with a
// method Run, in a file of its own. The tool decides nothing for a gateway, and listens on loopback addresses alone.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Demo     demoCommand         `cmd:"" help:"Show the program at work for half a minute: a few gateways, stand-in engines, one of each killed."`
	Run      runCommand          `cmd:"" help:"Play a scenario on a fleet of processes of the program."`
	Simulate simulateCommand     `cmd:"" help:"Measure membership on a virtual clock, beside a heartbeat detector."`
	Spread   distributionCommand `cmd:"" help:"Compare how evenly versions of the program load stand-in engines."`
	Rollout  rolloutCommand      `cmd:"" help:"Play good and bad changes in stages on fleets of processes."`
	Soak     soakCommand         `cmd:"" help:"Stop gateways under load, with a scenario for each seed, and check that no request is lost."`
	Scale    scaleCommand        `cmd:"" help:"Read what control costs gateways in a fleet of hundreds, most of them hollow."`
	Slopes   slopesCommand       `cmd:"" help:"Measure how the cost of each part grows with the fleet, for docs/operators/CAPACITY.md."`
	Capacity capacityCommand     `cmd:"" help:"Work the tables of docs/operators/CAPACITY.md out from the measured slopes."`

	HollowGateways hollowGatewaysCommand `cmd:"" hidden:"" help:"Run hollow gateways as standard input says."`
	HollowEngines  hollowEnginesCommand  `cmd:"" hidden:"" help:"Run hollow engines as standard input says."`

	Gateway gatewayCommand `cmd:"" hidden:"" help:"Serve as the program does, with the fault that the environment names."`
	Account accountCommand `cmd:"" help:"Account for what a fleet lost, from the logs of its gateways."`
	Replay  replayCommand  `cmd:"" help:"Play the random runs of some seeds on a virtual clock, with every rule checked."`
}

// helpTexts are the help texts that are too long for a struct tag, by the name under which a tag refers to them.
var helpTexts = kong.Vars{
	"load_case_help": "What happens: calm, hot (one table group has half of the queries), lost (an engine falls silent), release " +
		"(six in ten engines are replaced within 7 s), reports (they come 5 s late), cut (gateways do not hear " +
		"each other), herd (seven in ten gateways are killed at once).",
	"slope_group_help": "One group of slopes: they are printed, and no file is written.",
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("fleettest"), kong.UsageOnError(), helpTexts,
		kong.Description("Experiments with fleets of frostpier gateways, on loopback alone."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleettest:", err)
		os.Exit(1)
	}
}
