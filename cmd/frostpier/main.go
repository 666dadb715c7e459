// Frostpier is a workload manager: a gateway that accepts queries from clients and executes each on an engine of a pool,
// which its decision module selects. Without arguments it serves until SIGTERM; with arguments it is the command line of
// rollouts.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"frostpier/internal/program"
)

// envDebug is the environment variable that, if not empty, sets the log level to debug.
const envDebug = "FROSTPIER_DEBUG"

func main() {
	if len(os.Args) > 1 { // the platform starts the program without arguments
		os.Exit(runCommand(os.Args[1:]))
	}
	os.Exit(serve())
}

// serve serves until SIGTERM or an interrupt. It returns the exit code.
func serve() int {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // unhandled, SIGHUP would end the program
	signal.Notify(hup, syscall.SIGHUP)
	if err := program.Run(ctx, hup, log, program.Hooks{}); err != nil {
		log.Error("cannot serve", "error", err)
		printError(err)
		return exitError
	}
	return exitDone
}

func logLevel() slog.Level {
	if os.Getenv(envDebug) != "" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// printError prints an error for a person.
func printError(err error) { fmt.Fprintln(os.Stderr, "frostpier:", err) }
