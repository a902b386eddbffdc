package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// serve runs an entry whose n-th response is f(n), with n from 1.
func serve(t *testing.T, f func(n int64) entry.Status) *Client {
	t.Helper()
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			http.Error(w, "operators' key required", http.StatusUnauthorized)
			return
		}
		if err := json.NewEncoder(w).Encode(f(calls.Add(1))); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(srv.Close)
	return NewClient(srv.URL, "secret", srv.Client())
}

func TestWaitEndsWhenAllHaveTheRevision(t *testing.T) {
	first := serve(t, func(n int64) entry.Status {
		s := entry.Status{Node: "a", Revision: 7, Peers: []entry.PeerStatus{{Node: "b", Revision: 6}, {Node: "gone", Revision: 5, Leaving: true}}}
		if n < 3 {
			s.Lagging = []wire.EndpointID{"luthier-01"}
		}
		return s
	})
	second := serve(t, func(n int64) entry.Status {
		return entry.Status{Node: "b", Revision: 5 + uint64(n)}
	})
	if lagging := Wait(context.Background(), []*Client{first, second}, 7); lagging != nil {
		t.Errorf("lagging are %v, want none", lagging)
	}
}

func TestWaitNamesWhoLags(t *testing.T) {
	c := serve(t, func(int64) entry.Status {
		return entry.Status{
			Node: "a", Revision: 7, Lagging: []wire.EndpointID{"luthier-01"},
			Peers: []entry.PeerStatus{{Node: "b", Revision: 6, SilentMS: 2000}, {Node: "new", SilentMS: entry.NoMessageYet}},
		}
	})
	dead := NewClient("http://127.0.0.1:1", "secret", http.DefaultClient)
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	want := []Lagging{
		{Name: "b", Revision: 6, Reason: "last heard 2s ago"},
		{Name: "http://127.0.0.1:1", Reason: "gives no status: send request: Get \"http://127.0.0.1:1/v1/operator/status\": dial tcp 127.0.0.1:1: connect: connection refused"},
		{Name: "luthier-01", Reason: "agent of a has an older revision"},
		{Name: "new", Reason: "not heard yet"},
	}
	if diff := cmp.Diff(want, Wait(ctx, []*Client{c, dead}, 7)); diff != "" {
		t.Errorf("lagging differ (-want +got):\n%s", diff)
	}
}

func TestRefusalIsShown(t *testing.T) {
	c := serve(t, func(int64) entry.Status { return entry.Status{} })
	c.key = "wrong"
	if err := c.Drain(context.Background()); err == nil || !strings.Contains(err.Error(), "401 Unauthorized: operators' key required") {
		t.Errorf("got error %v, want 401 Unauthorized with the text of the response", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := c.Dump(ctx); err == nil {
		t.Error("Dump succeeded with the wrong key")
	}
}

func TestDumpBeyondTheLimitIsAnError(t *testing.T) {
	c := serve(t, func(int64) entry.Status { return entry.Status{Node: "a name longer than the limit of this test"} })
	c.maxResponseBytes = 16
	if dump, err := c.Dump(context.Background()); err == nil {
		t.Errorf("Dump returned %q without an error, want one for a response beyond 16 bytes", dump)
	}
}
