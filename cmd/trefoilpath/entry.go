package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"trefoilpath.org/trefoilpath/internal/entry/shell"
	"trefoilpath.org/trefoilpath/internal/logging"
	"trefoilpath.org/trefoilpath/internal/settings"
)

// registerEntry adds the command that runs an entry.
func registerEntry(app *kingpin.Application) {
	cmd := app.Command("entry", "Run an entry: accepts callers' requests and routes them to endpoints.")
	file := cmd.Flag("settings", "JSON file with the settings of the entry.").Required().ExistingFile()
	show := cmd.Flag("print-settings", "Print the settings, with defaults filled in, and exit.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		s, err := settings.LoadEntry(*file)
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
