package gateway

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// submit gives a core a request on the route of that name and returns the outputs.
func submit(c *Core, now time.Duration, id RequestID, kind string) []Output {
	r := testRoutes()[kind]
	return slices.Clone(c.Tick(now, Input{Arrive: &Arrival{
		ID: id, RequestID: "r", Route: r, Service: r.Targets[0].Service, PromptTokens: 4000, MaxOutputTokens: 1000, Deadline: now + r.Timeout,
	}}))
}

func dispatchOf(out []Output) *Dispatch {
	for _, o := range out {
		if o.Dispatch != nil {
			return o.Dispatch
		}
	}
	return nil
}

func finishOf(out []Output) *Finish {
	for _, o := range out {
		if o.Finish != nil {
			return o.Finish
		}
	}
	return nil
}

// endFirstAttempt submits a request and ends its first attempt as given by end. It returns
// the outputs that follow.
func endFirstAttempt(t *testing.T, kind string, end AttemptEnded) []Output {
	t.Helper()
	c := newTestCore(t, 0, 1)
	d := dispatchOf(submit(c, time.Second, 1, kind))
	if d == nil {
		t.Fatal("not dispatched")
	}
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}})
	end.ID, end.Attempt = 1, d.Attempt
	return slices.Clone(c.Tick(1010*time.Millisecond, Input{Ended: &end}))
}

func TestRetryAndVerdictAfterAttempt(t *testing.T) {
	for _, test := range []struct {
		name, kind string
		end        AttemptEnded
		again      bool
		verdict    Verdict
	}{
		{"unsafe, broken: may have run", "unsafe", AttemptEnded{Result: ResultBroken}, false, VerdictUnknown},
		{"unsafe, endpoint's own failure", "unsafe", AttemptEnded{Result: ResultFailed, Status: 500}, false, VerdictDone},
		{"unsafe, proven not run: sent to another endpoint", "unsafe", AttemptEnded{Result: ResultFull, Status: 503}, true, 0},
		{"unsafe, nothing written", "unsafe", AttemptEnded{Result: ResultUnreachable}, true, 0},
		{"safe, broken", "safe", AttemptEnded{Result: ResultBroken}, true, 0},
		{"safe, failure", "safe", AttemptEnded{Result: ResultFailed, Status: 500}, true, 0},
		{"safe, done", "safe", AttemptEnded{Result: ResultDone, Status: 200}, false, VerdictDone},
		{"stream, broken after whole events", "short", AttemptEnded{Result: ResultBroken, PartlyDelivered: true, Resumable: true}, true, 0},
		{"stream, broken inside an event", "short", AttemptEnded{Result: ResultBroken, PartlyDelivered: true}, false, VerdictUnknown},
		{"stream, another instance", "short", AttemptEnded{Result: ResultMisdirected, Status: 421}, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			out := endFirstAttempt(t, test.kind, test.end)
			if d := dispatchOf(out); (d != nil) != test.again {
				t.Fatalf("sent again: %v, want %v", d != nil, test.again)
			}
			if test.again {
				return
			}
			if f := finishOf(out); f == nil || f.Verdict != test.verdict {
				t.Errorf("verdict %+v, want %v", f, test.verdict)
			}
		})
	}
}

// TestRefusalOnlyWithProof checks that a caller is not told that its request has not run
// if the first attempt may have run and the second one is refused.
func TestRefusalOnlyWithProof(t *testing.T) {
	c := newTestCore(t, 0, 1)
	submit(c, time.Second, 1, "safe")
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: 1}})
	d := dispatchOf(c.Tick(1010*time.Millisecond, Input{Ended: &AttemptEnded{ID: 1, Attempt: 1, Result: ResultBroken}}))
	if d == nil {
		t.Fatal("not sent again")
	}
	c.Tick(1010*time.Millisecond, Input{Sent: &Sent{ID: 1, Attempt: 2}})
	var f *Finish
	for n := 2; f == nil && n < 8; n++ {
		f = finishOf(c.Tick(time.Duration(1010+n)*time.Millisecond, Input{Ended: &AttemptEnded{ID: 1, Attempt: n, Result: ResultFull, Status: 503}}))
		c.Tick(time.Duration(1010+n)*time.Millisecond, Input{Sent: &Sent{ID: 1, Attempt: n + 1}})
	}
	if f == nil || f.Verdict != VerdictUnknown {
		t.Fatalf("verdict %+v, want unknown", f)
	}
}

