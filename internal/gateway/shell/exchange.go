package shell

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

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
)

// exchange is a caller's request and its response. Its methods run in the goroutine
// that serves the request, except cancelAttempt.
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
	priority int // of the account if it has one, else of the route; 0 is the most urgent
	body     []byte

	deadline time.Duration // time on the gateway's clock
	dispatch chan *gateway.Dispatch
	finish   chan *gateway.Finish

	responseStarted  bool          // the head of a response was sent to the caller
	lastEventID      string        // of the last event with an ID that was sent to the caller
	lastEventAt      time.Duration // when events were last sent to the caller
	longestGap       time.Duration // between events sent to the caller
	heardAt          time.Duration // when the current attempt was sent or last received a part of its response
	held             *heldResponse // the first failure response, sent if no attempt succeeds
	responseComplete bool          // the whole response was sent to the caller

	mu      sync.Mutex // guards the fields below
	attempt int        // number of the current attempt
	cancel  context.CancelFunc
}

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
		dispatch: make(chan *gateway.Dispatch, 1),
		finish:   make(chan *gateway.Finish, 1),
	}
}

// arrival returns the core's input for a new request.
func (x *exchange) arrival() *gateway.Arrival {
	return &gateway.Arrival{
		ID: x.id, RequestID: x.caller.RequestID, Route: x.route, Service: x.service,
		Account: x.account, Priority: x.priority,
		PromptTokens: x.caller.Prompt, MaxOutputTokens: x.caller.Output, SharedParts: x.caller.SharedParts,
		Deadline: x.deadline,
	}
}

// run executes the core's decisions until it has the verdict or the caller
// disconnects.
func (x *exchange) run() {
	callerGone := x.r.Context().Done()
	for {
		select {
		case f := <-x.finish:
			x.applyVerdict(f)
			return
		case d := <-x.dispatch:
			ended := x.runAttempt(d)
			if x.r.Context().Err() == nil {
				x.g.tick(gateway.Input{Ended: ended})
			}
		case <-callerGone:
			x.g.unregister(x)
			x.g.tick(gateway.Input{Gone: &gateway.CallerGone{ID: x.id}})
			panic(http.ErrAbortHandler)
		}
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
		x.deliver(x.held.status, x.held.header, x.held.body)
	case f.Verdict == gateway.VerdictRefused:
		x.refuse(f.RetryAfter, "not run: "+string(f.Reason))
	case f.Verdict == gateway.VerdictTimeout:
		x.respondText(http.StatusGatewayTimeout, "no answer in time")
	default:
		x.respondText(http.StatusBadGateway, "no answer: "+string(f.Reason))
	}
}

// startAttempt makes attempt the current one and returns its context, which
// cancelAttempt cancels.
func (x *exchange) startAttempt(attempt int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(x.r.Context())
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt, x.cancel = attempt, cancel
	return ctx, cancel
}

// cancelAttempt cancels the attempt if it is the current one. An attempt of 0
// means the current one. It is safe for concurrent use.
func (x *exchange) cancelAttempt(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancel != nil && (attempt == 0 || attempt == x.attempt) {
		x.cancel()
	}
}

// runAttempt sends the request to the endpoint of a dispatch, relays the response to
// the caller and returns how the attempt ended.
func (x *exchange) runAttempt(d *gateway.Dispatch) *gateway.AttemptEnded {
	ctx, cancel := x.startAttempt(d.Attempt)
	defer cancel()
	e := &gateway.AttemptEnded{ID: x.id, Attempt: d.Attempt}
	defer func() { e.LongestGap = x.longestGap }()
	maxAge := maxIdleAge
	if !x.route.Idempotent() {
		maxAge = maxIdleAgeUnsafe
	}
	release, err := x.g.reserve(ctx, d)
	if err != nil {
		return x.failAttempt(ctx, e, gateway.ResultFull, err)
	}
	defer release()
	conn, err := x.g.pool.Get(ctx, d.Addr, maxAge)
	if err != nil {
		return x.failAttempt(ctx, e, gateway.ResultUnreachable, err)
	}
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	x.heardAt = x.g.now()
	x.g.tick(gateway.Input{Sent: &gateway.Sent{ID: x.id, Attempt: d.Attempt}})
	if err := ctx.Err(); err != nil { // the core has cancelled the attempt
		conn.Close()
		return x.failAttempt(ctx, e, gateway.ResultFull, err)
	}
	resp, err := conn.Do(x.request(d))
	if err != nil {
		return x.failAttempt(ctx, e, gateway.ResultBroken, err)
	}
	return x.handleResponse(ctx, conn, resp, d, e)
}

