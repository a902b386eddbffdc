package shell

import (
	"io"
	"net/http"
	"strconv"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

// readHeld reads a body up to one byte more than maxHeldBytes. With bytebudget.ErrShort it returns what
// it has read.
func readHeld(h *bytebudget.Holder, body io.Reader) ([]byte, error) {
	return h.ReadAll(body, maxHeldBytes+1, false)
}

// mustRelay reports whether a response of which a part was read is relayed as it arrives, since it
// is too large to be held or memory is short. A failure is not: another endpoint may serve the request.
func mustRelay(read []byte, short bool, status int) bool {
	return len(read) > maxHeldBytes || short && !isFailure(status)
}

func isFailure(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return true
	}
	return status >= 500
}

// relayLarge relays a response that can't be held: first read, the
// part of the body that has been read, then the rest as it arrives. If it breaks
// off, the caller's connection is closed, so that the response does not look
// complete.
func (x *exchange) relayLarge(conn *upstream.Conn, resp *http.Response, read []byte, a *attempt, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	if !x.startLarge(a, resp) {
		conn.Close()
		return x.failAttempt(a, e, gateway.ResultBroken, errSuperseded)
	}
	_, err := x.w.Write(read)
	x.memory.Shrink(int64(cap(read)))
	if err == nil {
		_, err = io.Copy(x.w, resp.Body)
	}
	if err != nil {
		conn.Close()
		ended := x.failAttempt(a, e, gateway.ResultBroken, err)
		ended.Resumable = false
		return ended
	}
	conn.Release(resp)
	x.delivery.Lock()
	x.markComplete(resp.StatusCode)
	x.delivery.Unlock()
	e.Result = gateway.ResultDone
	return x.deliveryState(e)
}

// giveUpResponse ends an attempt whose response can neither be held nor relayed.
func (x *exchange) giveUpResponse(conn *upstream.Conn, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	conn.Close()
	x.g.meters.responsesNotHeld.Inc(1)
	e.Result, e.Detail = gateway.ResultFailed, "status "+strconv.Itoa(e.Status)+", no memory for the response"
	return x.deliveryState(e)
}

// startLarge sends the head of a response that is relayed as it arrives, and reports whether a
// is the attempt that may. No other attempt can claim the response after that, as it has no
// event at which another could go on.
func (x *exchange) startLarge(a *attempt, resp *http.Response) bool {
	x.delivery.Lock()
	defer x.delivery.Unlock()
	if !x.claim(a) {
		return false
	}
	x.notifyFirstEvent(a)
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.startResponse(resp)
	return true
}
