package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kingpin/v2"

	"trefoilpath.org/trefoilpath/internal/report"
)

func runExperiment(t *testing.T, args ...string) (report.Results, string) {
	t.Helper()
	dir := t.TempDir()
	var out bytes.Buffer
	app := kingpin.New("trefoilpath", "")
	(&experimentCommand{out: &out}).register(app)
	if _, err := app.Parse(append([]string{"experiment", "--out", dir}, args...)); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(filepath.Join(dir, resultsFile))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	results, err := report.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, pageFile))
	if err != nil {
		t.Fatal(err)
	}
	return results, string(page)
}

func TestExperimentComparesPoliciesOnTheSameRequests(t *testing.T) {
	results, page := runExperiment(t, "--virtual", "40s", "--load", "60", "--policy", "trefoilpath,round-robin", "--deployment", "sanabil", "--floor")
	requests := make(map[string][]int64)
	for _, r := range results.Rows {
		if r.Deployment != "sanabil" || r.Load != 60 || r.Faults != "none" || r.Seed != 1 {
			t.Errorf("row with another deployment, load, fault setting or seed than given: %+v", r)
		}
		if r.Band == "short" && (r.TTFTP95 <= 0 || r.TTFTP95 < r.TTFTP50 || r.ShortSlowdownP95 <= 0 || r.SlowdownFloorP95 <= 0 || r.ITLP95 <= 0) {
			t.Errorf("row of short requests with missing or implausible measures: %+v", r)
		}
		requests[r.Policy] = append(requests[r.Policy], r.Requests)
	}
	if len(requests) != 2 || len(requests["trefoilpath"]) == 0 {
		t.Fatalf("rows of %d policies, want 2", len(requests))
	}
	for i, n := range requests["trefoilpath"] {
		if n != requests["round-robin"][i] {
			t.Errorf("row %d has %d requests under one policy and %d under the other", i, n, requests["round-robin"][i])
		}
	}
	if len(page) == 0 {
		t.Error("the report is empty")
	}
}

func TestExperimentRefusesBadFlags(t *testing.T) {
	for _, args := range [][]string{
		{"--load", "fast"},
		{"--load", "-5"},
		{"--policy", "luck"},
	} {
		app := kingpin.New("trefoilpath", "")
		(&experimentCommand{out: &bytes.Buffer{}}).register(app)
		if _, err := app.Parse(append([]string{"experiment", "--out", t.TempDir()}, args...)); err == nil {
			t.Errorf("invalid flags %v were accepted", args)
		}
	}
}
