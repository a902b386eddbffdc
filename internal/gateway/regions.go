package gateway

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Routes and client accounts may name the regions in which their requests may run. Regions are
// compared by the hashes of their names, which waiting prompts carry between gateways.

// regionSet is a set of regions; nil: any region.
type regionSet []uint64

// regionsOf returns the set of regions with the given names; nil names: any region.
func regionsOf(names []string) regionSet {
	if names == nil {
		return nil
	}
	out := make(regionSet, 0, len(names))
	for _, name := range names {
		out = append(out, xxhash.Sum64String(name))
	}
	return out
}

// contains reports whether an endpoint is in one of the regions. One whose region is not known
// is in none.
func (s regionSet) contains(e *endpoint) bool { return s == nil || slices.Contains(s, e.region) }

// applyRegion sets the region of e from the settings.
func (c *Core) applyRegion(e *endpoint) {
	e.region = 0
	if name, known := c.cfg.Regions[e.registration.FailureDomain]; known {
		e.region = xxhash.Sum64String(name)
	}
}

// allows reports whether r may run in e's region.
func (r *request) allows(e *endpoint) bool { return r.regions.contains(e) }

// mayGoTo reports whether r may be sent to e as far as its regions and its earlier attempts go.
func (r *request) mayGoTo(e *endpoint) bool { return r.allows(e) && !r.avoids(e.registration.ID) }
