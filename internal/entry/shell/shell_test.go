package shell

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/settings"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) {
	// The metrics library runs one goroutine until the process exits.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

const testKey = "test-key"

// rig is one entry on loopback with clients for callers and agents.
type rig struct {
	t           testing.TB
	entry       *Entry
	base        string       // URL for callers
	peers       string       // URL for agents and other entries
	client      *http.Client // for callers
	agentClient *http.Client // for agents
}

func testDeclarations() *declaration.Snapshot {
	deadlines := [wire.BandCount]time.Duration{10 * time.Second, 10 * time.Second, 10 * time.Second, 10 * time.Second}
	acc := declaration.Account{
		ID: "shop", Weight: 1, MaxOutputTokens: 1000, MaxPromptTokens: 100_000, ServiceDeadline: 5 * time.Second, Deadlines: deadlines,
		Limits:   declaration.Limits{RequestsPerSecond: 1e5, TokensPerSecond: 1e9, BurstSeconds: 10, Concurrency: 1000},
		Models:   map[string]*declaration.ModelGrant{"m": {Model: "m", Adapters: map[string]bool{"violin": true}}},
		Services: map[string]*declaration.ServiceGrant{"orders": {Service: "orders", Methods: map[string]bool{"POST": true}}},
	}
	keys := map[declaration.KeyHash]wire.AccountID{sha256.Sum256([]byte(testKey)): "shop"}
	return declaration.NewSnapshot(1, []declaration.Account{acc},
		[]declaration.Model{{Name: "m", Adapters: []string{"viola", "violin"}}, {Name: "other"}},
		[]declaration.Service{{Name: "orders"}, {Name: "hidden"}}, keys)
}

func startRig(t testing.TB, change func(*Config)) *rig {
	t.Helper()
	cfg := Config{
		Core: entry.Config{
			Self: "entry-1", Incarnation: 1, FailureDomain: "fd-a", Rand: rand.New(rand.NewPCG(1, 2)),
			NoStore: true, ListLag: time.Millisecond, GrantLease: 30 * time.Millisecond, BalancerLag: 50 * time.Millisecond,
		},
		Declarations: testDeclarations(),
		Limits:       settings.DefaultEntry().Limits,
		DrainWait:    5 * time.Second,
		Log:          zerolog.Nop(),
	}
	cfg.Limits.MaxBodyBytes = 64 << 10
	if change != nil {
		change(&cfg)
	}
	e, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	l := Listeners{Callers: listen(t), Peers: listen(t)}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, l) }()
	r := &rig{
		t: t, entry: e, base: "http://" + l.Callers.Addr().String(), peers: "http://" + l.Peers.Addr().String(),
		client: &http.Client{Transport: &http.Transport{}}, agentClient: transport.NewHTTPClient(nil),
	}
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		stop()
		if err := <-done; err != nil {
			t.Errorf("entry: %v", err)
		}
		r.agentClient.CloseIdleConnections()
	})
	r.until(func() bool { return e.snapshot.Load() != nil })
	return r
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// engine starts a fake agent for an engine and waits until the entry is ready.
func (r *rig) engine(a *fakeAgent) *fakeAgent {
	a.hello = wire.Hello{Endpoint: "e1", Incarnation: 1, Kind: wire.KindEngine, Capacity: 400_000, Have: wire.Assignment{Model: "m", Adapters: []string{"violin"}}}
	return r.agent(a)
}

func (r *rig) service(a *fakeAgent) *fakeAgent {
	a.hello = wire.Hello{Endpoint: "s1", Incarnation: 1, Kind: wire.KindService, Service: "orders"}
	return r.agent(a)
}

func (r *rig) agent(a *fakeAgent) *fakeAgent {
	r.t.Helper()
	startFakeAgent(r.t, r.agentClient, r.peers, a)
	r.until(func() bool {
		d, err := r.entry.Dump(r.t.Context())
		return err == nil && d.Ready && len(d.Endpoints) > 0 && d.Endpoints[0].Report.Sequence > 0
	})
	return a
}

// until waits up to 5 seconds for cond. A failure names the line of the caller.
func (r *rig) until(cond func() bool) {
	r.t.Helper()
	for range 500 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatal("condition not met within 5 s")
}

type reply struct {
	status  int
	outcome string
	header  http.Header
	body    string
}

func (r *rig) post(path, body string, headers ...string) reply {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, r.base+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	outcome := resp.Header.Get(HeaderOutcome)
	if t := resp.Trailer.Get(HeaderOutcome); t != "" {
		outcome = t
	}
	return reply{resp.StatusCode, outcome, resp.Header, string(raw)}
}

