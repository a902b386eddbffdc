package agent

import "testing"

func TestSwitchOff(t *testing.T) {
	for name, want := range map[string]mechanism{
		"fairness": mechanismFairness,
		"deadline": mechanismDeadline,
		"lease":    mechanismLease,
		"stray":    mechanismStray,
	} {
		var c Config
		if err := c.DisableMechanism(name); err != nil {
			t.Fatal(err)
		}
		if c.disabledMechanisms != want {
			t.Errorf("%s switches off %b, want %b", name, c.disabledMechanisms, want)
		}
	}
	var c Config
	if err := c.DisableMechanism("nothing"); err == nil {
		t.Error("an unknown mechanism was accepted")
	}
}