func TestLeavingAndGoneEndpointsGetNoNewWork(t *testing.T) {
	c := newTestCore(t, 0, 1)
	in := testEndpoints(0, 3)
	in.Rows[0].Leaving = true
	in.Rows = in.Rows[:2] // the third is no longer registered
	c.Tick(time.Second, Input{Endpoints: in})
	for id := RequestID(1); id < 6; id++ {
		d := dispatchOf(submit(c, time.Second, id, "safe"))
		if d == nil || d.Endpoint != "p-01" {
			t.Fatalf("dispatch %+v, want to p-01", d)
		}
	}
}

func TestRunningWorkOutlivesRegistration(t *testing.T) {
	c := newTestCore(t, 0, 1)
	d := dispatchOf(submit(c, time.Second, 1, "short"))
	c.Tick(1100*time.Millisecond, Input{Endpoints: &Endpoints{Rows: testEndpoints(0, 3).Rows, Revision: 2}})
	f := finishOf(c.Tick(2*time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultDone, Status: 200}}))
	if f == nil || f.Verdict != VerdictDone {
		t.Fatalf("verdict %+v, want done", f)
	}
	if c.endpoints.Get(d.Endpoint) != nil {
		t.Error("the unregistered endpoint is kept after its last request")
	}
}

// TestRestartedEndpointWithTheSameID checks that an endpoint that was ejected and then
// restarted under the same ID is used at once.
func TestRestartedEndpointWithTheSameID(t *testing.T) {
	c := newTestCore(t, 0, 1)
	in := testEndpoints(0, 1)
	c.Tick(time.Second, Input{Endpoints: in})
	c.eject(c.endpoints.Get("p-00"), "test", 0)
	again := testEndpoints(0, 1)
	again.Rows[0].Born = 77
	c.Tick(1100*time.Millisecond, Input{Endpoints: again})
	if c.endpoints.Get("p-00").health.ejected(c.now) {
		t.Error("the restarted endpoint is still ejected")
	}
}

func TestUnreachableEndpointGetsNoRequests(t *testing.T) {
	c := newTestCore(t, 0, 1)
	d := dispatchOf(submit(c, time.Second, 1, "safe"))
	out := c.Tick(1010*time.Millisecond, Input{Ended: &AttemptEnded{ID: 1, Attempt: 1, Result: ResultUnreachable}})
	if other := dispatchOf(out); other == nil || other.Endpoint == d.Endpoint {
		t.Fatalf("second attempt %+v, want another endpoint than %s", other, d.Endpoint)
	}
	for id := RequestID(2); id < 12; id++ {
		if got := dispatchOf(submit(c, 1020*time.Millisecond, id, "safe")); got != nil && got.Endpoint == d.Endpoint {
			t.Fatalf("request %d went to the ejected endpoint", id)
		}
	}
}

// TestAttemptAtSilentEndpointIsReplacedOnlyIfRetryable checks that a request whose endpoint is
// silent is tried at another one if it may run twice, and that the silent attempt is cancelled
// once the other has begun to answer.
func TestAttemptAtSilentEndpointIsReplacedOnlyIfRetryable(t *testing.T) {
	for kind, want := range map[string]bool{"safe": true, "unsafe": false, "short": true} {
		c := newTestCore(t, 0, 1)
		d := dispatchOf(submit(c, time.Second, 1, kind))
		c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: d.Attempt}})
		var second *Dispatch
		now := time.Second
		for ; now < 4*time.Second && second == nil; now += 50 * time.Millisecond {
			second = dispatchOf(c.Tick(now))
		}
		if (second != nil) != want {
			t.Fatalf("%s: second attempt %v, want %v", kind, second != nil, want)
		}
		if !want {
			continue
		}
		if second.Endpoint == d.Endpoint {
			t.Errorf("%s: the second attempt goes to the silent endpoint", kind)
		}
		c.Tick(now, Input{Sent: &Sent{ID: 1, Attempt: second.Attempt}})
		out := c.Tick(now, Input{First: &FirstEvent{ID: 1, Attempt: second.Attempt}})
		if !slices.ContainsFunc(out, func(o Output) bool { return o.Cancel != nil && o.Cancel.Attempt == d.Attempt }) {
			t.Errorf("%s: outputs %+v, want the silent attempt to be cancelled", kind, out)
		}
	}
}