func TestCompletionAsOneObject(t *testing.T) {
	r := startRig(t, nil)
	r.engine(&fakeAgent{text: []string{"spruce ", "top"}})
	got := r.post("/v1/chat/completions", `{"model":"m:violin","messages":[{"role":"user","content":"which wood"}]}`)
	if got.status != http.StatusOK || got.outcome != "completed" {
		t.Fatalf("got %+v, want status 200 and outcome completed", got)
	}
	var obj response
	if err := json.Unmarshal([]byte(got.body), &obj); err != nil {
		t.Fatal(err)
	}
	stop := "stop"
	want := response{
		ID: obj.ID, Object: "chat.completion", Created: obj.Created, Model: "m:violin",
		Choices: []choice{{Message: &content{Role: "assistant", Content: "spruce top"}, FinishReason: &stop}},
		Usage:   &usage{PromptTokens: 11, CompletionTokens: 2, TotalTokens: 13},
	}
	if diff := cmp.Diff(want, obj); diff != "" {
		t.Fatalf("answer differs (-want +got):\n%s", diff)
	}
}

func TestCompletionAsEvents(t *testing.T) {
	r := startRig(t, nil)
	r.engine(&fakeAgent{text: []string{"spruce ", "top"}})
	got := r.post("/v1/completions", `{"model":"m","prompt":"which wood","stream":true,"stream_options":{"include_usage":true}}`)
	if got.outcome != "completed" || !strings.HasPrefix(got.header.Get("Content-Type"), "text/event-stream") {
		t.Fatalf("got %+v, want outcome completed and an event stream", got)
	}
	var text strings.Builder
	var last *usage
	lines := strings.Split(strings.TrimSpace(got.body), "\n\n")
	for _, line := range lines[:len(lines)-1] {
		var chunk response
		if err := json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		last = chunk.Usage
		for _, c := range chunk.Choices {
			text.WriteString(*c.Text)
		}
	}
	if lines[len(lines)-1] != "data: [DONE]" || text.String() != "spruce top" || last == nil || last.TotalTokens != 13 {
		t.Fatalf("text %q, usage %+v, end %q", text.String(), last, lines[len(lines)-1])
	}
}

func TestServiceCallPassesThrough(t *testing.T) {
	r := startRig(t, nil)
	a := r.service(&fakeAgent{})
	got := r.post("/services/orders/reservations?shop=antigua", "maple", "X-Custom", "kept")
	if got.status != http.StatusCreated || got.body != "got maple" || got.outcome != "completed" || got.header.Get("Content-Type") != "text/plain" {
		t.Fatalf("got %+v, want status 201, the text \"got maple\" and outcome completed", got)
	}
	call := a.dispatched[0].Call
	if call.Path != "/reservations" || call.Query != "shop=antigua" || call.Method != http.MethodPost {
		t.Fatalf("call is %+v, want POST /reservations?shop=antigua", call)
	}
	for _, h := range call.Headers {
		if h.Name == "Authorization" {
			t.Fatal("the caller's key was forwarded to the service")
		}
	}
}

func TestRepeatedKeyGetsTheStoredAnswer(t *testing.T) {
	platform, err := standin.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := platform.Close(); err != nil {
			t.Error(err)
		}
	})
	r := startRig(t, func(c *Config) {
		c.Core.NoStore = false
		c.StoreURL = platform.URL()
	})
	a := r.service(&fakeAgent{})
	first := r.post("/services/orders/reservations", "maple", HeaderIdempotencyKey, "k1")
	second := r.post("/services/orders/reservations", "maple", HeaderIdempotencyKey, "k1")
	if first.body != second.body || second.status != http.StatusCreated || second.header.Get("X-Replayed") != "true" {
		t.Fatalf("first %+v, second %+v", first, second)
	}
	other := r.post("/services/orders/reservations", "ebony", HeaderIdempotencyKey, "k1")
	if other.status != http.StatusUnprocessableEntity || other.outcome != "not-run" {
		t.Fatalf("a key reused with another body: got %+v, want status 422 and outcome not-run", other)
	}
	if n := a.dispatches(); n != 1 {
		t.Fatalf("the call was sent %d times", n)
	}
	platform.SetDown(true)
	down := r.post("/services/orders/reservations", "maple", HeaderIdempotencyKey, "k2")
	if down.status != http.StatusServiceUnavailable || down.outcome != "not-run" || down.header.Get("Retry-After") == "" {
		t.Fatalf("without a store: got %+v, want status 503, outcome not-run and Retry-After", down)
	}
}

