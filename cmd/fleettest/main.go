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
	Scale    scaleCommand        `cmd:"" help:"Read what control costs gateways in a fleet of hundreds, most of them hollow."`
	Slopes   slopesCommand       `cmd:"" help:"Measure how the cost of each part grows with the fleet, for docs/CAPACITY.md."`
	Capacity capacityCommand     `cmd:"" help:"Work the tables of docs/CAPACITY.md out from the measured slopes."`

	HollowGateways hollowGatewaysCommand `cmd:"" hidden:"" help:"Run hollow gateways as standard input says."`
	HollowEngines  hollowEnginesCommand  `cmd:"" hidden:"" help:"Run hollow engines as standard input says."`

	Gateway gatewayCommand `cmd:"" hidden:"" help:"Serve as the program does, with the fault that the environment names."`
	Account accountCommand `cmd:"" help:"Account for what a fleet lost, from the logs of its gateways."`
	Replay  replayCommand  `cmd:"" help:"Play the random runs of some seeds on a virtual clock, with every rule checked."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("fleettest"), kong.UsageOnError(),
		kong.Description("Experiments with fleets of frostpier gateways, on loopback alone."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleettest:", err)
		os.Exit(1)
	}
}
