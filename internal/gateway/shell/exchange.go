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
	// maxHeldBytes bounds an answer that is kept until it is complete, so that
	// another endpoint may be asked if it breaks off. A larger one is passed on as
	// it comes. The bound is far above the usual answer and small beside a VM's
	// memory.
	maxHeldBytes = 1 << 20
	// reuseAge is how long a connection may have been idle to carry a request.
	// One that may not run twice gets a connection that was in use just now, since
	// the endpoint may be closing an older one.
	reuseAge       = 2 * time.Second
	reuseAgeUnsafe = 300 * time.Millisecond
)

// exchange is one caller's request and its answer. Its methods run in the
// goroutine of the caller's request, but for cancelAttempt.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      gateway.RequestID
	caller  CallerHeaders
	arrived time.Duration
	route   *route.Route
	service string
	account string
	rank    int // priority of the account or the route
	body    []byte

	deadline time.Duration
	dispatch chan *gateway.Dispatch
	finish   chan *gateway.Finish

	begun     bool   // the caller has got something
	lastEvent string // that the caller has got whole
	lastAt    time.Duration
	pause     time.Duration // longest between two events
	held      *heldAnswer   // a failure that may still be passed on
	answered  bool          // the answer is complete at the caller

	mu      sync.Mutex // guards what follows
	attempt int
	cancel  context.CancelFunc
}

