package shell

import (
	"net/http"
	"strconv"
)

// unproven reports whether a response would tell the caller that a request has not run although the
// endpoint has not proved it and the request may run once only.
func (x *exchange) unproven(h *ResponseHeaders) bool {
	return h.ImpliesNotRun && !h.NotRun && !x.route.Idempotent()
}

// answerFor returns what the caller gets for a complete response of an endpoint: the response itself,
// or, in place of an unproven one, a failure that says nothing of whether the request has run.
func (x *exchange) answerFor(resp *http.Response, h *ResponseHeaders, body []byte) *heldResponse {
	if !x.unproven(h) {
		return &heldResponse{status: resp.StatusCode, header: resp.Header, body: body}
	}
	x.logLocal("status-withheld", strconv.Itoa(resp.StatusCode)+" without a proof that the request has not run")
	x.g.meters.statusesWithheld.Inc(1)
	return &heldResponse{
		status: http.StatusBadGateway,
		header: http.Header{"Content-Type": {plainText}},
		body:   []byte("the endpoint answered " + strconv.Itoa(resp.StatusCode) + ", and the request may have run\n"),
	}
}
