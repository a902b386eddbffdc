package agent

import (
	"bufio"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func scenarioFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	return files
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, params(0, scenarioFiles(t)...))
}

// TestScenariosNeedTheirMechanism runs each scenario with the mechanism that it
// names in its "needs:" line switched off, and expects it to fail.
func TestScenariosNeedTheirMechanism(t *testing.T) {
	covered := map[string]bool{}
	for _, file := range scenarioFiles(t) {
		for _, name := range needs(t, file) {
			covered[name] = true
			t.Run(filepath.Base(file)+" without "+name, func(t *testing.T) {
				m, ok := mechanisms[name]
				if !ok {
					t.Fatalf("unknown mechanism %q", name)
				}
				if !fails(params(m, file)) {
					t.Error("the scenario passes without the mechanism")
				}
			})
		}
	}
	for name := range mechanisms {
		if !covered[name] {
			t.Errorf("no scenario needs mechanism %q", name)
		}
	}
}

// needs reads the names of mechanisms from lines "# needs: a b".
func needs(t *testing.T, file string) []string {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var names []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "# needs:"); ok {
			names = append(names, strings.Fields(rest)...)
		}
	}
	return names
}

// fails runs a script and reports whether it failed.
func fails(p testscript.Params) bool {
	rec := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		testscript.RunT(rec, p)
	}()
	<-done
	return rec.failed
}

// recorder is a testscript.T that notes a failure without failing a test.
type recorder struct{ failed bool }

func (r *recorder) Skip(...any)   { runtime.Goexit() }
func (r *recorder) Fatal(...any)  { r.FailNow() }
func (r *recorder) Parallel()     {}
func (r *recorder) Log(...any)    {}
func (r *recorder) Verbose() bool { return false }

func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

func (r *recorder) Run(_ string, f func(testscript.T)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(r)
	}()
	<-done
}
