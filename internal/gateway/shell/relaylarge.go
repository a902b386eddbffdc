package shell

import (
	"io"
	"net/http"
	"strconv"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

// minHeldBuffer is the initial size in bytes of the buffer for a response.
const minHeldBuffer = 1 << 10

// readHeld reads a body up to one byte more than maxHeldBytes.
func readHeld(body io.Reader) ([]byte, error) {
	buf := make([]byte, 0, minHeldBuffer)
	for len(buf) <= maxHeldBytes {
		if len(buf) == cap(buf) {
			grown := make([]byte, len(buf), min(2*cap(buf), maxHeldBytes+1))
			copy(grown, buf)
			buf = grown
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// relayLarge relays a response that is too large to be buffered: first read, the
// part of the body that has been read, then the rest as it arrives. If it breaks
// off, the caller's connection is closed, so that the response does not look
// complete.
func (x *exchange) relayLarge(conn *upstream.Conn, resp *http.Response, read []byte, a *attempt, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	if !x.startLarge(a, resp) {
		conn.Close()
		return x.failAttempt(a, e, gateway.ResultBroken, errSuperseded)
	}
	_, err := x.w.Write(read)
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
