// Frostpier is a workload manager: it takes queries from clients and has the engines of a pool run them, each
// where the decision module sends it.
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

func main() {
	if len(os.Args) > 1 { // the platform starts it without arguments
		os.Exit(command(os.Args[1:]))
	}
	level := slog.LevelInfo
	if os.Getenv("FROSTPIER_DEBUG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // without it SIGHUP would end the program
	signal.Notify(hup, syscall.SIGHUP)
	if err := program.Run(term, hup, log, program.Hooks{}); err != nil {
		log.Error("cannot serve", "error", err)
		fmt.Fprintln(os.Stderr, "frostpier:", err)
		os.Exit(1)
	}
}
