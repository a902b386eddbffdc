package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"trefoilpath": main})
}

// platform is the environment of a script: a store stand-in, and the revision that a
// fake entry reports to operators.
type platform struct {
	store    *standin.Store
	revision atomic.Uint64
}

type platformKey struct{}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: startPlatform,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"lose-answers":   loseAnswers,
			"entry-revision": setEntryRevision,
			"edit":           editFile,
			"exit":           exitWith,
			"store-down":     setStoreDown,
			"in-force":       waitInForce,
		},
	})
}

// startPlatform starts the platform of one script and sets STORE and ENTRY to its
// URLs.
func startPlatform(env *testscript.Env) error {
	s, err := standin.NewStore()
	if err != nil {
		return err
	}
	p := &platform{store: s}
	srv := httptest.NewServer(http.HandlerFunc(p.serveEntry))
	env.Defer(func() {
		srv.Close()
		_ = s.Close()
	})
	env.Values[platformKey{}] = p
	env.Setenv("STORE", s.URL())
	env.Setenv("ENTRY", srv.URL)
	env.Setenv("USER", "ana")
	if err := prepareFleet(env, p); err != nil {
		return err
	}
	return writeExamples(env)
}

// writeExamples puts the example lists of Atitlán in the working directory.
func writeExamples(env *testscript.Env) error {
	d, _ := examples.Find("atitlan")
	l, err := d.Lists()
	if err != nil {
		return err
	}
	return writeLists(env.WorkDir, l)
}

// serveEntry serves the operators' interface of the fake entry.
func (p *platform) serveEntry(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer operator" {
		http.Error(w, "operators' key required", http.StatusUnauthorized)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/operator/status":
		_ = json.NewEncoder(w).Encode(entry.Status{Node: "entry-1", Revision: p.revision.Load(), Ready: true})
	case "GET /v1/operator/dump":
		_, _ = w.Write([]byte(`{"node":"entry-1"}`))
	case "POST /v1/operator/drain":
		w.WriteHeader(http.StatusAccepted)
	default:
		http.NotFound(w, r)
	}
}

func platformOf(ts *testscript.TestScript) *platform { return ts.Value(platformKey{}).(*platform) }

// loseAnswers implements lose-answers: the next writes to the store, as many as the
// argument says, take effect, but their answers are lost.
func loseAnswers(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	platformOf(ts).store.LoseAnswers(n)
}

// setEntryRevision implements entry-revision: it sets the revision that the fake
// entry reports.
func setEntryRevision(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	platformOf(ts).revision.Store(n)
}

// editFile implements edit FILE OLD NEW: it replaces the only occurrence of a text in
// a file.
func editFile(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	text := ts.ReadFile(args[0])
	if n := strings.Count(text, args[1]); n != 1 {
		ts.Fatalf("%s contains %q %d times, want 1", args[0], args[1], n)
	}
	ts.Check(os.WriteFile(path, []byte(strings.Replace(text, args[1], args[2], 1)), listFileMode))
}

// exitWith implements exit CODE ARGS: it runs trefoilpath with the arguments and
// checks its exit code.
func exitWith(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit interface{ ExitCode() int }
	if err := ts.Exec("trefoilpath", args[1:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
