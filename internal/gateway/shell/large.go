package shell

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/upstream"
)

// passLarge passes an answer on that is too large to be kept: first what has been
// read of it, then the rest as it comes. If it breaks off, the caller's connection
// is closed, so that the answer does not look complete.
func (x *exchange) passLarge(ctx context.Context, conn *upstream.Conn, resp *http.Response, read []byte, d *gateway.Dispatch, e *gateway.Ended) *gateway.Ended {
	x.tellFirst(d)
	if err := ctx.Err(); err != nil { // cancelled before the caller has got anything
		conn.Close()
		return x.broke(ctx, e, gateway.ResultBroken, err)
	}
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.begin(resp)
	_, err := x.w.Write(read)
	if err == nil {
		_, err = io.Copy(x.w, resp.Body)
	}
	if err != nil {
		conn.Close()
		ended := x.broke(ctx, e, gateway.ResultBroken, err)
		ended.Resumable = false
		return ended
	}
	conn.Done(resp)
	x.complete(resp.StatusCode)
	e.Result = gateway.ResultDone
	return e
}
