package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func read(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestExamplesAreAccepted(t *testing.T) {
	entry, err := LoadEntry("../../examples/settings/entry.json")
	if err != nil {
		t.Error(err)
	}
	if entry.PeerAddress() != "10.20.1.11:8443" || !entry.OperatorKey.Matches("example-operator-key") || entry.OperatorKey.Matches("other") {
		t.Errorf("peers dial %s, operator key %+v", entry.PeerAddress(), entry.OperatorKey)
	}
	agent, err := LoadAgent("../../examples/settings/agent.json")
	if err != nil {
		t.Error(err)
	}
	if !agent.ChecksFence() {
		t.Error("ChecksFence is false for the example agent")
	}
}

func TestEntryReportsAllMistakes(t *testing.T) {
	_, err := ParseEntry("entry-mistakes.json", read(t, "testdata/entry-mistakes.json"))
	if err == nil {
		t.Fatal("the settings were accepted")
	}
	want := string(read(t, "testdata/entry-mistakes.txt"))
	if diff := cmp.Diff(want, err.Error()+"\n"); diff != "" {
		t.Errorf("mistakes differ (-want +got):\n%s", diff)
	}
}

func TestAgentKindDecidesOtherFields(t *testing.T) {
	good := string(read(t, "../../examples/settings/agent.json"))
	tests := map[string]struct{ old, new, want string }{
		"unknown kind":          {`"engine"`, `"oracle"`, "kind: want one of"},
		"engine without fence":  {`"checked"`, `""`, "fence: want one of"},
		"service without name":  {`"engine"`, `"service"`, "service: want a name"},
		"service with fence":    {`"engine"`, `"service"`, "fence: is for kind"},
		"engine with a service": {`"service": ""`, `"service": "s"`, "service: is for kind"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseAgent("agent.json", []byte(strings.Replace(good, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

func TestPrintLeavesSecretsOut(t *testing.T) {
	entry, err := LoadEntry("../../examples/settings/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Print(&out, entry); err != nil {
		t.Fatal(err)
	}
	want := strings.Replace(string(read(t, "../../examples/settings/entry.json")), hexOf(t, entry), "(set)", 1)
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("print differs (-want +got):\n%s", diff)
	}
}

func hexOf(t *testing.T, e Entry) string {
	t.Helper()
	text, err := e.OperatorKey.hash.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// FuzzEntry checks that settings made of any bytes are either refused or within
// the bounds.
func FuzzEntry(f *testing.F) {
	for _, path := range []string{"../../examples/settings/entry.json", "testdata/entry-mistakes.json"} {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseEntry("f", data)
		if err != nil {
			return
		}
		if s.Limits.MaxBodyBytes < minBodyBytes || s.Limits.MaxBodyBytes > maxBodyBytes || s.Node == "" || !s.OperatorKey.IsSet() {
			t.Errorf("accepted %+v", s)
		}
	})
}

func TestWeightsMustNotBothBeZero(t *testing.T) {
	raw := read(t, "../../examples/settings/agent.json")
	zero := regexp.MustCompile(`("first_token_weight"|"short_slowdown_weight"): \d+`).ReplaceAll(raw, []byte("$1: 0"))
	_, err := ParseAgent("agent.json", zero)
	if err == nil || !strings.Contains(err.Error(), "routing: both weights are zero") {
		t.Fatalf("got error %v, want the mistake that both routing weights are zero", err)
	}
}
