// Command trefoilpath is the single binary of the project; each role and each
// operator command is a subcommand.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes that all commands share. The help of a command lists any others.
const (
	exitOK      = 0
	exitFailure = 1
)

func main() { os.Exit(run(os.Args[1:])) }

// run executes one command line and returns the exit code.
func run(args []string) int {
	app := newApp()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, "trefoilpath:", err)
		return exitCode(err)
	}
	return exitOK
}

// newApp returns the application with all its commands.
func newApp() *kingpin.Application {
	app := kingpin.New("trefoilpath", "A serving layer that runs prompts of very different lengths on one shared fleet.")
	app.HelpFlag.Short('h')
	app.Version(version())
	registerAgent(app)
	registerDev(app)
	registerEntry(app)
	registerExperiment(app)
	registerLoad(app)
	registerOperatorCommands(app)
	registerPlatformGateway(app)
	registerSoak(app)
	registerSummary(app)
	registerVersion(app)
	return app
}

// exitCoder is an error that sets the exit code of the process.
type exitCoder interface{ ExitCode() int }

func exitCode(err error) int {
	if e, ok := err.(exitCoder); ok {
		return e.ExitCode()
	}
	return exitFailure
}
