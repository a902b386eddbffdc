package shell

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

const (
	// maxHeldBytes bounds a response that is buffered until it is complete, so that
	// the request can be sent to another endpoint if the response breaks off. A
	// larger one is relayed as it arrives. The bound is far above the size of a usual
	// response and small compared with a VM's memory.
	maxHeldBytes = 1 << 20
	// maxIdleAge is how long a pooled connection may have been idle to carry a
	// request, maxIdleAgeUnsafe the same for a request that must not run twice. The
	// endpoint may be closing a connection that has been idle for longer.
	maxIdleAge       = 2 * time.Second
	maxIdleAgeUnsafe = 300 * time.Millisecond
	// minSilence is the least time that an endpoint has to begin its answer until the idle
	// connections to it are closed, if no other endpoint is tried meanwhile.
	minSilence = 500 * time.Millisecond
)

// exchange is a caller's request and its response. Each attempt runs in a goroutine of its
// own; two run at once while a silent one is on standby.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request // from the caller
	id       gateway.RequestID
	caller   CallerHeaders
	arrived  time.Duration // time on the gateway's clock
	route    *route.Route
	service  string
	account  string
	regions  []string // in which the request may run; nil: any
	priority int      // of the account if it has one, else of the route; 0 is the most urgent
	body     []byte
	deadline time.Duration // time on the gateway's clock
	finish   chan *gateway.Finish
	memory   *bytebudget.Holder // of the body and of responses that are held

	running sync.WaitGroup // attempts

	mu       sync.Mutex // guards attempts
	attempts map[int]context.CancelFunc

	delivery sync.Mutex // held while the response is passed on; guards the fields below
	// owner is the attempt whose response is passed on; 0: none yet. A later attempt becomes
	// the owner only if it goes on exactly where the response stands.
	owner            int
	responseStarted  bool          // the head of a response was sent to the caller
	responseComplete bool          // the whole response was sent to the caller
	lastEventID      string        // of the last event with an ID that was sent to the caller
	lastEventAt      time.Duration // when events were last sent to the caller
	longestGap       time.Duration // between events sent to the caller
	held             *heldResponse // the first failure response, sent if no attempt succeeds
}

// attempt is one attempt of an exchange.
type attempt struct {
	*gateway.Dispatch
	ctx         context.Context
	resumeAfter string        // ID of the event after which a stream resumes; empty: from its beginning
	sentAt      time.Duration // when it was sent
	heardAt     time.Duration // when it was sent or last received a part of its response
	begun       bool          // its first event has been relayed
}

// errSuperseded ends an attempt whose request is answered by another one.
var errSuperseded = errors.New("another attempt answers the request")

// errUnsigned ends an attempt whose successful response has no signature: it may be bytes that
// belong to no request.
var errUnsigned = errors.New("successful answer without a signature")

// heldResponse is a complete response of an endpoint that has not been sent to the
// caller.
type heldResponse struct {
	status int
	header http.Header
	body   []byte
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		g: g, w: w, r: r, arrived: g.now(), caller: g.cfg.Translator.Request(r.Header),
		finish:   make(chan *gateway.Finish, 1),
		memory:   g.memory.Open(),
		attempts: make(map[int]context.CancelFunc),
	}
}

// arrival returns the core's input for a new request.
func (x *exchange) arrival() *gateway.Arrival {
	return &gateway.Arrival{
		ID: x.id, RequestID: x.caller.RequestID, Route: x.route, Service: x.service,
		Account: x.account, Priority: x.priority, Regions: x.regions,
		PromptTokens: x.caller.Prompt, MaxOutputTokens: x.caller.Output, SharedParts: x.caller.SharedParts,
		Fingerprint: fingerprint(x.r.Host, x.r.RequestURI, x.account, x.body), Deadline: x.deadline,
	}
}

// run waits until the core has the verdict or the caller disconnects. It returns when no
// attempt runs any more.
func (x *exchange) run() {
	select {
	case f := <-x.finish:
		x.running.Wait()
		x.applyVerdict(f)
	case <-x.r.Context().Done():
		x.g.unregister(x)
		x.g.tick(gateway.Input{Gone: &gateway.CallerGone{ID: x.id}})
		x.cancelAttempts()
		x.running.Wait()
		panic(http.ErrAbortHandler)
	}
}

