package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/declaration"
)

type diffFlags struct {
	dir      string
	base     string
	storeURL string
	tls      tlsFlags
	exitCode bool
}

// registerDiff adds the command that compares edited lists with the current ones or
// with those of another directory.
func registerDiff(app *kingpin.Application) {
	f := &diffFlags{}
	cmd := app.Command("diff", "Show what the lists in a directory would change, compared with the current revision or with another directory. Exit codes: 0 compared, 1 failed, 2 mistakes in the lists, 6 with --exit-code if there is a difference.")
	cmd.Arg("dir", "Directory with the edited lists.").Required().ExistingDirVar(&f.dir)
	cmd.Flag("base", "Directory with the lists to compare with.").ExistingDirVar(&f.base)
	cmd.Flag("store", "Base URL of the platform's key-value service, to compare with the current revision.").StringVar(&f.storeURL)
	cmd.Flag("exit-code", "Exit with code 6 if there is a difference.").BoolVar(&f.exitCode)
	f.tls.register(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return f.run() })
}

func (f *diffFlags) run() error {
	edited, err := readLists(f.dir)
	if err != nil {
		return err
	}
	base, err := f.readBase()
	if err != nil {
		return err
	}
	changes := declaration.Compare(base, edited)
	fmt.Print(declaration.FormatChanges(changes))
	if f.exitCode && len(changes) > 0 {
		return codedError{errors.New("the lists differ"), exitDiffers}
	}
	return nil
}

// readBase returns the lists to compare with; they are empty if the store has no
// revision.
func (f *diffFlags) readBase() (*declaration.Lists, error) {
	if (f.base == "") == (f.storeURL == "") {
		return nil, errors.New("give either --base or --store")
	}
	if f.base != "" {
		return readLists(f.base)
	}
	s := storeFlags{url: f.storeURL, tls: f.tls}
	client, err := s.client()
	if err != nil {
		return nil, err
	}
	accepted, err := declaration.Fetch(context.Background(), client)
	if err != nil {
		return nil, err
	}
	if accepted.State == nil {
		return &declaration.Lists{}, nil
	}
	return accepted.State.Lists(), nil
}
