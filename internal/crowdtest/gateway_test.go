package crowdtest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/platform/standin"
)

// Limits of the gateway's settings and configuration in the tests.
const (
	memoryMB = 96
	// manyDescriptors is the usual limit, fewDescriptors one that a small crowd exhausts.
	manyDescriptors = 4100
	fewDescriptors  = 256
	bodyLimit       = 1 << 20
	headLimit       = 16 << 10
)

// config is the configuration in force, with one public route to a plain service.
var config = fmt.Sprintf(`{"version":1,"routes":[
 {"name":"r","host":"h.example","prefix":"/safe/","kind":"safe","timeoutMs":10000,"goalMs":100,"service":"desk","attempts":2,"public":true}],
 "services":[{"name":"desk"}],"limits":{"headerBytes":%d,"bodyBytes":%d,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}`, headLimit, bodyLimit)

// gateway is a gateway process with a store and two endpoints.
type gateway struct {
	*process
	store       *standin.Store
	replicas    []*standin.Replica
	addr        string // for callers
	readyAddr   string
	peerAddr    string // for other gateways
	metricsAddr string // empty: none
	descriptors int    // limit
	calm        int    // descriptors open before the crowd
	requests    atomic.Int64
}

// startGateway starts a gateway with a limit of descriptors, and flags, and waits until it serves.
func startGateway(t *testing.T, descriptors int, flags ...string) *gateway {
	t.Helper()
	return startGatewayOn(t, config, descriptors, flags...)
}

// startGatewayOn is startGateway with another configuration.
func startGatewayOn(t *testing.T, config string, descriptors int, flags ...string) *gateway {
	t.Helper()
	g := &gateway{store: standin.NewStore(), descriptors: descriptors}
	t.Cleanup(g.store.Close)
	g.store.Put("op/config", []byte(config))
	for i := range 2 {
		r, err := standin.NewReplica(fmt.Sprintf("desk-%d", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		g.replicas = append(g.replicas, r)
		g.store.Register(r.ID, "desk", r.Addr(), "ready")
	}
	s := standin.GatewaySettings{
		Name: "g-0", IP: "127.0.0.1", CallerPort: freePort(t), ReadyPort: freePort(t), PeerPort: freePort(t),
		StoreAddr: g.store.Addr(), Grace: 8 * time.Second, MemoryMB: memoryMB, RetryBudget: 100,
	}
	path := filepath.Join(t.TempDir(), "settings")
	text := s.Text() + fmt.Sprintf("limits.maxFds=%d\n", descriptors)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g.addr, g.readyAddr = fmt.Sprintf("127.0.0.1:%d", s.CallerPort), fmt.Sprintf("127.0.0.1:%d", s.ReadyPort)
	g.peerAddr = fmt.Sprintf("127.0.0.1:%d", s.PeerPort)
	g.process = startProcess(t, append([]string{"platform-gateway", "--settings", path}, flags...)...)
	eventually(t, "the gateway is ready", func() bool {
		resp, err := http.Get("http://" + g.readyAddr + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	g.serveOrdinary()
	g.calm = g.process.descriptors()
	return g
}

// freePort returns a port of loopback that is free for TCP and UDP. It is below the ephemeral
// ports, so that no other listener is assigned it meanwhile.
func freePort(t *testing.T) int {
	t.Helper()
	for {
		port := 10_000 + rand.IntN(20_000)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		u.Close()
		return port
	}
}

// head returns the request line and headers of a request, up to where the body's framing follows.
func (g *gateway) head() string {
	return fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c%d\r\nDeadline-Ms: 10000\r\n", g.requests.Add(1))
}

// send sends a request with a body in chunks, on a connection of its own, and returns the status, or
// 0 without a complete response.
func (g *gateway) send(body io.Reader) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.addr+"/safe/x", io.NopCloser(body))
	if err != nil {
		g.t.Fatal(err)
	}
	req.Host, req.Close = "h.example", true
	req.Header.Set("Attempt-Id", fmt.Sprintf("o%d", g.requests.Add(1)))
	req.Header.Set("Deadline-Ms", "10000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// serveOrdinary sends an ordinary request and fails the test if it is not served. Like the
// clients of the protocol, it is sent again after a refusal or a closed connection.
func (g *gateway) serveOrdinary() {
	g.t.Helper()
	tries := 0
	eventually(g.t, "an ordinary request is served", func() bool {
		tries++
		return g.send(strings.NewReader("an ordinary body")) == http.StatusOK
	})
	if tries > 1 {
		g.t.Logf("an ordinary request was served after %d tries", tries)
	}
}

// serveLargestInCalm waits until the crowd's connections are closed, and fails the test if a request
// with a body of the limit, in chunks, is not served then.
func (g *gateway) serveLargestInCalm() {
	g.t.Helper()
	eventually(g.t, "the connections of the crowd are closed", func() bool { return g.process.descriptors() <= g.calm+4 })
	if status := g.send(strings.NewReader(strings.Repeat("x", bodyLimit))); status != http.StatusOK {
		g.t.Errorf("status %d for a body of the limit in chunks, want 200", status)
	}
}