func TestInvalidRequestsGetErrors(t *testing.T) {
	r := startRig(t, nil)
	a := r.engine(&fakeAgent{text: []string{"ok"}})
	const good = `{"model":"m","prompt":"x"}`
	for _, c := range []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
		code    string
	}{
		{"broken JSON", "/v1/completions", `{"model":`, nil, 400, "invalid_request"},
		{"no model", "/v1/completions", `{"prompt":"x"}`, nil, 400, "invalid_request"},
		{"empty prompt", "/v1/completions", `{"model":"m","prompt":""}`, nil, 400, "invalid_request"},
		{"no messages", "/v1/chat/completions", `{"model":"m","messages":[]}`, nil, 400, "invalid_request"},
		{"content of a wrong type", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":7}]}`, nil, 400, "invalid_request"},
		{"negative limit", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":-1}`, nil, 400, "invalid_request"},
		{"absurd limit", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":1e12}`, nil, 400, "invalid_request"},
		{"several choices", "/v1/completions", `{"model":"m","prompt":"x","n":3}`, nil, 400, "invalid_request"},
		{"not UTF-8", "/v1/completions", "{\"model\":\"m\",\"prompt\":\"\xff\xfe\"}", nil, 400, "invalid_request"},
		{"unknown model", "/v1/completions", `{"model":"nope","prompt":"x"}`, nil, 404, "unknown_model"},
		{"model of another plan", "/v1/completions", `{"model":"other","prompt":"x"}`, nil, 403, "not_entitled"},
		{"adapter of another plan", "/v1/completions", `{"model":"m:viola","prompt":"x"}`, nil, 403, "not_entitled"},
		{"unknown service", "/services/nope/x", "", nil, 404, "unknown_service"},
		{"service of another plan", "/services/hidden/x", "", nil, 403, "not_entitled"},
		{"wrong key", "/v1/completions", good, []string{"Authorization", "Bearer nope"}, 401, "invalid_api_key"},
		{"no key", "/v1/completions", good, []string{"Authorization", ""}, 401, "invalid_api_key"},
		{"bad deadline", "/v1/completions", good, []string{HeaderDeadline, "-5"}, 400, "invalid_request"},
		{"bad priority", "/v1/completions", good, []string{HeaderPriority, "high"}, 400, "invalid_request"},
		{"long idempotency key", "/services/orders/x", "", []string{HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, "invalid_request"},
		{"oversize body", "/v1/completions", strings.Repeat("x", 70<<10), nil, 413, "body_too_large"},
		{"unknown path", "/v2/completions", good, nil, 404, "not_found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := r.post(c.path, c.body, c.headers...)
			var e errorBody
			if err := json.Unmarshal([]byte(got.body), &e); err != nil {
				t.Fatalf("%q: %v", got.body, err)
			}
			if got.status != c.status || e.Error.Code != c.code || got.outcome != "not-run" || e.Error.Message == "" {
				t.Fatalf("got %d %s (outcome %s): %s", got.status, e.Error.Code, got.outcome, got.body)
			}
		})
	}
	if n := a.dispatches(); n != 0 {
		t.Fatalf("%d refused requests were sent to an endpoint", n)
	}
	if got := r.post("/v1/completions", good); got.status != http.StatusOK {
		t.Fatalf("a good request after the bad ones: %+v", got)
	}
}

func TestOversizeHeadersAreRefused(t *testing.T) {
	r := startRig(t, func(c *Config) { c.Limits.MaxHeaderBytes = 4 << 10 })
	got := r.post("/v1/completions", "{}", "X-Large", strings.Repeat("x", 16<<10))
	if got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("got %+v, want status 431", got)
	}
}

func TestSlowBodyIsCutOff(t *testing.T) {
	r := startRig(t, func(c *Config) { c.Limits.ReadBodyTimeoutMS = 100 })
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 100\r\n\r\n{"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(raw), "body_incomplete") {
		t.Fatalf("got %q", raw)
	}
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	r := startRig(t, nil)
	a := r.engine(&fakeAgent{hold: true})
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.base+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"x"}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if resp, err := r.client.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	r.until(func() bool { return a.dispatches() == 1 })
	leave()
	<-gone
	r.until(func() bool { return a.cancels() == 1 })
	d, err := r.entry.Dump(t.Context())
	if err != nil || len(d.Requests) != 0 {
		t.Fatalf("requests %v, error %v", d.Requests, err)
	}
}

func TestModelsListsWhatThePlanMayUse(t *testing.T) {
	r := startRig(t, nil)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, r.base+"/v1/models", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := r.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var list modelList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, m := range list.Data {
		names = append(names, m.ID)
	}
	if diff := cmp.Diff([]string{"m", "m:violin"}, names); diff != "" {
		t.Fatalf("models differ (-want +got):\n%s", diff)
	}
}
