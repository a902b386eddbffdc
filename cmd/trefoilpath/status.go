package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/entry"
)

type statusFlags struct{ processFlags }

// registerStatus adds the command that shows the state of entries.
func registerStatus(app *kingpin.Application) {
	f := &statusFlags{}
	cmd := app.Command("status", "Show revision, readiness and progress of entries and of the peers and agents that they know. Exit code 1 if any of the processes gives no status.")
	f.register(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return f.run(os.Stdout) })
}

func (f *statusFlags) run(out io.Writer) error {
	clients, err := f.clients()
	if err != nil {
		return err
	}
	failed := 0
	for _, c := range clients {
		s, err := c.Status(context.Background())
		if err != nil {
			fmt.Fprintln(os.Stderr, "trefoilpath:", err)
			failed++
			continue
		}
		if err := printStatus(out, s); err != nil {
			return err
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d gave no status", failed, len(clients))
	}
	return nil
}

func printStatus(out io.Writer, s entry.Status) error {
	fmt.Fprintf(out, "node=%s incarnation=%d revision=%d ready=%t draining=%t drained=%t in_flight=%d endpoints_up=%d store_down=%t placing=%t",
		s.Node, s.Incarnation, s.Revision, s.Ready, s.Draining, s.Drained, s.InFlight, s.EndpointsUp, s.StoreDown, s.HoldsPlacementLease)
	if s.NotReady != "" {
		fmt.Fprintf(out, " not_ready=%q", s.NotReady)
	}
	fmt.Fprintln(out)
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, p := range s.Peers {
		silent := formatSilence(p.SilentMS)
		fmt.Fprintf(tab, "  peer %s\trevision=%d\tready=%t\tleaving=%t\tsilent=%v\n", p.Node, p.Revision, p.Ready, p.Leaving, silent)
	}
	for _, id := range s.Lagging {
		fmt.Fprintf(tab, "  agent %s\thas an older revision\n", id)
	}
	return errors.Wrap(tab.Flush(), "print status")
}

// formatSilence formats the time since the last message from a peer. Negative: there was
// none yet.
func formatSilence(ms int64) string {
	if ms < 0 {
		return "never-heard"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