// failAttempt fills in and returns e for an attempt without a complete response.
// ResultBroken becomes ResultSilent if the attempt was cancelled.
func (x *exchange) failAttempt(ctx context.Context, e *gateway.AttemptEnded, result gateway.Result, err error) *gateway.AttemptEnded {
	e.Result, e.Detail = result, err.Error()
	if result == gateway.ResultBroken {
		e.Silence = x.g.now() - x.heardAt
	}
	if ctx.Err() != nil && result == gateway.ResultBroken {
		e.Result = gateway.ResultSilent
	}
	e.PartlyDelivered = x.responseStarted
	e.Resumable = x.route.Resumable
	return e
}

// request builds the request to the endpoint of a dispatch.
func (x *exchange) request(d *gateway.Dispatch) *upstream.Request {
	h := forwardedHeaders(x.r.Header)
	x.g.cfg.Translator.Forward(h, ForwardHeaders{
		TimeLeft: x.deadline - x.g.now(), EndpointID: string(d.Endpoint), Account: x.account, Helpers: d.Helpers,
		LastEventID: x.lastEventID, Priority: x.priority,
	})
	return &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		ID: x.caller.RequestID, IDHeader: x.g.cfg.Translator.Names().RequestID,
	}
}

// handleResponse reads or relays a response whose head has been read and fills in
// and returns e.
func (x *exchange) handleResponse(ctx context.Context, conn *upstream.Conn, resp *http.Response, d *gateway.Dispatch, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	x.heardAt = x.g.now()
	a := x.g.cfg.Translator.Response(resp.StatusCode, resp.Header)
	x.g.passAnnouncement(d.Endpoint, d.Addr, &a)
	if a.HasLoad {
		a.Load.Endpoint = d.Endpoint
		x.g.tick(gateway.Input{Load: &a.Load})
	}
	e.Status, e.EndsWithConnection = resp.StatusCode, upstream.EndsWithConnection(resp)
	if x.isStream(resp) {
		return x.relayStream(ctx, conn, resp, d, e)
	}
	if resp.ContentLength > maxHeldBytes && !a.NotRun {
		// The core must not cancel the attempt as silent while a long body arrives.
		x.notifyFirstEvent(d)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes+1))
	if err != nil {
		conn.Close()
		return x.failAttempt(ctx, e, gateway.ResultBroken, err)
	}
	if len(body) > maxHeldBytes && !x.responseStarted && !a.NotRun {
		return x.relayLarge(ctx, conn, resp, body, d, e)
	}
	conn.Release(resp)
	e.PartlyDelivered, e.Resumable = x.responseStarted, x.route.Resumable
	switch {
	case a.OtherEndpoint:
		e.Result = gateway.ResultMisdirected
		e.FailedEndpoint = a.Fault
	case a.NotRun && resp.StatusCode != http.StatusBadRequest:
		e.Result = gateway.ResultFull
		e.FailedEndpoint = a.Fault
		e.Detail = "status " + strconv.Itoa(resp.StatusCode)
	case resp.StatusCode >= 500 || x.responseStarted:
		x.holdFailure(resp, body)
		e.Result = gateway.ResultFailed
	default:
		x.notifyFirstEvent(d)
		x.deliver(resp.StatusCode, resp.Header, body)
		e.Result = gateway.ResultDone
	}
	return e
}

// notifyFirstEvent notifies the core that the attempt's response has begun.
func (x *exchange) notifyFirstEvent(d *gateway.Dispatch) {
	x.g.tick(gateway.Input{First: &gateway.FirstEvent{ID: x.id, Attempt: d.Attempt}})
}

// isStream reports whether the response is a stream, whose events are relayed as
// they arrive.
func (x *exchange) isStream(resp *http.Response) bool {
	return x.route.Kind == route.KindStream && resp.StatusCode >= 200 && resp.StatusCode < 300
}

// holdFailure keeps the first failure response, which the caller gets if no other
// attempt succeeds.
func (x *exchange) holdFailure(resp *http.Response, body []byte) {
	if x.held == nil && !x.responseStarted {
		x.held = &heldResponse{status: resp.StatusCode, header: resp.Header, body: body}
	}
}

// deliver sends a complete response of an endpoint to the caller.
func (x *exchange) deliver(status int, header http.Header, body []byte) {
	copyHeader(x.w.Header(), header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.setConnectionHeaders()
	x.responseStarted = true
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.logLocal("caller-lost", err.Error())
	}
	x.markComplete(status)
}

// markComplete records that the caller has been sent the whole response.
func (x *exchange) markComplete(status int) {
	x.responseComplete = true
	x.g.meters.recordResponse(status, x.g.now()-x.arrived)
}
