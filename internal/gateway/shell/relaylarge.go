package shell

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

// relayLarge relays a response that is too large to be buffered: first read, the
// part of the body that has been read, then the rest as it arrives. If it breaks
// off, the caller's connection is closed, so that the response does not look
// complete.
func (x *exchange) relayLarge(ctx context.Context, conn *upstream.Conn, resp *http.Response, read []byte, d *gateway.Dispatch, e *gateway.AttemptEnded) *gateway.AttemptEnded {
	x.notifyFirstEvent(d)
	if err := ctx.Err(); err != nil { // cancelled before anything was sent to the caller
		conn.Close()
		return x.failAttempt(ctx, e, gateway.ResultBroken, err)
	}
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.startResponse(resp)
	_, err := x.w.Write(read)
	if err == nil {
		_, err = io.Copy(x.w, resp.Body)
	}
	if err != nil {
		conn.Close()
		ended := x.failAttempt(ctx, e, gateway.ResultBroken, err)
		ended.Resumable = false
		return ended
	}
	conn.Release(resp)
	x.markComplete(resp.StatusCode)
	e.Result = gateway.ResultDone
	return e
}
