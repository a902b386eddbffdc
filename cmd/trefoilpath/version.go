package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// release is the version number. Release builds set it with
// -ldflags "-X main.release=v1.2.3".
var release = "v0.1.0-dev"

// version returns the release and the commit that the binary was built from.
func version() string {
	commit := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = s.Value
			}
		}
	}
	return fmt.Sprintf("trefoilpath %s commit=%s %s", release, commit, runtime.Version())
}

// registerVersion adds the command that prints the version.
func registerVersion(app *kingpin.Application) {
	app.Command("version", "Print the version.").Action(func(*kingpin.ParseContext) error {
		fmt.Println(version())
		return nil
	})
}
