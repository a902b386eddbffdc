package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the sums of docs/CAPACITY.md")

const (
	page  = "../../docs/CAPACITY.md"
	begin = "<!-- sums: begin -->\n"
	end   = "<!-- sums: end -->\n"
)

// TestPageHoldsTheSums recomputes docs/CAPACITY.md.
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
		t.Fatal("the page lacks the marks of the sums")
	}
	want := Render(slopes, lines)
	if got == want {
		return
	}
	if !*update {
		t.Fatalf("the sums are out of date; run go test ./internal/capacity -update\nwant:\n%s", want)
	}
	if err := os.WriteFile(page, []byte(before+begin+want+end+after), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestAMissingSlopeIsAnError(t *testing.T) {
	if _, err := Compute(TwoYears, Defaults, nil); err == nil {
		t.Fatal("no error without slopes")
	}
}

// TestOnlyKnownSumsDoNotFit keeps a sum that stops fitting from being overlooked.
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
			t.Errorf("%s, %s: %v %s against %v", l.Role, l.Item, l.Value, l.Unit, l.Bound)
		}
	}
}
