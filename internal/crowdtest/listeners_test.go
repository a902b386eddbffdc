package crowdtest

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// visitors are what connections to the gateway's other listeners send, with PATH for a path that is served.
var visitors = map[string]string{
	"nothing":            "",
	"half a head":        "GET PATH HTTP/1.1\r\nHost: x\r\nX-Line: ",
	"a large head":       "GET PATH HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Line: xxxxxxxxxxxxxxxxxxxxxxxx\r\n", 900),
	"a body not sent":    "POST PATH HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nx",
	"requests, no reads": strings.Repeat("GET PATH HTTP/1.1\r\nHost: x\r\n\r\n", 400),
	"one request":        "GET PATH HTTP/1.1\r\nHost: x\r\n\r\n",
}

// visit opens connections to addr, all at once, and lets each send text and read nothing. Those that
// are closed are opened again until leave is called.
func visit(t *testing.T, addr, text string, connections int) (leave func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range connections {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					visitOnce(addr, text, stop)
				}
			}
		})
	}
	leave = sync.OnceFunc(func() { close(stop); running.Wait() })
	t.Cleanup(leave)
	return leave
}

// visitOnce returns when the connection is closed or stop is.
func visitOnce(addr, text string, stop <-chan struct{}) {
	const pause = 100 * time.Millisecond
	c, err := net.DialTimeout("tcp4", addr, patience)
	if err != nil {
		time.Sleep(pause)
		return
	}
	defer c.Close()
	for sent := 0; ; {
		_ = c.SetWriteDeadline(time.Now().Add(pause)) // fails only on a closed connection
		n, err := c.Write([]byte(text)[sent:])
		sent += n
		if ne, ok := err.(net.Error); err != nil && (!ok || !ne.Timeout()) {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if sent == len(text) && len(text) > 0 {
			sent = len(text) - 1 // a byte more shows whether the connection is closed
		}
	}
}

func (g *gateway) checkReady() {
	g.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	eventually(g.t, "GET /ready is answered", func() bool {
		resp, err := client.Get("http://" + g.readyAddr + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// testVisitors plays each kind of visitors at one of the gateway's other listeners.
func testVisitors(t *testing.T, path string, addr func(*gateway) string) {
	for name, text := range visitors {
		t.Run(name, func(t *testing.T) {
			port := freePort(t)
			g := startGateway(t, fewDescriptors, "--metrics-port", fmt.Sprint(port))
			g.metricsAddr = fmt.Sprintf("127.0.0.1:%d", port)
			leave := visit(t, addr(g), strings.ReplaceAll(text, "PATH", path), largeCrowdSize)
			time.Sleep(stay)
			g.checkBounds(memoryMB, fewDescriptors)
			g.checkReady()
			g.serveOrdinary()
			leave()
			g.serveLargestInCalm()
			g.checkBounds(memoryMB, fewDescriptors)
		})
	}
}

func TestVisitorsOfReadyStayWithinDescriptors(t *testing.T) {
	testVisitors(t, "/ready", func(g *gateway) string { return g.readyAddr })
}

func TestVisitorsOfCopiesStayWithinDescriptors(t *testing.T) {
	testVisitors(t, "/copy?prefix=op/config", func(g *gateway) string { return g.peerAddr })
}

func TestVisitorsOfMetricsStayWithinDescriptors(t *testing.T) {
	testVisitors(t, "/metrics", func(g *gateway) string { return g.metricsAddr })
}

func TestVisitorsOfTheDumpStayWithinDescriptors(t *testing.T) {
	testVisitors(t, "/dump", func(g *gateway) string { return g.metricsAddr })
}
