package agent

import (
	"slices"

	"github.com/pkg/errors"
)

// mechanismNames lists the names that DisableMechanism accepts, in the order of the
// bits of mechanism.
var mechanismNames = []string{
	"fairness", "long-bound", "memory-check", "reconcile", "deadline",
	"tombstones", "start-by", "orphans", "order-age", "fence", "quiet-time",
	"drain", "leaving", "stall", "ageing", "lease", "floor", "stray",
}

// MechanismNames lists the protections that can be switched off.
func MechanismNames() []string { return slices.Clone(mechanismNames) }

// DisableMechanism disables one protection, so that a run can show that it is
// needed. Only tests and measurements use it.
func (c *Config) DisableMechanism(name string) error {
	i := slices.Index(mechanismNames, name)
	if i < 0 {
		return errors.Errorf("agent has no mechanism %q", name)
	}
	c.disabledMechanisms |= 1 << i
	return nil
}
