package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the computed tables of docs/CAPACITY.md")

const (
	page  = "../../docs/CAPACITY.md"
	begin = "<!-- sums: begin -->\n"
	end   = "<!-- sums: end -->\n"
)

// TestPageHoldsTheSums guards against tables in docs/CAPACITY.md that no longer agree
// with the code and slopes.json. With -update it rewrites them.
func TestPageHoldsTheSums(t *testing.T) {
	slopes, err := Slopes()
	if err != nil {
		t.Fatal(err)
	}
	lines, err := Compute(TwoYears, Defaults, slopes)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok1 := strings.Cut(string(raw), begin)
	got, after, ok2 := strings.Cut(rest, end)
	if !ok1 || !ok2 {
		t.Fatal("docs/CAPACITY.md lacks the comments that mark the begin and end of the tables")
	}
	want := Render(slopes, lines)
	if got == want {
		return
	}
	if !*update {
		t.Fatalf("the tables of docs/CAPACITY.md are out of date; run go test ./internal/capacity -update\nwant:\n%s", want)
	}
	if err := os.WriteFile(page, []byte(before+begin+want+end+after), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestAMissingSlopeIsAnError(t *testing.T) {
	if _, err := Compute(TwoYears, Defaults, nil); err == nil {
		t.Fatal("Compute returned no error without slopes")
	}
}

// TestOnlyKnownSumsDoNotFit fails if a line other than the known ones exceeds its
// bound, or if a known one no longer does.
func TestOnlyKnownSumsDoNotFit(t *testing.T) {
	slopes, err := Slopes()
	if err != nil {
		t.Fatal(err)
	}
	lines, err := Compute(TwoYears, Defaults, slopes)
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range lines {
		known := l.Item == "writes of at-most-once records, one a record" || l.Item == "control received"
		if (l.Verdict() == TooMuch) != known {
			t.Errorf("%s, %s: %v %s with bound %v: exceeds it %t, known to exceed it %t", l.Role, l.Item, l.Value, l.Unit, l.Bound, l.Verdict() == TooMuch, known)
		}
	}
}
