package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"trefoilpath.org/trefoilpath/internal/agent/shell"
	"trefoilpath.org/trefoilpath/internal/logging"
	"trefoilpath.org/trefoilpath/internal/settings"
)

// registerAgent adds the command that runs an agent.
func registerAgent(app *kingpin.Application) {
	cmd := app.Command("agent", "Run an agent: queues the requests for one endpoint and sends it orders to load models.")
	file := cmd.Flag("settings", "JSON file with the settings of the agent.").Required().ExistingFile()
	show := cmd.Flag("print-settings", "Print the settings, with defaults filled in, and exit.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		s, err := settings.LoadAgent(*file)
		if err != nil {
			return err
		}
		if *show {
			return settings.Print(os.Stdout, s)
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer stop()
		return shell.Run(ctx, s, logging.New(os.Stderr, s.LogLevel))
	})
}
