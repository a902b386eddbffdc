package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"trefoilpath.org/trefoilpath/internal/operator"
)

// registerDrain adds the command that starts a graceful shutdown.
func registerDrain(app *kingpin.Application) {
	f := &processFlags{}
	cmd := app.Command("drain", "Shut processes down gracefully: they accept no new requests and exit once none is in flight. The status command shows the progress.")
	f.register(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return f.each(drain) })
}

func drain(c *operator.Client) error {
	if err := c.Drain(context.Background()); err != nil {
		return err
	}
	fmt.Printf("event=draining process=%s\n", c.URL())
	return nil
}
