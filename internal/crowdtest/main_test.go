package crowdtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the program, which TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "trefoilpath")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/trefoilpath").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
