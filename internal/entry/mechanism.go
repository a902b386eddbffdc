package entry

import "github.com/pkg/errors"

// mechanism is a protection that tests and soak runs can switch off, to show
// that a check fails without it. The comments of the constants say what happens
// then.
type mechanism uint32

const (
	mechanismDeadline  mechanism = 1 << iota // requests have no deadline timer
	mechanismProof                           // a cancelled attempt counts as not run without the agent's confirmation
	mechanismRetryRule                       // calls that are not idempotent are retried
	mechanismRecords                         // no at-most-once records
	mechanismGrace                           // shutdown does not wait for requests in flight
	mechanismLeaving                         // endpoints that are leaving get new work
	mechanismResume                          // a retry starts at the first token, whatever the caller has
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

// Without returns the configuration with the named protection switched off, for
// runs that show what fails without it. It is not for production. The error
// reports an unknown name.
func (c Config) Without(name string) (Config, error) {
	m, ok := mechanismNames[name]
	if !ok {
		return c, errors.Errorf("entry has no mechanism %q", name)
	}
	c.off |= m
	return c, nil
}

// disabled reports whether a protection is switched off.
func (c *Config) disabled(m mechanism) bool { return c.off&m != 0 }
