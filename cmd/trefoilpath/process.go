package main

import (
	"github.com/alecthomas/kingpin/v2"

	"trefoilpath.org/trefoilpath/internal/operator"
)

// processFlags holds the flags of a command that calls running processes.
type processFlags struct {
	entries entryFlags
	tls     tlsFlags
}

// register adds the flags; --entry is required.
func (f *processFlags) register(cmd *kingpin.CmdClause) {
	f.entries.register(cmd, true)
	f.tls.register(cmd)
}

// clients returns a client for each process.
func (f *processFlags) clients() ([]*operator.Client, error) {
	hc, err := f.tls.client()
	if err != nil {
		return nil, err
	}
	return f.entries.clients(hc)
}

// each calls do for every process until one fails.
func (f *processFlags) each(do func(*operator.Client) error) error {
	clients, err := f.clients()
	if err != nil {
		return err
	}
	for _, c := range clients {
		if err := do(c); err != nil {
			return err
		}
	}
	return nil
}
