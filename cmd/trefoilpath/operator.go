package main

import "github.com/alecthomas/kingpin/v2"

// registerOperatorCommands adds the commands with which operators edit the lists and
// monitor and drain running processes.
func registerOperatorCommands(app *kingpin.Application) {
	registerValidate(app)
	registerDiff(app)
	registerApply(app)
	registerGet(app)
	registerStatus(app)
	registerDrain(app)
	registerDump(app)
	registerKeyhash(app)
}
