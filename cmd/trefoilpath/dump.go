package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/operator"
)

// registerDump adds the command that prints the internal state of processes.
func registerDump(app *kingpin.Application) {
	f := &processFlags{}
	cmd := app.Command("dump", "Print the internal tables of processes as JSON, without secrets.")
	f.register(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return f.each(dump) })
}

func dump(c *operator.Client) error {
	body, err := c.Dump(context.Background())
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(body)
	return errors.Wrap(err, "print dump")
}