// applyVerdict sends the caller the response for the core's verdict, unless the
// response is complete. It aborts a response that was started and not completed.
func (x *exchange) applyVerdict(f *gateway.Finish) {
	switch {
	case x.responseComplete:
	case x.responseStarted:
		x.logLocal("response-aborted", string(f.Reason))
		x.g.meters.responsesAborted.Inc(1)
		panic(http.ErrAbortHandler) // a partial response must not look complete
	case f.Verdict == gateway.VerdictDone && x.held != nil:
		x.send(x.held)
	case f.Verdict == gateway.VerdictRefused:
		x.g.meters.recordRefusal(f.Reason)
		x.refuse(f.RetryAfter, "not run: "+string(f.Reason))
	case f.Verdict == gateway.VerdictTimeout:
		x.respondText(http.StatusGatewayTimeout, "no answer in time")
	default:
		x.respondText(http.StatusBadGateway, "no answer: "+string(f.Reason))
	}
}

// startAttempt runs an attempt in a goroutine and reports its end to the core. It is called
// for a registered exchange with the gateway's lock held.
func (x *exchange) startAttempt(d *gateway.Dispatch) {
	ctx, cancel := context.WithCancel(x.r.Context())
	x.mu.Lock()
	x.attempts[d.Attempt] = cancel
	x.mu.Unlock()
	x.running.Go(func() {
		ended := x.runAttempt(&attempt{Dispatch: d, ctx: ctx})
		x.cancelAttempt(d.Attempt)
		if x.r.Context().Err() == nil {
			x.g.tick(gateway.Input{Ended: ended})
		}
	})
}

// cancelAttempt cancels an attempt that may still run. It is safe for concurrent use.
func (x *exchange) cancelAttempt(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if cancel := x.attempts[attempt]; cancel != nil {
		cancel()
		delete(x.attempts, attempt)
	}
}

// cancelAttempts cancels all attempts. It is safe for concurrent use.
func (x *exchange) cancelAttempts() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, cancel := range x.attempts {
		cancel()
	}
	clear(x.attempts)
}

// claim lets an attempt pass its response on and reports whether it may. It is called with
// delivery held.
func (x *exchange) claim(a *attempt) bool {
	if x.owner == a.Attempt {
		return true
	}
	goesOn := x.lastEventID != "" && x.lastEventID == a.resumeAfter
	if a.ctx.Err() != nil || a.Attempt < x.owner || x.owner != 0 && !goesOn {
		return false
	}
	x.owner = a.Attempt
	return true
}

// runAttempt sends the request to the endpoint of a dispatch, relays the response to
// the caller and returns how the attempt ended.
func (x *exchange) runAttempt(a *attempt) *gateway.AttemptEnded {
	e := &gateway.AttemptEnded{ID: x.id, Attempt: a.Attempt}
	release, err := x.g.reserve(a.ctx, a.Dispatch)
	if err != nil {
		return x.failAttempt(a, e, gateway.ResultFull, err)
	}
	defer release()
	conn, err := x.g.pool.Get(a.ctx, a.Addr, x.idleAge(a), x.caller.RequestID)
	if err != nil {
		return x.failAttempt(a, e, gateway.ResultUnreachable, err)
	}
	e.Carried = conn.Carried()
	conn.AbortOn(a.ctx)
	a.sentAt = x.g.now()
	a.heardAt = a.sentAt
	x.g.tick(gateway.Input{Sent: &gateway.Sent{ID: x.id, Attempt: a.Attempt}})
	if err := a.ctx.Err(); err != nil { // the core has cancelled the attempt
		conn.Close()
		return x.failAttempt(a, e, gateway.ResultFull, err)
	}
	silent := time.AfterFunc(x.silenceTimeout(a), func() { x.g.pool.CloseIdle(a.Addr) })
	resp, err := conn.Do(x.request(a))
	silent.Stop()
	if err != nil {
		return x.failAttempt(a, e, gateway.ResultBroken, err)
	}
	return x.handleResponse(conn, resp, a, e)
}

