package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

type dumpFlags struct {
	entries entryFlags
	tls     tlsFlags
}

// registerDump adds the command that prints the tables of processes.
func registerDump(app *kingpin.Application) {
	f := &dumpFlags{}
	cmd := app.Command("dump", "Print the tables of processes as JSON, without secrets.")
	f.entries.register(cmd, true)
	f.tls.register(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return f.run() })
}

func (f *dumpFlags) run() error {
	hc, err := f.tls.client()
	if err != nil {
		return err
	}
	clients, err := f.entries.clients(hc)
	if err != nil {
		return err
	}
	for _, c := range clients {
		body, err := c.Dump(context.Background())
		if err != nil {
			return err
		}
		if _, err := os.Stdout.Write(body); err != nil {
			return errors.Wrap(err, "print dump")
		}
	}
	return nil
}
