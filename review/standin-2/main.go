// Command standin plays the cases 6 to 10 of the review: "standin case-N" plays one. It starts the gateway with the run command of
// deploy/balancer.toml, starts the engines as further processes of this program, and acts as the clients and the discovery server.
// All addresses are loopback addresses. It must be started in a folder of review/, where it writes record.txt.
//
// "standin short-length", "standin late-error" and "standin lost-execute" play faults that REPORT-2.md lists beside the cases.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0 // the rule held
	exitBroken   = 1 // the rule was broken
	exitUnusable = 2 // the case could not run
)

// caseTimeout ends a case that takes too long.
const caseTimeout = 110 * time.Second

// A scenario plays a case. It returns the violations of the rule that it saw; trouble is false if the disruption is left out.
type scenario func(w *world, trouble bool) (violations []string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin case-N | short-length | late-error | lost-execute")
		os.Exit(exitUnusable)
	}
	switch os.Args[1] {
	case "mysql-engine":
		runMySQLEngine(os.Args[2:])
	case "http-engine":
		runHTTPEngine(os.Args[2:])
	default:
		play, known := scenarios[os.Args[1]]
		if !known {
			fmt.Fprintln(os.Stderr, "there is no case", os.Args[1])
			os.Exit(exitUnusable)
		}
		os.Exit(runCase(play))
	}
}

// runCase plays a case and returns the exit code of the script.
func runCase(play scenario) int {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitUnusable
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		w.close()
		os.Exit(exitUnusable)
	}()
	time.AfterFunc(caseTimeout, func() {
		w.record("the case took longer than %v", caseTimeout)
		w.close()
		os.Exit(exitUnusable)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("disruption: %v", trouble)
	violations, err := play(w, trouble)
	if err != nil {
		w.record("the case could not run: %v", err)
		return exitUnusable
	}
	for _, v := range violations {
		w.record("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	w.record("the rule held")
	return exitHeld
}
