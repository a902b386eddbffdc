package shell

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/engine/enginehttp"
	"trefoilpath.org/trefoilpath/internal/rawserver"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// callService calls a service with a body, and returns its answer and whether that was passed on as a whole one.
func callService(t *testing.T, url string, body []byte) (text string, whole bool) {
	t.Helper()
	ans := newTestAnswers(bytebudget.New(0)).open(context.Background(), wire.AttemptID{}, 0)
	c := newCalls(nil, url, enginehttp.NewHTTPClient())
	defer c.client.CloseIdleConnections()
	call := &agent.ServiceStart{Call: wire.ServiceCall{Method: http.MethodPost, Path: "/"}}
	sent, err := c.run(context.Background(), call, body, ans)
	if !sent {
		t.Fatalf("the call was not sent: %v", err)
	}
	for _, f := range ans.frames {
		text += string(f.Data)
		whole = f.Last != nil
	}
	if whole != (err == nil) {
		t.Errorf("an answer that is whole=%t has the error %v", whole, err)
	}
	return text, whole
}

const (
	// uploadBytes is a size that the buffers of a connection do not take.
	uploadBytes = 8 << 20
	// uploadOrders is the number of orders of events that are played of an answer during an upload.
	uploadOrders = 300
)

// unframed is the head of an answer without a length.
const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// uploadOrder answers a call in the i-th order of events: a part of the request is read before the answer, and a time
// passes after it.
func uploadOrder(i int64, c net.Conn, r *http.Request, answer string) {
	_, _ = io.CopyN(io.Discard, r.Body, i%3*(256<<10)) // as does the write, it fails only if the call has ended
	_, _ = io.WriteString(c, answer)
	for end := time.Now().Add(time.Duration(i/3) * 5 * time.Microsecond); time.Now().Before(end); {
	}
}

// TestResetOfAServiceDuringAnUploadIsNoEndOfItsAnswer guards against a part of a service's answer without a length that
// is passed on as the whole, since the write of the call has seen the connection's reset first.
func TestResetOfAServiceDuringAnUploadIsNoEndOfItsAnswer(t *testing.T) {
	var order atomic.Int64
	url := rawserver.Start(t, nil, func(c net.Conn, r *http.Request) bool {
		uploadOrder(order.Load(), c, r, unframed+"part")
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	upload, failed := make([]byte, uploadBytes), 0
	for i := range uploadOrders {
		order.Store(int64(i))
		if _, whole := callService(t, url, upload); whole {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("a part was passed on as a whole answer in %d of %d orders", failed, uploadOrders)
	}
}

// TestAnswerOfAServiceDuringAnUploadArrivesWhole guards against an answer without a length that is taken for a broken
// one, although the service has ended it properly.
func TestAnswerOfAServiceDuringAnUploadArrivesWhole(t *testing.T) {
	const text = "the whole answer"
	var order atomic.Int64
	url := rawserver.Start(t, nil, func(c net.Conn, r *http.Request) bool {
		uploadOrder(order.Load(), c, r, unframed+text)
		if order.Load()%2 == 0 {
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, c) // ends when the agent closes the connection
			return false
		}
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	})
	upload := make([]byte, uploadBytes)
	for i := range uploadOrders {
		order.Store(int64(i))
		if got, whole := callService(t, url, upload); !whole || got != text {
			t.Errorf("order %d: %q, whole=%t, want the whole answer", i, got, whole)
		}
	}
}

// TestAnswerOfAServiceThatDoesNotReadTheUploadArrivesWhole guards against a whole answer that is lost because the write of
// the call fails before it has been read.
func TestAnswerOfAServiceThatDoesNotReadTheUploadArrivesWhole(t *testing.T) {
	const text = "the whole answer"
	for _, head := range []string{unframed, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n"} {
		var order atomic.Int64
		url := rawserver.Start(t, nil, func(c net.Conn, r *http.Request) bool {
			uploadOrder(order.Load(), c, r, head+text)
			_ = c.(*net.TCPConn).CloseWrite()
			return false
		})
		upload, lost := make([]byte, uploadBytes), 0
		for i := range uploadOrders {
			order.Store(int64(i))
			if got, whole := callService(t, url, upload); !whole || got != text {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("%q: the answer was lost in %d of %d orders", head, lost, uploadOrders)
		}
	}
}
