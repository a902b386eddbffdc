package main

// Exit codes of the operator commands, besides exitOK and exitFailure.
const (
	exitInvalid   = 2 // the lists or settings have mistakes
	exitConflict  = 3 // another revision is in force than the one that was edited
	exitUnsettled = 4 // it is not known whether the update was accepted
	exitLagging   = 5 // accepted, but not in force everywhere within the wait
	exitDiffers   = 6 // diff --exit-code found a difference
)

// codedError is an error with the exit code of the process.
type codedError struct {
	error
	code int
}

// ExitCode returns the exit code.
func (e codedError) ExitCode() int { return e.code }

// Unwrap returns the error itself.
func (e codedError) Unwrap() error { return e.error }
