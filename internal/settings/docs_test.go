package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/doccheck"
)

func TestReferenceNamesEveryFieldAndDefault(t *testing.T) {
	page := string(read(t, "../../docs/operators/settings.md"))
	for heading, defaults := range map[string]any{"## Entry": DefaultEntry(), "## Agent": DefaultAgent()} {
		rows := doccheck.TableRows(page, heading)
		if diff := cmp.Diff(doccheck.FieldPaths(defaults), doccheck.RowNames(rows)); diff != "" {
			t.Errorf("%s: fields of the code (-) and of docs/operators/settings.md (+):\n%s", heading, diff)
		}
		for path, cells := range rows {
			shown := strings.Trim(cells[0], "`")
			if def := defaultOf(t, defaults, path); shown != "" && shown != def {
				t.Errorf("%s: %s has the default %s, the page says %s", heading, path, def, shown)
			}
		}
	}
}

// TestFieldsWithoutDefaultAreNeeded checks that leaving out a field that the
// page shows without a default is a mistake at that field.
func TestFieldsWithoutDefaultAreNeeded(t *testing.T) {
	page := string(read(t, "../../docs/operators/settings.md"))
	parsers := map[string]func() error{
		"## Entry": func() error { _, err := ParseEntry("f", []byte("{}")); return err },
		"## Agent": func() error { _, err := ParseAgent("f", []byte("{}")); return err },
	}
	for heading, parse := range parsers {
		text := parse().Error()
		for path, cells := range doccheck.TableRows(page, heading) {
			needed := strings.Contains(text, " "+path+":")
			if (cells[0] == "") != needed {
				t.Errorf("%s: %s: needed is %v, the page shows the default %q", heading, path, needed, cells[0])
			}
		}
	}
}

func defaultOf(t *testing.T, settings any, path string) string {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		t.Fatal(err)
	}
	for name := range strings.SplitSeq(path, ".") {
		value = value.(map[string]any)[name]
	}
	text, err = json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