func TestDeadlineEndsARunningRequest(t *testing.T) {
	c := newTestCore(t, 0, 1)
	submit(c, time.Second, 1, "unsafe")
	c.Tick(time.Second, Input{Sent: &Sent{ID: 1, Attempt: 1}})
	f := finishOf(c.Tick(1600 * time.Millisecond))
	if f == nil || f.Verdict != VerdictTimeout {
		t.Fatalf("verdict %+v, want timeout", f)
	}
}

func TestNothingIsServedWithoutEndpoints(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(time.Second, Input{Endpoints: &Endpoints{Revision: 2}})
	if c.ready.OK {
		t.Error("ready without endpoints")
	}
	f := finishOf(submit(c, 2*time.Second, 1, "safe"))
	if f == nil || f.Verdict != VerdictRefused || f.RetryAfter <= 0 {
		t.Fatalf("verdict %+v, want a refusal with a retry time", f)
	}
}

func TestConfigurationOfSameVersionIsIgnored(t *testing.T) {
	c := newTestCore(t, 0, 1)
	sameVersion := testTable(t)
	c.Tick(time.Second, Input{Config: sameVersion})
	if c.routing == sameVersion {
		t.Error("a configuration of the same version replaced the active one")
	}
}

// TestGatewaysAgreeOnThePlan submits long prompts to two gateways at the same time and
// checks that no engine gets parts of both.
func TestGatewaysAgreeOnThePlan(t *testing.T) {
	s := newSimulation(t, 2)
	s.run(300 * time.Millisecond)
	s.submit(0, "long", 300_000, 10)
	s.submit(1, "long", 250_000, 10)
	s.run(400 * time.Millisecond)
	partsAt := make(map[wire.EndpointID]int)
	for _, c := range s.cores {
		for r := range c.requests.Values() {
			if r.work == nil {
				t.Fatal("a prompt waits although engines are free")
			}
			for _, e := range r.work.endpoints {
				partsAt[e.registration.ID]++
			}
		}
	}
	for id, n := range partsAt {
		if n > 1 {
			t.Errorf("%s prefills parts of %d prompts", id, n)
		}
	}
}

// TestRestartedPeerHasNoWork checks that the work items of a gateway are removed when a
// message of its next incarnation arrives.
func TestRestartedPeerHasNoWork(t *testing.T) {
	s := newSimulation(t, 2)
	s.run(300 * time.Millisecond)
	s.submit(1, "short", 4000, 60)
	s.run(350 * time.Millisecond)
	peerWorkItems := func() int {
		n := 0
		for p := range s.cores[0].peers.Values() {
			n += len(p.workItems)
		}
		return n
	}
	if peerWorkItems() != 1 {
		t.Fatalf("%d work items of the other gateway are known, want 1", peerWorkItems())
	}
	s.cores[1] = New(Config{Incarnation: 99, Addr: gatewayAddr(1), Seeds: []netip.AddrPort{gatewayAddr(0)}, Placement: DefaultPlacement(), Retry: s.cores[0].cfg.Retry})
	s.run(700 * time.Millisecond)
	if peerWorkItems() != 0 {
		t.Errorf("%d work items of the previous incarnation are left", peerWorkItems())
	}
}

func TestSlowEngineGetsNoPartOfALongPrompt(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(time.Second, Input{Report: &EngineReport{Endpoint: "e-03", OK: true, Slowdown: 5}})
	for id := RequestID(1); id < 4; id++ {
		r := testRoutes()["long"]
		c.Tick(time.Second, Input{Arrive: &Arrival{ID: id, RequestID: "l", Route: r, Service: engineService, PromptTokens: 250_000, MaxOutputTokens: 500, Deadline: 16 * time.Second}})
	}
	c.Tick(1020 * time.Millisecond)
	if n := len(c.endpoints.Get("e-03").workItems); n != 0 {
		t.Errorf("the slow engine got %d parts", n)
	}
}

