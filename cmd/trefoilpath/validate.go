package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

// registerValidate adds the command that checks the two lists.
func registerValidate(app *kingpin.Application) {
	cmd := app.Command("validate", "Check the lists plans.json and entitlements.json in a directory. All mistakes are listed with file, line and field. Exit codes: 0 valid, 1 a list can't be read, 2 mistakes.")
	dir := cmd.Arg("dir", "Directory with the two lists.").Required().ExistingDir()
	cmd.Action(func(*kingpin.ParseContext) error {
		l, err := readLists(*dir)
		if err != nil {
			return err
		}
		fmt.Printf("valid: %d plans, %d client accounts, %d models, %d services\n",
			len(l.Plans.Plans), len(l.Plans.Accounts), len(l.Entitlements.Models), len(l.Entitlements.Services))
		return nil
	})
}