// silenceTimeout returns how long an endpoint may take to begin its answer until the idle
// connections to it count as silent too.
func (x *exchange) silenceTimeout(a *attempt) time.Duration {
	return cmp.Or(a.SilenceTimeout, max(2*x.route.Objective, minSilence))
}

// idleAge returns how long a connection may have been idle to carry an attempt. Kept connections may
// fall silent together, so that a second attempt gets a new one.
func (x *exchange) idleAge(a *attempt) time.Duration {
	switch {
	case a.Attempt > 1:
		return 0
	case !x.route.Idempotent():
		return maxIdleAgeUnsafe
	}
	return maxIdleAge
}

// failAttempt fills in and returns e for an attempt without a complete response.
// ResultBroken becomes ResultSilent if the attempt was cancelled, and ResultSuperseded if
// another one answers the request.
func (x *exchange) failAttempt(a *attempt, e *gateway.AttemptEnded, result gateway.Result, err error) *gateway.AttemptEnded {
	e.Result, e.Detail = result, err.Error()
	if result == gateway.ResultBroken {
		e.Silence = x.g.now() - a.heardAt
	}
	switch {
	case err == errSuperseded:
		e.Result = gateway.ResultSuperseded
	case a.ctx.Err() != nil && result == gateway.ResultBroken:
		e.Result = gateway.ResultSilent
	}
	return x.deliveryState(e)
}

// deliveryState fills in and returns what the caller has received of a stream.
func (x *exchange) deliveryState(e *gateway.AttemptEnded) *gateway.AttemptEnded {
	x.delivery.Lock()
	defer x.delivery.Unlock()
	e.PartlyDelivered, e.Resumable, e.LongestGap = x.responseStarted, x.route.Resumable, x.longestGap
	return e
}

// started reports whether a response to the caller has begun.
func (x *exchange) started() bool {
	x.delivery.Lock()
	defer x.delivery.Unlock()
	return x.responseStarted
}

// request builds the request to the endpoint of an attempt.
func (x *exchange) request(a *attempt) *upstream.Request {
	x.delivery.Lock()
	a.resumeAfter = x.lastEventID
	x.delivery.Unlock()
	h, idHeader := forwardedHeaders(x.r.Header), x.g.cfg.Translator.Names().RequestID
	if x.caller.RequestID != "" {
		h.Set(idHeader, x.caller.RequestID) // exactly the one that the response must have
	}
	x.g.cfg.Translator.Forward(h, ForwardHeaders{
		TimeLeft: x.deadline - x.g.now(), EndpointID: string(a.Endpoint), Account: x.account, Helpers: a.Helpers,
		LastEventID: a.resumeAfter, Priority: x.priority,
	})
	return &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		ID: x.caller.RequestID, IDHeader: idHeader,
	}
}

// handleResponse reads or relays a response whose head has been read and fills in
// and returns e.
func (x *exchange) handleResponse(conn *upstream.Conn, resp *http.Response, a *attempt, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	a.heardAt = x.g.now()
	if x.unsigned(resp) {
		conn.Close()
		return x.failAttempt(a, e, gateway.ResultBroken, errUnsigned)
	}
	h := x.g.cfg.Translator.Response(resp.StatusCode, resp.Header)
	x.g.passAnnouncement(a.Endpoint, a.Addr, &h)
	x.passState(a, &h)
	e.Status, e.EndsWithConnection = resp.StatusCode, upstream.EndsWithConnection(resp)
	if x.isStream(resp) {
		return x.relayStream(conn, resp, a, e)
	}
	if resp.ContentLength > maxHeldBytes && !h.NotRun {
		// The core must not take the attempt as silent while a long body arrives.
		x.notifyFirstEvent(a)
	}
	body, err := readHeld(x.memory, resp.Body)
	short := err == bytebudget.ErrShort
	if !short && err != nil {
		conn.Close()
		return x.failAttempt(a, e, gateway.ResultBroken, err)
	}
	if mustRelay(body, short, resp.StatusCode) && !x.started() && !h.NotRun && !x.unproven(&h) {
		return x.relayLarge(conn, resp, body, a, e)
	}
	if short && (!h.NotRun || resp.StatusCode == http.StatusBadRequest) {
		return x.giveUpResponse(conn, e)
	}
	conn.Release(resp)
	switch {
	case h.OtherEndpoint:
		e.Result = gateway.ResultMisdirected
		e.FailedEndpoint = h.Fault
	case h.NotRun && resp.StatusCode != http.StatusBadRequest:
		e.Result = gateway.ResultFull
		e.FailedEndpoint = h.Fault
		e.Detail = "status " + strconv.Itoa(resp.StatusCode)
	case resp.StatusCode < 500 && x.deliver(a, x.answerFor(resp, &h, body)):
		e.Result = gateway.ResultDone
	case a.ctx.Err() != nil:
		return x.failAttempt(a, e, gateway.ResultBroken, a.ctx.Err())
	default:
		x.holdFailure(x.answerFor(resp, &h, body))
		e.Result = gateway.ResultFailed
	}
	return x.deliveryState(e)
}