// TestPromptLargerThanAnEngine checks that reservations at helpers cover the part of a
// prompt that exceeds the answering engine's memory.
func TestPromptLargerThanAnEngine(t *testing.T) {
	c := newTestCore(t, 0, 1)
	r := testRoutes()["long"]
	const prompt = 1_000_000
	d := dispatchOf(c.Tick(time.Second, Input{Arrive: &Arrival{
		ID: 1, RequestID: "l", Route: r, Service: engineService, PromptTokens: prompt, MaxOutputTokens: 500, Deadline: 16 * time.Second,
	}}))
	if d == nil {
		t.Fatal("not dispatched")
	}
	reservedTokens := int64(0)
	names := make(map[string]bool)
	for _, h := range d.Helpers {
		if h.Reservation == "" {
			continue
		}
		if names[h.Reservation] {
			t.Errorf("reservation name %s is used twice", h.Reservation)
		}
		names[h.Reservation] = true
		reservedTokens += h.Tokens
	}
	if reservedTokens < prompt-450_000 {
		t.Errorf("%d tokens are reserved, want at least %d", reservedTokens, prompt-450_000)
	}
}

func TestFewGatewaysWatchTheStore(t *testing.T) {
	s := newSimulation(t, 30)
	s.run(2 * time.Second)
	n := 0
	for _, c := range s.cores {
		if c.Gateways() != 30 {
			t.Fatalf("a gateway knows %d of 30", c.Gateways())
		}
		if c.Watches() {
			n++
		}
	}
	if n != maxWatchers {
		t.Errorf("%d gateways watch, want %d", n, maxWatchers)
	}
}

// TestUnreachableServiceIsRefusedSoon checks that the attempts of a request are bounded
// while no endpoint of its service accepts a connection. A soak test with injected
// faults found 7,600 attempts for one request at a gateway whose registrations were
// stale.
func TestUnreachableServiceIsRefusedSoon(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe", "short", "long"} {
		c := newTestCore(t, 0, 1)
		out := submit(c, time.Second, 1, kind)
		attempts := 0
		for now := time.Second; finishOf(out) == nil && attempts < 20; now += time.Millisecond {
			if d := dispatchOf(out); d != nil {
				attempts++
				out = slices.Clone(c.Tick(now, Input{Ended: &AttemptEnded{ID: 1, Attempt: d.Attempt, Result: ResultUnreachable}}))
				continue
			}
			out = slices.Clone(c.Tick(now))
		}
		f := finishOf(out)
		if f == nil || f.Verdict != VerdictRefused || attempts > 1+maxUnreachable {
			t.Errorf("%s: %+v after %d attempts, want a refusal after at most %d", kind, f, attempts, 1+maxUnreachable)
		}
	}
}

// TestMessagesFitDatagrams checks the size of messages after many requests have ended.
func TestMessagesFitDatagrams(t *testing.T) {
	s := newSimulation(t, 2)
	s.run(300 * time.Millisecond)
	largest := 0
	s.onPeerMessage = func(m *PeerMessage) {
		raw, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(raw))
	}
	c := s.cores[0]
	for id := RequestID(1); id < 3000; id++ {
		submit(c, s.now, id, "safe")
		c.Tick(s.now, Input{Ended: &AttemptEnded{ID: id, Attempt: 1, Result: ResultDone, Status: 200}})
	}
	s.run(900 * time.Millisecond)
	const maxBytes = 4000
	if largest > maxBytes {
		t.Errorf("the largest message has %d bytes, want at most %d", largest, maxBytes)
	}
}

// TestFullEngineGetsNoPromptAtOnce checks that an engine that has just refused a prompt
// for lack of capacity gets no other one.
func TestFullEngineGetsNoPromptAtOnce(t *testing.T) {
	c := newTestCore(t, 0, 1)
	d := dispatchOf(submit(c, time.Second, 1, "short"))
	c.Tick(time.Second, Input{Ended: &AttemptEnded{ID: 1, Attempt: 1, Result: ResultFull, Status: 503}})
	for id := RequestID(2); id < 5; id++ {
		if again := dispatchOf(submit(c, 1010*time.Millisecond, id, "short")); again == nil || again.Endpoint == d.Endpoint {
			t.Fatalf("request %d: %+v, want another engine than %s", id, again, d.Endpoint)
		}
	}
}

