package agent

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilpath.org/trefoilpath/internal/scripttest"
)

func scenarioFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files in %s (error %v)", scenarioDir, err)
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
		for _, name := range scripttest.NeededMechanisms(t, file) {
			covered[name] = true
			t.Run(filepath.Base(file)+" without "+name, func(t *testing.T) {
				m, ok := mechanisms[name]
				if !ok {
					t.Fatalf("unknown mechanism %q", name)
				}
				if !scripttest.Fails(params(m, file)) {
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
