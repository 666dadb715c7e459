package main

import "errors"

// Exit codes of the rollout commands.
const (
	exitOK          = 0 // the command succeeded
	exitError       = 1 // any other error
	exitInvalid     = 2 // invalid plan or command line; nothing was changed
	exitConflict    = 3 // another controller is running; for pause, resume and abort: no controller is running
	exitRolledBack  = 4 // the change was rolled back
	exitInterrupted = 5 // a signal stopped the controller before the change had finished
)

// exitCodeError is an error that sets the exit code of the program.
type exitCodeError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e exitCodeError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitCodeError) Unwrap() error { return e.err }

// exitCode returns the exit code for the error that a command returned.
func exitCode(err error) int {
	var coded exitCodeError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &coded):
		return coded.code
	}
	return exitError
}
