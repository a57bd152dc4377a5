package main

import "errors"

// Exit codes of all commands. The help of a command says what counts as a failure.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the arguments or flags of a command, including a file
// that can't be read.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// exitCode returns the exit code for a command's error.
func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
