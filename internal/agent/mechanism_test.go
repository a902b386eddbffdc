package agent

import "testing"

func TestSwitchOff(t *testing.T) {
	for name, want := range map[string]mechanism{
		"fairness": withoutFairness,
		"deadline": withoutDeadline,
		"lease":    withoutLease,
		"stray":    withoutStray,
	} {
		var c Config
		if err := c.SwitchOff(name); err != nil {
			t.Fatal(err)
		}
		if c.without != want {
			t.Errorf("%s switches off %b, want %b", name, c.without, want)
		}
	}
	var c Config
	if err := c.SwitchOff("nothing"); err == nil {
		t.Error("an unknown mechanism was accepted")
	}
}
