package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEntry answers like an entry, except for the faults that are set.
type fakeEntry struct {
	refuse       atomic.Bool // answer not-run
	cut          atomic.Bool // leave out the end of answers
	splice       atomic.Bool // answer with another request's text
	calls        atomic.Int64
	unkeyed      atomic.Int64 // POST calls without an idempotency key
	keyed        atomic.Int64 // POST calls with one
	unauthorized atomic.Int64 // requests without a bearer key of the configuration
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.calls.Add(1)
	if !strings.HasPrefix(r.Header.Get("Authorization"), "Bearer key-of-") {
		f.unauthorized.Add(1)
	}
	if f.refuse.Load() {
		w.Header().Set(headerOutcome, "not-run")
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"error":{"message":"no","type":"rate_limit","code":"rate_limited"}}`)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/services/") {
		switch {
		case r.Method != http.MethodPost:
		case r.Header.Get("Idempotency-Key") == "":
			f.unkeyed.Add(1)
		default:
			f.keyed.Add(1)
		}
		w.Header().Set(headerOutcome, "completed")
		return
	}
	f.answer(w, r)
}

func (f *fakeEntry) answer(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	json.NewDecoder(r.Body).Decode(&req)
	digest := xxhash.Sum64String(req.Messages[0].Content)
	if f.splice.Load() {
		digest++
	}
	text := enginemodel.AppendTokens(nil, digest, 0, req.MaxTokens)
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
	if f.cut.Load() {
		return
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", req.MaxTokens)
}

// offer sends 60 requests to f, whose writes have idempotency keys, and returns the result of
// the run.
func offer(t *testing.T, f *fakeEntry) *Result { return offerUnkeyed(t, f, 0) }

// offerUnkeyed sends 60 requests to f, of which a share of the writes has no idempotency key.
func offerUnkeyed(t *testing.T, f *fakeEntry, share float64) *Result {
	t.Helper()
	srv := httptest.NewServer(f)
	defer srv.Close()
	accounts := workload.AccountsWithShares([]wire.AccountID{"a", "b"})
	mix := workload.DefaultMix()
	mix.Service = 0.3
	mix.OmitLong = true
	mix.Unkeyed = share
	res, err := Run(context.Background(), Config{
		Targets:     []string{srv.URL},
		Keys:        map[wire.AccountID]string{"a": "key-of-a", "b": "key-of-b"},
		Workload:    workload.Config{Deployment: workload.Atitlan(), Rate: 5000, Mix: mix, Accounts: accounts, Seed: 1},
		MaxRequests: 60,
		CheckAnswer: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func TestRunCountsEveryRequest(t *testing.T) {
	f := &fakeEntry{}
	res := offer(t, f)
	if res.Sent != 60 || res.Completed != 60 || res.Wrong != 0 || f.calls.Load() != 60 || f.unauthorized.Load() != 0 {
		t.Errorf("result %+v after %d requests, %d of them without a bearer key; want 60 sent, completed and received, 0 wrong and 0 without a key", res, f.calls.Load(), f.unauthorized.Load())
	}
	if f.unkeyed.Load() != 0 || f.keyed.Load() == 0 {
		t.Errorf("%d POST calls without and %d with an idempotency key, want none without", f.unkeyed.Load(), f.keyed.Load())
	}
	unkeyed := &fakeEntry{}
	if offerUnkeyed(t, unkeyed, 1); unkeyed.keyed.Load() != 0 || unkeyed.unkeyed.Load() == 0 {
		t.Errorf("%d POST calls without and %d with an idempotency key, want none with", unkeyed.unkeyed.Load(), unkeyed.keyed.Load())
	}
	requests := 0
	for _, row := range res.Rows {
		requests += row.Requests
	}
	if last := res.Rows[len(res.Rows)-1]; requests != 60 || last.Band != ServiceRow || last.Requests == 0 {
		t.Errorf("rows %+v, want 60 requests and the row %q, not empty, last", res.Rows, ServiceRow)
	}
}

func TestRunTellsBadAnswersApart(t *testing.T) {
	refusing, cutting, splicing := &fakeEntry{}, &fakeEntry{}, &fakeEntry{}
	refusing.refuse.Store(true)
	cutting.cut.Store(true)
	splicing.splice.Store(true)
	refused := offer(t, refusing)
	if diff := cmp.Diff([]CodeCount{{Code: "rate_limited", Count: 60}}, refused.Codes); diff != "" || refused.NotRun != 60 {
		t.Errorf("%d requests not run, want 60; codes (-want +got): %s", refused.NotRun, diff)
	}
	cut := offer(t, cutting)
	chats := cut.Sent - cut.Rows[len(cut.Rows)-1].Requests
	if cut.Completed != cut.Sent-chats || chats == 0 || cut.NoAnswer != chats {
		t.Errorf("cut answers: %+v, want all chats (%d, not 0) without an answer and all service calls completed", cut, chats)
	}
	if spliced := offer(t, splicing); spliced.Wrong != chats {
		t.Errorf("%d of %d answers with the text of another request counted as wrong", spliced.Wrong, chats)
	}
}

func TestTimesCountFromWhenARequestWasDue(t *testing.T) {
	srv := httptest.NewServer(&fakeEntry{})
	defer srv.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	c := caller{cfg: &Config{Keys: map[wire.AccountID]string{"a": "key-of-a"}}, client: client}
	r := workload.Request{Account: "a", Kind: wire.KindEngine, PromptTokens: 1000, OutputTokens: 5, Deadline: time.Minute}
	s := c.do(context.Background(), srv.URL, r, time.Now().Add(-time.Hour))
	if s.ttft < time.Hour || s.total < s.ttft || !s.late || s.outcome != "completed" {
		t.Errorf("request due an hour ago: %+v", s)
	}
}

func TestSharedPrefixesHaveTheSameText(t *testing.T) {
	a := promptText(workload.Request{PromptTokens: 3000, Prefixes: []uint64{1, 2}, BodyDigest: 7})
	b := promptText(workload.Request{PromptTokens: 3000, Prefixes: []uint64{1, 3}, BodyDigest: 8})
	if len(a) != 12000 || !bytes.Equal(a[:blockBytes], b[:blockBytes]) {
		t.Errorf("prompt of %d bytes, want 12000, or first blocks with the same hash differ", len(a))
	}
	if bytes.Equal(a[blockBytes:2*blockBytes], b[blockBytes:2*blockBytes]) || bytes.Equal(a[2*blockBytes:], b[2*blockBytes:]) {
		t.Error("blocks with different hashes have the same text")
	}
}

func TestConfigIsChecked(t *testing.T) {
	bounded := Config{Targets: []string{"http://127.0.0.1:1"}, Duration: time.Second}
	unbounded, untargeted, keyless := bounded, bounded, bounded
	unbounded.Duration = 0
	untargeted.Targets = nil
	keyless.Workload.Accounts = []workload.Account{{ID: "a", Share: 1}}
	for _, cfg := range []Config{unbounded, untargeted, keyless} {
		if _, err := Run(context.Background(), cfg); err == nil {
			t.Errorf("Run accepted %+v", cfg)
		}
	}
}
