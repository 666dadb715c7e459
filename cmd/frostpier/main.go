// Frostpier is a workload manager: a gateway that accepts queries from clients and executes each query on an engine that its
// policy selects. Without arguments it serves until SIGTERM. With arguments it executes a command that manages rollouts.
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

// envDebug is an environment variable that sets the log level to debug unless it is empty.
const envDebug = "FROSTPIER_DEBUG"

func main() {
	if len(os.Args) > 1 { // the platform starts the gateway without arguments
		os.Exit(runCommand(os.Args[1:]))
	}
	os.Exit(serve())
}

// serve runs the gateway until SIGTERM or SIGINT, and returns the exit code.
func serve() int {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // must be handled: by default SIGHUP ends a process
	signal.Notify(hup, syscall.SIGHUP)
	if err := program.Run(ctx, hup, log, program.Hooks{}); err != nil {
		log.Error("startup failed, exiting", "error", err)
		printError(err)
		return exitError
	}
	return exitOK
}

func logLevel() slog.Level {
	if os.Getenv(envDebug) != "" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// printError prints an error to standard error.
func printError(err error) { fmt.Fprintln(os.Stderr, "frostpier:", err) }
