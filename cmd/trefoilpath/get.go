package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/declaration"
)

// listFileMode is the mode of the list files that get writes.
const listFileMode = 0o644

type getFlags struct {
	dir   string
	store storeFlags
}

// registerGet adds the command that reads the current lists from the store.
func registerGet(app *kingpin.Application) {
	f := &getFlags{}
	cmd := app.Command("get", "Show the current revision in the store and, with --out, write its lists to a directory.")
	cmd.Flag("out", "Directory to write plans.json and entitlements.json to.").ExistingDirVar(&f.dir)
	f.store.register(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return f.run() })
}

func (f *getFlags) run() error {
	client, err := f.store.client()
	if err != nil {
		return err
	}
	accepted, err := declaration.Fetch(context.Background(), client)
	if err != nil {
		return err
	}
	if accepted.State == nil {
		fmt.Println("revision=0")
		return nil
	}
	s := accepted.State
	if f.dir != "" {
		if err := writeLists(f.dir, s.Lists()); err != nil {
			return err
		}
	}
	fmt.Printf("revision=%d digest=%016x author=%q\n", s.Revision(), s.Digest(), s.Author())
	return nil
}

func writeLists(dir string, l *declaration.Lists) error {
	plans, entitlements, err := declaration.Format(l)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, plansFile), plans, listFileMode); err != nil {
		return errors.Wrap(err, "write list")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, entitlementsFile), entitlements, listFileMode), "write list")
}
