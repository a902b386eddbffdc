package crowdtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/platform/standin"
)

// uploadLimit bounds the bodies of callers in uploadConfig. It is more than the buffers of a connection take.
const uploadLimit = 8 << 20

// uploadConfig has routes whose requests may run once only: one with plain answers and one with streams.
var uploadConfig = fmt.Sprintf(`{"version":1,"routes":[
 {"name":"r","host":"h.example","prefix":"/safe/","kind":"safe","timeoutMs":10000,"goalMs":100,"service":"desk","attempts":2,"public":true},
 {"name":"u","host":"h.example","prefix":"/unsafe/","kind":"unsafe","timeoutMs":10000,"goalMs":100,"service":"desk","attempts":1,"public":true},
 {"name":"s","host":"h.example","prefix":"/stream/","kind":"streaming","timeoutMs":10000,"goalMs":100,"gapGoalMs":200,"service":"desk","attempts":1,"public":true}],
 "services":[{"name":"desk"}],"limits":{"headerBytes":%d,"bodyBytes":%d,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}`, headLimit, uploadLimit)

// received is a caller's answer.
type received struct {
	status int
	header http.Header
	body   string
	whole  bool // its end has arrived too
}

// call sends a request with a body and returns its answer.
func (g *gateway) call(path string, body []byte) received {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.addr+path, bytes.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	req.Host, req.Close = "h.example", true
	req.Header.Set("Attempt-Id", fmt.Sprintf("b%d", g.requests.Add(1)))
	req.Header.Set("Deadline-Ms", "10000")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return received{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return received{resp.StatusCode, resp.Header, string(text), err == nil}
}

func (g *gateway) runs() (n int) {
	for _, r := range g.replicas {
		n += len(r.Runs())
	}
	return n
}

// play sends a request whose answer set spoils at each replica, and returns its answer. Sound answers before keep the
// endpoints in use; a request that is refused nevertheless is sent again.
func (g *gateway) play(path string, body []byte, set func(*standin.Replica)) (a received) {
	g.t.Helper()
	eventually(g.t, "the request runs", func() bool {
		for range g.replicas {
			g.serveOrdinary()
		}
		for _, r := range g.replicas {
			set(r)
		}
		before := g.runs()
		a = g.call(path, body)
		n := g.runs() - before
		for _, r := range g.replicas {
			r.SetEarly(nil)
			r.ClearFaults()
		}
		if n > 1 {
			g.t.Errorf("the request ran %d times, want once", n)
		}
		return n > 0
	})
	return a
}

// uploadOrders is the number of orders of events that are played of an answer during an upload.
const uploadOrders = 150

// uploadKinds are the ways in which answers without a length are passed on: the path, and the part of the answer.
var uploadKinds = map[string]struct{ path, part string }{
	"held":    {"/unsafe/x", "a part of the answer"},
	"relayed": {"/unsafe/x", strings.Repeat("x", 3<<20)},
	"events":  {"/stream/x", standin.WholeStream(3)},
}

// packet is a size in bytes up to which a body certainly leaves the endpoint before its connection is closed.
const packet = 1 << 10

// earlyAnswer returns the i-th order of events of an answer during an upload.
func earlyAnswer(i int, part string, end standin.EarlyEnd) *standin.EarlyAnswer {
	return &standin.EarlyAnswer{Body: part, End: end, Read: i % 3 * (256 << 10), Pause: time.Duration(i/3) * 10 * time.Microsecond}
}

// TestResetDuringAnUploadIsNoEndOfTheAnswer guards against a part of an answer without a length that is passed on
// as the whole, since the write of the request has seen the connection's reset first.
func TestResetDuringAnUploadIsNoEndOfTheAnswer(t *testing.T) {
	body := bytes.Repeat([]byte("u"), uploadLimit)
	for name, kind := range uploadKinds {
		t.Run(name, func(t *testing.T) {
			g := startGatewayOn(t, uploadConfig, manyDescriptors)
			failed := 0
			for i := range uploadOrders {
				early := earlyAnswer(i, kind.part, standin.EarlyReset)
				a := g.play(kind.path, body, func(r *standin.Replica) { r.SetEarly(early) })
				if a.whole && a.status == http.StatusOK {
					failed++
				}
			}
			if failed > 0 {
				t.Errorf("a part was delivered as a whole answer in %d of %d orders", failed, uploadOrders)
			}
		})
	}
}

// TestAnswerDuringAnUploadArrivesWhole guards against an answer without a length that is taken for a broken one,
// although the endpoint has ended it properly.
func TestAnswerDuringAnUploadArrivesWhole(t *testing.T) {
	body := bytes.Repeat([]byte("u"), uploadLimit)
	ends := []standin.EarlyEnd{standin.EarlyCloseWrite, standin.EarlyCloseWhenRead, standin.EarlyCloseUnread}
	for name, kind := range uploadKinds {
		t.Run(name, func(t *testing.T) {
			g := startGatewayOn(t, uploadConfig, manyDescriptors)
			ends := ends
			if len(kind.part) > packet {
				ends = ends[:2]
			}
			for i := range uploadOrders {
				end := ends[i%len(ends)]
				early := earlyAnswer(i, kind.part, end)
				a := g.play(kind.path, body, func(r *standin.Replica) { r.SetEarly(early) })
				if !a.whole || a.status != http.StatusOK || a.body != kind.part {
					t.Errorf("order %d, end %d: status %d with %d bytes, whole=%t, want 200 with all %d bytes", i, end, a.status, len(a.body), a.whole, len(kind.part))
				}
			}
		})
	}
}
