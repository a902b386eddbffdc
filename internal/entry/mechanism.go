package entry

import "github.com/pkg/errors"

// mechanism names one protection that tests and the soak can switch off, to
// show that a check fails without it.
type mechanism uint32

const (
	withoutDeadline  mechanism = 1 << iota // requests have no deadline timer
	withoutProof                           // a withdrawn attempt counts as not run without the agent's word
	withoutRetryRule                       // calls that are not idempotent are retried
	withoutRecords                         // no at-most-once records
	withoutGrace                           // shutdown does not wait for requests in flight
	withoutLeaving                         // leaving endpoints get new work
	withoutResume                          // a retry starts over behind what the caller has
	withoutSpread                          // revisions come from the store alone, not from peers
	withoutLimits                          // accounts have no limits
)

var mechanismNames = map[string]mechanism{
	"deadline":   withoutDeadline,
	"proof":      withoutProof,
	"retry-rule": withoutRetryRule,
	"records":    withoutRecords,
	"grace":      withoutGrace,
	"leaving":    withoutLeaving,
	"resume":     withoutResume,
	"spread":     withoutSpread,
	"limits":     withoutLimits,
}

// Without returns the configuration with one protection switched off, for runs
// that show what it is for. A product configuration never uses it.
func (c Config) Without(name string) (Config, error) {
	m, ok := mechanismNames[name]
	if !ok {
		return c, errors.Errorf("entry has no mechanism %q", name)
	}
	c.without |= m
	return c, nil
}

func (c *Config) lacks(m mechanism) bool { return c.without&m != 0 }