// unsigned reports whether a response claims success without a signature of the endpoint that is passed on.
func (x *exchange) unsigned(resp *http.Response) bool {
	signature := x.g.cfg.Translator.Names().Signature
	return resp.StatusCode >= 200 && resp.StatusCode < 300 && (resp.Header.Get(signature) == "" || connectionOptions(resp.Header)[signature])
}

// passState passes the load and the limit that the endpoint states in a response to the core.
func (x *exchange) passState(a *attempt, h *ResponseHeaders) {
	var in []gateway.Input
	if limit := x.g.limitInput(a.Endpoint, a.Addr, h, a.sentAt); limit != nil {
		in = append(in, gateway.Input{Limit: limit})
	}
	if h.HasLoad {
		h.Load.Endpoint = a.Endpoint
		in = append(in, gateway.Input{Load: &h.Load})
	}
	if len(in) > 0 {
		x.g.tick(in...)
	}
}

// notifyFirstEvent notifies the core that the attempt's response has begun.
func (x *exchange) notifyFirstEvent(a *attempt) {
	x.g.tick(gateway.Input{First: &gateway.FirstEvent{ID: x.id, Attempt: a.Attempt}})
}

// isStream reports whether the response is a stream, whose events are relayed as
// they arrive.
func (x *exchange) isStream(resp *http.Response) bool {
	return x.route.Kind == route.KindStream && resp.StatusCode >= 200 && resp.StatusCode < 300
}

// holdFailure keeps the first failure response, which the caller gets if no other
// attempt succeeds.
func (x *exchange) holdFailure(answer *heldResponse) {
	x.delivery.Lock()
	defer x.delivery.Unlock()
	if x.held == nil && !x.responseStarted {
		x.held = answer
	}
}

// deliver passes on the complete answer of an attempt, and reports whether it may: no other
// response has begun.
func (x *exchange) deliver(a *attempt, answer *heldResponse) bool {
	x.delivery.Lock()
	defer x.delivery.Unlock()
	if x.responseStarted || !x.claim(a) {
		return false
	}
	x.notifyFirstEvent(a)
	x.send(answer)
	return true
}

// send sends a complete answer to the caller.
func (x *exchange) send(answer *heldResponse) {
	copyHeader(x.w.Header(), answer.header)
	length := strconv.Itoa(len(answer.body))
	if x.r.Method == http.MethodHead {
		length = answer.header.Get("Content-Length") // that of the answer to a GET
	}
	if length != "" {
		x.w.Header().Set("Content-Length", length)
	}
	x.setConnectionHeaders()
	x.responseStarted = true
	x.w.WriteHeader(answer.status)
	if _, err := x.w.Write(answer.body); err != nil {
		x.logLocal("caller-lost", err.Error())
	}
	x.markComplete(answer.status)
}

// markComplete records that the caller has been sent the whole response.
func (x *exchange) markComplete(status int) {
	x.responseComplete = true
	x.g.meters.recordResponse(status, x.g.now()-x.arrived)
}
