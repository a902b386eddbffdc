package route

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Table answers lookups in one version of the configuration.
type Table struct {
	version  uint64
	hosts    map[string][]*Route // by lower-case host, longest prefix first
	services map[string]*Service
	named    map[string]bool     // services of the list and targets of routes
	accounts map[string]*Account // by key
	keyed    bool                // callers need a key
	limits   Limits
	routes   int
}

// Compile builds the table of cfg. It returns an error if any route is invalid, so
// that a configuration is applied as a whole or not at all.
func Compile(cfg *Config) (*Table, error) {
	t := &Table{
		version:  cfg.Version,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(cfg.Services)),
		named:    make(map[string]bool, len(cfg.Services)),
		accounts: make(map[string]*Account),
		keyed:    cfg.Accounts != nil,
		limits:   cfg.Limits,
		routes:   len(cfg.Routes),
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
		t.named[cfg.Services[i].Name] = true
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if err := checkRoute(r); err != nil {
			return nil, err
		}
		for _, target := range r.Targets {
			t.named[target.Service] = true
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range cfg.Accounts {
		for _, key := range cfg.Accounts[i].Keys {
			t.accounts[key] = &cfg.Accounts[i]
		}
	}
	return t, nil
}

func checkRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.Errorf("route %q names no service", r.Name)
	}
	if r.Kind < KindSafe || r.Kind > KindStream {
		return errors.Errorf("route %q has unknown kind %d", r.Name, r.Kind)
	}
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routes }

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Names reports whether the configuration names a service, in its list or as the target of a route.
func (t *Table) Names(service string) bool { return t.named[service] }

// Services returns the names of all services that the configuration names.
func (t *Table) Services() iter.Seq[string] { return maps.Keys(t.named) }

// Match returns the route with the longest prefix of path under host, or nil.
// A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds key and whether a caller with that
// key is allowed. Without accounts in the configuration every caller is allowed,
// and account is nil.
func (t *Table) Account(key string) (account *Account, allowed bool) {
	if !t.keyed {
		return nil, true
	}
	a, ok := t.accounts[key]
	return a, ok
}

// Regions returns the regions in which a request of r and an account, nil if it has none, may
// run: those that both allow. Nil means any region, and an empty result none.
func (t *Table) Regions(r *Route, account *Account) []string {
	switch {
	case (account == nil || len(account.Regions) == 0) && len(r.Regions) == 0:
		return nil
	case account == nil || len(account.Regions) == 0:
		return r.Regions
	case len(r.Regions) == 0:
		return account.Regions
	}
	both := []string{}
	for _, name := range r.Regions {
		if slices.Contains(account.Regions, name) {
			both = append(both, name)
		}
	}
	return both
}

// Pick returns the service of r for the request with that ID, in proportion to the
// weights of the targets. The same ID always gets the same service.
func (r *Route) Pick(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 || len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	n := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		n -= max(t.Weight, 0)
		if n < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
