// Package scripttest helps to check that a scenario script fails without each of
// the mechanisms that it names.
package scripttest

import (
	"os"
	"runtime"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// NeededMechanisms returns the names of mechanisms in the lines "# needs: a b" of a script.
func NeededMechanisms(t *testing.T, file string) []string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "# needs:"); ok {
			names = append(names, strings.Fields(rest)...)
		}
	}
	return names
}

// Fails runs scripts and reports whether any of them failed.
func Fails(p testscript.Params) bool {
	rec := &recorder{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		testscript.RunT(rec, p)
	}()
	<-done
	return rec.failed
}

// recorder is a testscript.T that records a failure without failing a test.
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
