package main

import "errors"

// Exit codes of the rollout commands.
const (
	exitDone     = 0 // done, or the information was shown
	exitError    = 1
	exitPlan     = 2 // the plan or the command line is invalid; nothing was done
	exitBusy     = 3 // another controller runs; for pause, resume and abort: none runs
	exitReturned = 4 // the change was rolled back
	exitStopped  = 5 // the controller was told to end before the change was over
)

// codedError is an error with an exit code of its own.
type codedError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (e codedError) Error() string { return e.err.Error() }

// Unwrap returns the error without the code.
func (e codedError) Unwrap() error { return e.err }

// exitCode returns the exit code for the result of a command.
func exitCode(err error) int {
	var coded codedError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &coded):
		return coded.code
	}
	return exitError
}
