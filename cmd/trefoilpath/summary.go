package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/runlog"
)

// registerSummary adds the command that summarizes the logs of gateways.
func registerSummary(app *kingpin.Application) {
	cmd := app.Command("summary", "Summarize the logs of gateways on standard input: what requests waited for, by the size of their prompts, and why they ended.")
	cmd.Action(func(*kingpin.ParseContext) error {
		s, err := runlog.Read(os.Stdin)
		if err != nil {
			return err
		}
		return errors.Wrap(s.Write(os.Stdout), "print summary")
	})
}
