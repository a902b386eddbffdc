package fleetsoak

import (
	"context"
	"flag"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/gateway/shell"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/platform"
)

// withoutEnv is the environment variable that names the mechanism to remove
// from a gateway process.
const withoutEnv = "FLEETSOAK_WITHOUT"

var (
	withoutFlag = flag.String("soak.without", "", "run without this mechanism; all: each in turn")
	maxSeeds    = flag.Int("soak.tries", 5, "maximum number of seeds to run without a mechanism until its promise breaks")
)

// detectionTime is the shortest fault phase of a run without a mechanism. Some mechanisms
// matter only after two faults in a certain order.
const detectionTime = 24 * time.Second

// mechanism is a part of the gateway whose removal the soak must detect.
type mechanism struct {
	remove  func(*shell.Config)
	promise string // a promise that is violated without it
}

var mechanisms = map[string]mechanism{
	"not-run-proof":  {func(c *shell.Config) { c.Translator = unproven{} }, "at-most-once"},
	"identity":       {func(c *shell.Config) { c.Translator = anyInstance{} }, "proper-failure"},
	"drain":          {func(c *shell.Config) { c.Decoder = neverLeaving{} }, "drain"},
	"evacuation":     {func(c *shell.Config) { c.Settings.Evacuations = false }, "evacuation"},
	"reconciliation": {func(c *shell.Config) { c.Store = &listsOnce{Client: c.Store} }, "config-in-force"},
	"retry-budget":   {func(c *shell.Config) { c.Settings.RetryRatio, c.Settings.RetrySlack = 100, 100_000 }, "retry-budget"},
}

// unproven treats any 5xx status as a proof that the request did not run.
type unproven struct{ platform.HeaderTranslator }

func (unproven) Response(status int, h http.Header) shell.ResponseHeaders {
	a := platform.HeaderTranslator{}.Response(status, h)
	a.NotRun = a.NotRun || status >= http.StatusInternalServerError
	return a
}

// anyInstance ignores that another instance than the expected one answered.
type anyInstance struct{ platform.HeaderTranslator }

func (anyInstance) Response(status int, h http.Header) shell.ResponseHeaders {
	a := platform.HeaderTranslator{}.Response(status, h)
	if a.OtherEndpoint {
		a.OtherEndpoint, a.NotRun = false, false
	}
	return a
}

// neverLeaving ignores that an endpoint is draining.
type neverLeaving struct{ platform.Decoder }

func (neverLeaving) Registration(key string, value []byte) (gateway.Registration, error) {
	r, err := platform.Decoder{}.Registration(key, value)
	r.Leaving = false
	return r, err
}

// startLists is the number of list operations that succeed, so that a gateway can
// list the configuration and the registrations at its start.
const startLists = 4

// listsOnce fails all list operations after the first startLists, so that the
// gateway depends on watches after its start.
type listsOnce struct {
	store.Client
	lists atomic.Int64
}

func (s *listsOnce) Do(ctx context.Context, op store.Op) store.Result {
	if op.Kind == store.OpList && s.lists.Add(1) > startLists {
		return store.Result{ID: op.ID, Status: store.StatusUnavailable}
	}
	return s.Client.Do(ctx, op)
}

// TestSoakDetectsMissingMechanisms removes one mechanism at a time from all gateway
// processes and checks that the soak finds the violation within a few seeds. It
// takes minutes and runs only if the flag soak.without is set.
func TestSoakDetectsMissingMechanisms(t *testing.T) {
	for name, m := range mechanisms {
		if *withoutFlag != name && *withoutFlag != "all" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Setenv(withoutEnv, name)
			for n := range uint64(*maxSeeds) {
				res, dir := runAndReport(t, *firstSeed+n, max(*faultTime, detectionTime))
				os.RemoveAll(dir)
				for _, v := range res.Violations {
					t.Logf("seed %d: %s: %s", *firstSeed+n, v.Promise, v.Detail)
				}
				if slices.ContainsFunc(res.Violations, func(v Violation) bool { return v.Promise == m.promise }) {
					return
				}
			}
			t.Errorf("no %s promise breaks without %s in %d seeds", m.promise, name, *maxSeeds)
		})
	}
}
