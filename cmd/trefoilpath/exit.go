package main

// Exit codes of the operator commands, besides exitOK and exitFailure.
const (
	exitInvalid   = 2 // the lists or settings have mistakes
	exitConflict  = 3 // the current revision is not the one that was edited, or the store has lost revisions
	exitUnsettled = 4 // it is not known whether the update was accepted
	exitLagging   = 5 // accepted, but not active everywhere within --wait
	exitDiffers   = 6 // diff --exit-code found a difference
)

// codedError is an error that sets the exit code of the process.
type codedError struct {
	error
	code int
}

// ExitCode returns the exit code.
func (e codedError) ExitCode() int { return e.code }

// Unwrap returns the error without the exit code.
func (e codedError) Unwrap() error { return e.error }
