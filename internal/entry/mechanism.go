package entry

import "github.com/pkg/errors"

// mechanism names one protection that tests and the soak can switch off, to
// show that a check fails without it.
type mechanism uint32

const (
	mechanismDeadline  mechanism = 1 << iota // requests have no deadline timer
	mechanismProof                           // a withdrawn attempt counts as not run without the agent's word
	mechanismRetryRule                       // calls that are not idempotent are retried
	mechanismRecords                         // no at-most-once records
	mechanismGrace                           // shutdown does not wait for requests in flight
	mechanismLeaving                         // leaving endpoints get new work
	mechanismResume                          // a retry starts over behind what the caller has
	mechanismSpread                          // revisions come from the store alone, not from peers
	mechanismLimits                          // accounts have no limits
)

var mechanismNames = map[string]mechanism{
	"deadline":   mechanismDeadline,
	"proof":      mechanismProof,
	"retry-rule": mechanismRetryRule,
	"records":    mechanismRecords,
	"grace":      mechanismGrace,
	"leaving":    mechanismLeaving,
	"resume":     mechanismResume,
	"spread":     mechanismSpread,
	"limits":     mechanismLimits,
}

// Without returns the configuration with one protection switched off, for runs
// that show what it is for. A product configuration never uses it.
func (c Config) Without(name string) (Config, error) {
	m, ok := mechanismNames[name]
	if !ok {
		return c, errors.Errorf("entry has no mechanism %q", name)
	}
	c.off |= m
	return c, nil
}

func (c *Config) disabled(m mechanism) bool { return c.off&m != 0 }
