package fleetsoak

import (
	"context"
	"flag"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"testing"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/gateway/shell"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/platform"
)

// withoutVariable names the mechanism that a gateway process goes without.
const withoutVariable = "FLEETSOAK_WITHOUT"

var (
	only     = flag.String("soak.without", "", "play without this mechanism; all: each in turn")
	attempts = flag.Int("soak.tries", 5, "seeds to play without a mechanism until a promise breaks")
)

// mechanism is a part of the gateway that the soak must miss when it is removed.
type mechanism struct {
	remove  func(*shell.Config)
	promise string // one that breaks without it
}

var mechanisms = map[string]mechanism{
	"not-run-proof":  {func(c *shell.Config) { c.Translator = unproven{} }, "at-most-once"},
	"identity":       {func(c *shell.Config) { c.Translator = anyInstance{} }, "proper-failure"},
	"drain":          {func(c *shell.Config) { c.Decoder = neverLeaving{} }, "drain"},
	"reconciliation": {func(c *shell.Config) { c.Store = &listsOnce{Client: c.Store} }, "drain"},
	"retry-budget":   {func(c *shell.Config) { c.Settings.RetryRatio, c.Settings.RetrySlack = 100, 100_000 }, "retry-budget"},
}

// unproven takes any failure of an endpoint for a proof that it did not run the request.
type unproven struct{ platform.Exchange }

func (unproven) Answer(status int, h http.Header) shell.AnswerHeaders {
	a := platform.Exchange{}.Answer(status, h)
	a.NotRun = a.NotRun || status >= http.StatusInternalServerError
	return a
}

// anyInstance does not notice that another instance answers.
type anyInstance struct{ platform.Exchange }

func (anyInstance) Answer(status int, h http.Header) shell.AnswerHeaders {
	a := platform.Exchange{}.Answer(status, h)
	if a.OtherInstance {
		a.OtherInstance, a.NotRun = false, false
	}
	return a
}

// neverLeaving does not notice that an endpoint is about to leave.
type neverLeaving struct{ platform.Decoder }

func (neverLeaving) Registration(key string, value []byte) (gateway.Registration, error) {
	r, err := platform.Decoder{}.Registration(key, value)
	r.Leaving = false
	return r, err
}

// listsOnce reads the keys at the start only, and trusts the watch from then on.
type listsOnce struct {
	store.Client
	lists atomic.Int64
}

func (s *listsOnce) Do(ctx context.Context, op store.Op) store.Result {
	if op.Kind == store.OpList && s.lists.Add(1) > 4 {
		return store.Result{ID: op.ID, Status: store.StatusUnavailable}
	}
	return s.Client.Do(ctx, op)
}

// TestSoakMissesMechanisms removes one mechanism after the other from all gateway
// processes and checks that the soak finds a broken promise within a few seeds.
// It takes minutes and runs on request.
func TestSoakMissesMechanisms(t *testing.T) {
	for name, m := range mechanisms {
		if *only != name && *only != "all" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Setenv(withoutVariable, name)
			for n := range uint64(*attempts) {
				res, dir := playOne(t, *first+n)
				os.RemoveAll(dir)
				for _, v := range res.Violations {
					t.Logf("seed %d: %s: %s", *first+n, v.Promise, v.Detail)
				}
				if slices.ContainsFunc(res.Violations, func(v Violation) bool { return v.Promise == m.promise }) {
					return
				}
			}
			t.Errorf("no %s promise breaks without %s in %d seeds", m.promise, name, *attempts)
		})
	}
}