// TestPromptTooLateForItsDeadlineIsRefusedAtOnce checks that a prompt whose place in the
// plan comes after its deadline is refused when that is known, not when the deadline is near.
func TestPromptTooLateForItsDeadlineIsRefusedAtOnce(t *testing.T) {
	c := newTestCore(t, 0, 1)
	r := testRoutes()["long"]
	refused := 0
	for id := RequestID(1); id <= 10; id++ {
		out := c.Tick(time.Second, Input{Arrive: &Arrival{
			ID: id, RequestID: "l", Route: r, Service: engineService, PromptTokens: 1_000_000, MaxOutputTokens: 500, Deadline: 16 * time.Second,
		}})
		if f := finishOf(out); f != nil {
			if f.Verdict != VerdictRefused || f.RetryAfter <= 0 {
				t.Fatalf("request %d: %+v", id, f)
			}
			refused++
		}
	}
	// Each of these prompts takes all engines for 2.9 s, so five are done in 15 s.
	if refused < 4 {
		t.Errorf("%d of ten were refused at once, want at least four", refused)
	}
}

// TestSteadyChangesAreSent makes a change every millisecond, which is shorter than the
// time for which changes are collected, and checks that the other gateway is sent the
// first one before the next full message.
func TestSteadyChangesAreSent(t *testing.T) {
	c := newTestCore(t, 0, 2)
	start := time.Second
	c.Tick(start) // sends what is due
	sentAfter := time.Duration(0)
	for n := range 20 {
		now := start + time.Duration(n+1)*time.Millisecond
		out := submit(c, now, RequestID(n+1), "safe")
		if sentAfter == 0 && slices.ContainsFunc(out, func(o Output) bool { return o.ToPeer != nil && len(o.ToPeer.Msg.Rows) > 0 }) {
			sentAfter = now - start
		}
	}
	if limit := time.Millisecond + batchDelay + time.Millisecond; sentAfter == 0 || sentAfter > limit {
		t.Errorf("the first change is sent after %v, want %v at most", sentAfter, limit)
	}
}

// TestPromptWithoutTokenCount checks that a request whose token count is missing or
// garbled, and is taken as 0, is served on each kind of route.
func TestPromptWithoutTokenCount(t *testing.T) {
	for _, kind := range []string{"short", "medium", "long"} {
		c, id, now := newBusyCore(t, 1) // engines with latency-sensitive streams, which take parts
		r := testRoutes()[kind]
		out := c.Tick(now, Input{Arrive: &Arrival{ID: id, RequestID: "r", Route: r, Service: engineService, Deadline: now + r.Timeout}})
		if d := dispatchOf(out); d == nil || len(d.Helpers) > 0 {
			t.Errorf("%s: dispatch %+v, want one engine", kind, d)
		}
	}
}

// TestExitEndsAllRequests checks what callers are told of the requests that remain when the
// process exits: that they have not run only if they were not dispatched, since a dispatch
// that the shell has not begun yet may still be sent.
func TestExitEndsAllRequests(t *testing.T) {
	c := newTestCore(t, 0, 1)
	c.Tick(0, Input{Endpoints: testEndpoints(1, 0)})
	sent := dispatchOf(submit(c, 0, 1, "short"))
	c.Tick(0, Input{Sent: &Sent{ID: 1, Attempt: sent.Attempt}})
	if dispatchOf(submit(c, 0, 2, "short")) == nil {
		t.Fatal("the second request is not dispatched")
	}
	want := map[RequestID]Verdict{1: VerdictUnknown, 2: VerdictUnknown}
	for id := RequestID(3); ; id++ {
		if dispatchOf(submit(c, 0, id, "long")) == nil {
			want[id] = VerdictRefused
			break
		}
		want[id] = VerdictUnknown
	}
	for _, out := range c.Tick(time.Millisecond, Input{Exit: &Exit{}}) {
		if f := out.Finish; f != nil {
			if f.Verdict != want[f.ID] || f.Reason != ReasonExit {
				t.Errorf("request %d: %+v, want verdict %d", f.ID, f, want[f.ID])
			}
		}
	}
	if n := c.InFlight(); n != 0 {
		t.Errorf("%d requests in flight after the exit, want 0", n)
	}
}