// heldAnswer is an endpoint's whole answer that has not been passed on.
type heldAnswer struct {
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

func (x *exchange) arrival() *gateway.Arrive {
	return &gateway.Arrive{
		ID: x.id, RequestID: x.caller.RequestID, Route: x.route, Service: x.service,
		Account: x.account, Priority: x.rank,
		Prompt: x.caller.Prompt, Output: x.caller.Output, Deadline: x.deadline,
	}
}

// run carries out what the core decides until the request has its verdict.
func (x *exchange) run() {
	left := x.r.Context().Done()
	for {
		select {
		case f := <-x.finish:
			x.conclude(f)
			return
		case d := <-x.dispatch:
			ended := x.try(d)
			if x.r.Context().Err() == nil {
				x.g.tick(gateway.Input{Ended: ended})
			}
		case <-left:
			x.g.unregister(x)
			x.g.tick(gateway.Input{Gone: &gateway.CallerGone{ID: x.id}})
			panic(http.ErrAbortHandler)
		}
	}
}

// conclude gives the caller the verdict.
func (x *exchange) conclude(f *gateway.Finish) {
	switch {
	case x.answered:
	case x.begun:
		panic(http.ErrAbortHandler) // what the caller has must not look complete
	case f.Verdict == gateway.VerdictDone && x.held != nil:
		x.deliver(x.held.status, x.held.header, x.held.body)
	case f.Verdict == gateway.VerdictRefused:
		x.refuse(f.RetryAfter, "not run: "+string(f.Reason))
	case f.Verdict == gateway.VerdictTimeout:
		x.answerText(http.StatusGatewayTimeout, "no answer in time")
	default:
		x.answerText(http.StatusBadGateway, "no answer: "+string(f.Reason))
	}
}

// startAttempt returns the context of an attempt, which cancelAttempt ends.
func (x *exchange) startAttempt(attempt int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(x.r.Context())
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt, x.cancel = attempt, cancel
	return ctx, cancel
}

// cancelAttempt ends the attempt if it is the current one; 0 stands for any.
func (x *exchange) cancelAttempt(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancel != nil && (attempt == 0 || attempt == x.attempt) {
		x.cancel()
	}
}

// try sends the request to an endpoint and passes its answer on.
func (x *exchange) try(d *gateway.Dispatch) *gateway.Ended {
	ctx, cancel := x.startAttempt(d.Attempt)
	defer cancel()
	e := &gateway.Ended{ID: x.id, Attempt: d.Attempt}
	defer func() { e.Pause = x.pause }()
	age := reuseAge
	if !x.route.Idempotent() {
		age = reuseAgeUnsafe
	}
	release, err := x.g.reserve(ctx, d)
	if err != nil {
		return x.broke(ctx, e, gateway.ResultFull, err)
	}
	defer release()
	conn, err := x.g.pool.Get(ctx, d.Addr, age)
	if err != nil {
		return x.broke(ctx, e, gateway.ResultUnreachable, err)
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	x.g.tick(gateway.Input{Sent: &gateway.Sent{ID: x.id, Attempt: d.Attempt}})
	resp, err := conn.Do(x.request(d))
	if err != nil {
		return x.broke(ctx, e, gateway.ResultBroken, err)
	}
	return x.take(ctx, conn, resp, d, e)
}

// broke fills in the end of an attempt without a complete answer.
func (x *exchange) broke(ctx context.Context, e *gateway.Ended, result gateway.Result, err error) *gateway.Ended {
	e.Result, e.Detail = result, err.Error()
	if ctx.Err() != nil && result == gateway.ResultBroken {
		e.Result = gateway.ResultSilent
	}
	e.Begun = x.begun
	e.Resumable = x.route.Resumable
	return e
}

// request builds the request for an endpoint.
func (x *exchange) request(d *gateway.Dispatch) *upstream.Request {
	h := forwardable(x.r.Header)
	x.g.cfg.Translator.Forward(h, ForwardHeaders{
		TimeLeft: x.deadline - x.g.now(), Instance: string(d.Endpoint), Account: x.account, Helpers: d.Helpers,
		LastEvent: x.lastEvent, Priority: x.rank,
	})
	return &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		ID: x.caller.RequestID, IDHeader: x.g.cfg.Translator.Names().RequestID,
	}
}

// take handles an answer whose head has been read.
func (x *exchange) take(ctx context.Context, conn *upstream.Conn, resp *http.Response, d *gateway.Dispatch, e *gateway.Ended) *gateway.Ended {
	a := x.g.cfg.Translator.Answer(resp.StatusCode, resp.Header)
	if a.Loaded {
		a.Load.Endpoint = d.Endpoint
		x.g.tick(gateway.Input{Load: &a.Load})
	}
	e.Status = resp.StatusCode
	if x.isStream(resp) {
		return x.pump(ctx, conn, resp, d, e)
	}
	if resp.ContentLength > maxHeldBytes && !a.NotRun {
		// The answer has begun; that its body takes long is no silence.
		x.tellFirst(d)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes+1))
	if err != nil {
		conn.Close()
		return x.broke(ctx, e, gateway.ResultBroken, err)
	}
	if len(body) > maxHeldBytes && !x.begun && !a.NotRun {
		return x.passLarge(ctx, conn, resp, body, d, e)
	}
	conn.Done(resp)
	e.Begun, e.Resumable = x.begun, x.route.Resumable
	switch {
	case a.OtherInstance:
		e.Result = gateway.ResultMisdirected
		e.Fault = a.Fault
	case a.NotRun && resp.StatusCode != http.StatusBadRequest:
		e.Result = gateway.ResultFull
		e.Fault = a.Fault
		e.Detail = "status " + strconv.Itoa(resp.StatusCode)
	case resp.StatusCode >= 500 || x.begun:
		x.hold(resp, body)
		e.Result = gateway.ResultFailed
	default:
		x.tellFirst(d)
		x.deliver(resp.StatusCode, resp.Header, body)
		e.Result = gateway.ResultDone
	}
	return e
}

// tellFirst tells the core that the attempt's answer has begun.
func (x *exchange) tellFirst(d *gateway.Dispatch) {
	x.g.tick(gateway.Input{First: &gateway.FirstEvent{ID: x.id, Attempt: d.Attempt}})
}

// isStream reports whether the answer is a stream of events to be passed on as
// they come.
func (x *exchange) isStream(resp *http.Response) bool {
	return x.route.Kind == route.KindStream && resp.StatusCode >= 200 && resp.StatusCode < 300
}

// hold keeps a failure answer in case no other attempt succeeds.
func (x *exchange) hold(resp *http.Response, body []byte) {
	if x.held == nil && !x.begun {
		x.held = &heldAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	}
}

// deliver passes a complete answer on.
func (x *exchange) deliver(status int, header http.Header, body []byte) {
	copyHeader(x.w.Header(), header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.setConnection()
	x.begun = true
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.logLocal("caller-lost", err.Error())
	}
	x.complete(status)
}

// complete notes that the caller has been given the whole answer.
func (x *exchange) complete(status int) {
	x.answered = true
	x.g.meters.answered(status, x.g.now()-x.arrived)
}
