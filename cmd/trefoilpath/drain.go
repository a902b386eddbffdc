package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

type drainFlags struct {
	entries entryFlags
	tls     tlsFlags
}

// registerDrain adds the command that starts a graceful shutdown.
func registerDrain(app *kingpin.Application) {
	f := &drainFlags{}
	cmd := app.Command("drain", "Shut processes down gracefully: they take no new work and end once nothing is in flight. Follow the progress with status.")
	f.entries.register(cmd, true)
	f.tls.register(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return f.run() })
}

func (f *drainFlags) run() error {
	hc, err := f.tls.client()
	if err != nil {
		return err
	}
	clients, err := f.entries.clients(hc)
	if err != nil {
		return err
	}
	for _, c := range clients {
		if err := c.Drain(context.Background()); err != nil {
			return err
		}
		fmt.Printf("event=draining process=%s\n", c.URL())
	}
	return nil
}
