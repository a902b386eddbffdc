package declaration

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/doccheck"
)

func TestReferenceNamesEveryField(t *testing.T) {
	page := string(readFile(t, "../../docs/operators/lists.md").Data)
	for heading, list := range map[string]any{"## plans.json": PlanList{}, "## entitlements.json": EntitlementList{}} {
		got := doccheck.RowNames(doccheck.TableRows(page, heading))
		if diff := cmp.Diff(doccheck.FieldPaths(list), got); diff != "" {
			t.Errorf("%s: fields of the code (-) and of docs/operators/lists.md (+):\n%s", heading, diff)
		}
	}
}
