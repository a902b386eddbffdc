package declaration

import (
	"flag"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/strictjson"
)

// TestMain fixes the seed of property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func readFile(t testing.TB, path string) File {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return File{Name: filepath.Base(path), Data: data}
}

func exampleLists(t testing.TB) *Lists {
	t.Helper()
	l, err := Parse(readFile(t, "../../examples/atitlan/plans.json"), readFile(t, "../../examples/atitlan/entitlements.json"))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestParseReportsAllMistakes(t *testing.T) {
	_, err := Parse(readFile(t, "testdata/mistakes/plans.json"), readFile(t, "testdata/mistakes/entitlements.json"))
	if err == nil {
		t.Fatal("the lists were accepted")
	}
	want := readFile(t, "testdata/mistakes/want.txt")
	if diff := cmp.Diff(string(want.Data), err.Error()+"\n"); diff != "" {
		t.Errorf("mistakes differ (-want +got):\n%s", diff)
	}
}

func TestParseReportsSyntaxErrorWithLine(t *testing.T) {
	good := readFile(t, "../../examples/atitlan/entitlements.json")
	tests := map[string]struct{ text, want string }{
		"missing comma": {"{\n\"plans\": []\n\"accounts\": []}", "p.json:3: not JSON"},
		"truncated":     {"{\n\"plans\": [\n", "p.json:2: not JSON"},
		"trailing":      {"{}\n{}", "p.json:2: not JSON"},
		"invalid UTF-8": {"{\n\"plans\": [\"\xff\"]}", "p.json:2: the text is not valid UTF-8"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(File{Name: "p.json", Data: []byte(test.text)}, good)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
			if lines := strings.Count(err.Error(), "\n"); lines != 0 {
				t.Errorf("a syntax error was reported with further mistakes:\n%v", err)
			}
		})
	}
}

func TestValidateRefusesNaN(t *testing.T) {
	l := exampleLists(t)
	l.Plans.Plans[0].Weight = math.NaN()
	err := Validate(l)
	mistakes, ok := err.(strictjson.Mistakes)
	if !ok || len(mistakes) != 1 || mistakes[0].Field != "plans[0].weight" {
		t.Errorf("got error %v, want one mistake at plans[0].weight", err)
	}
}

func TestFormatRoundTrip(t *testing.T) {
	l := exampleLists(t)
	plans, entitlements, err := Format(l)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(File{Name: "plans", Data: plans}, File{Name: "entitlements", Data: entitlements})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l, again); diff != "" {
		t.Errorf("lists differ (-want +got):\n%s", diff)
	}
}

func TestResolveAppliesOverrides(t *testing.T) {
	s := Resolve(exampleLists(t), 7)
	a := s.Accounts["mesa-de-pedidos"]
	want := Limits{RequestsPerSecond: 150, TokensPerSecond: 2_000_000, BurstSeconds: 10, Concurrency: 500}
	if diff := cmp.Diff(want, a.Limits); diff != "" {
		t.Errorf("limits differ (-want +got):\n%s", diff)
	}
	if s.Revision != 7 || a.Models["luthier-modelo"] == nil || !a.Models["luthier-modelo"].Adapters["expedientes"] {
		t.Errorf("revision %d, models %v", s.Revision, a.Models)
	}
	if shop := s.Accounts["coban"]; !shop.Services["mostrador-pedidos"].Methods["POST"] || shop.Models["luthier-modelo"].Adapters["expedientes"] {
		t.Errorf("shop has services %v and models %v", shop.Services, shop.Models)
	}
}

// FuzzParse checks that whatever Parse accepts can be formatted, parsed again
// and resolved.
func FuzzParse(f *testing.F) {
	for _, dir := range []string{"../../examples/atitlan", "../../examples/sanabil", "testdata/mistakes"} {
		f.Add(readFile(f, dir+"/plans.json").Data, readFile(f, dir+"/entitlements.json").Data)
	}
	f.Fuzz(func(t *testing.T, plans, entitlements []byte) {
		l, err := Parse(File{Name: "p", Data: plans}, File{Name: "e", Data: entitlements})
		if err != nil {
			return
		}
		s := Resolve(l, 1)
		if len(s.Accounts) != len(l.Plans.Accounts) {
			t.Errorf("%d accounts resolved of %d", len(s.Accounts), len(l.Plans.Accounts))
		}
		p, e, err := Format(l)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(File{Name: "p", Data: p}, File{Name: "e", Data: e}); err != nil {
			t.Errorf("formatted lists were refused: %v", err)
		}
	})
}
