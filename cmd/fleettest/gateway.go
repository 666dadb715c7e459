package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"frostpier/internal/program"
	"frostpier/internal/testbed/emulator"
)

// gatewayCommand runs a gateway with the fault that the environment variable FLEETTEST_FAULT names. It serves as a faulty version
// of the program.
type gatewayCommand struct{}

// Run runs a gateway until SIGTERM. SIGHUP reloads the operator's file.
func (gatewayCommand) Run() error {
	hooks, err := emulator.FaultHooks()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return program.Run(term, hup, log, hooks)
}
