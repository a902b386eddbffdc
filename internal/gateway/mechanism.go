package gateway

import (
	"slices"

	"github.com/pkg/errors"
)

// Mechanisms is a set of decisions that can be switched off, to measure what each is worth.
type Mechanisms uint32

// The mechanisms that can be switched off.
const (
	mechanismOrder       Mechanisms = 1 << iota // order of waiting requests; without: by arrival
	mechanismBacklog                            // refusal of what the backlog makes too late
	mechanismReturns                            // the place of callers that come back after a refusal
	mechanismStreamSet                          // set of engines for short streams
	mechanismMargin                             // margin for the error of predictions
	mechanismWideParts                          // long prompts on all engines that can start now
	mechanismInterleave                         // medium prompts in parts beside short streams
	mechanismSpareSlots                         // slots that short streams leave free
	mechanismSharedPlan                         // waiting prompts of other gateways in the plan
	mechanismEjection                           // endpoints without requests after failures
	mechanismHelpSharing                        // what other gateways tell of engines that refuse to help
	mechanismSilence                            // another attempt while an endpoint is silent
	mechanismProbes                             // reports of engines
	mechanismRetry                              // second attempts
	mechanismHold                               // wait until other gateways know of a long prompt
	mechanismRetryBudget                        // bound on the second attempts of the fleet
)

// mechanismNames are the names of the mechanisms in the order of their bits.
var mechanismNames = []string{
	"order", "backlog", "returns", "stream-set", "margin", "wide-parts", "interleave", "spare-slots", "shared-plan",
	"ejection", "help-sharing", "silence", "probes", "retry", "hold", "retry-budget",
}

// MechanismNames returns the names that ParseMechanisms accepts.
func MechanismNames() []string { return slices.Clone(mechanismNames) }

// ParseMechanisms returns the set of the mechanisms with the given names.
func ParseMechanisms(names []string) (Mechanisms, error) {
	var set Mechanisms
	for _, name := range names {
		i := slices.Index(mechanismNames, name)
		if i < 0 {
			return 0, errors.Errorf("a gateway has no mechanism %q", name)
		}
		set |= 1 << i
	}
	return set, nil
}

// Names returns the names of the mechanisms in the set.
func (set Mechanisms) Names() []string {
	var names []string
	for i, name := range mechanismNames {
		if set&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// without reports whether a mechanism is switched off.
func (c *Core) without(m Mechanisms) bool { return c.cfg.Disabled&m != 0 }
