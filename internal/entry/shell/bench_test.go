package shell

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	speedTokens  = 150 // of one answer
	speedClients = 64
	speedRate    = 1_000 // requests a second of the latency benchmark
	speedSeconds = 3     // duration of the latency benchmark
	idleAgents   = 170
	idleSeconds  = 5
	speedBody    = `{"model":"m","prompt":"a short question","stream":true}`
)

// directServer serves the same answers without an entry, as the baseline. It
// returns the server's URL.
func directServer(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		out := newRenderer(w, &completion{shape: shapeText, model: "m", stream: true}, "id")
		for range speedTokens {
			_ = out.piece(nil, piece{data: []byte("word"), tokens: 1})
			_ = out.flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})}
	go func() { _ = srv.Serve(l) }()
	tb.Cleanup(func() { _ = srv.Close() })
	return "http://" + l.Addr().String()
}

// throughEntry starts an entry with an agent that answers at once, and returns
// the entry's URL for callers.
func throughEntry(b *testing.B) string {
	r := startRig(b, func(c *Config) {
		c.Limits.MaxStreams, c.Limits.MaxStreamsPerAccount = 10_000, 10_000
	})
	text := make([]string, speedTokens)
	for i := range text {
		text[i] = "word"
	}
	r.engine(&fakeAgent{text: text})
	return r.base
}

// speedCall sends one request and returns the time to its first event.
func speedCall(ctx context.Context, client *http.Client, base string) (time.Duration, error) {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", strings.NewReader(speedBody))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	if _, err := in.ReadString('\n'); err != nil {
		return 0, err
	}
	first := time.Since(began)
	rest, err := io.ReadAll(in)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		return 0, fmt.Errorf("status %d, answer ends in %q", resp.StatusCode, tail(string(rest)))
	}
	return first, nil
}

func tail(s string) string { return s[max(0, len(s)-60):] }

func speedClient(b *testing.B) *http.Client {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1_000}}
	b.Cleanup(client.CloseIdleConnections)
	return client
}

// BenchmarkThroughput measures requests and tokens per second through one entry,
// with callers and agent in the same process, and their ratio to directServer.
func BenchmarkThroughput(b *testing.B) {
	direct, through := directServer(b), throughEntry(b)
	client := speedClient(b)
	for b.Loop() {
		base := speedRun(b, client, direct)
		rate := speedRun(b, client, through)
		b.ReportMetric(rate, "requests/s")
		b.ReportMetric(rate*speedTokens, "tokens/s")
		b.ReportMetric(rate/base, "of-direct")
	}
}

// speedRun returns the requests per second that speedClients concurrent clients
// complete.
func speedRun(b *testing.B, client *http.Client, base string) float64 {
	const each = 60 // requests of one client
	began := time.Now()
	var wg sync.WaitGroup
	for range speedClients {
		wg.Go(func() {
			for range each {
				if _, err := speedCall(b.Context(), client, base); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	return speedClients * each / time.Since(began).Seconds()
}

// BenchmarkAddedFirstToken measures the time to first token that an entry adds
// to that of directServer, at a fixed request rate.
func BenchmarkAddedFirstToken(b *testing.B) {
	direct, through := directServer(b), throughEntry(b)
	client := speedClient(b)
	for b.Loop() {
		base := speedPaced(b, client, direct)
		all := speedPaced(b, client, through)
		for _, q := range []float64{50, 99} {
			added := float64(all.ValueAtQuantile(q)-base.ValueAtQuantile(q)) / float64(time.Millisecond)
			b.ReportMetric(added, fmt.Sprintf("added-ms-p%.0f", q))
		}
	}
}

// speedPaced sends requests at speedRate and returns the times to their first
// events, in nanoseconds.
func speedPaced(b *testing.B, client *http.Client, base string) *hdrhistogram.Histogram {
	const requests = speedSeconds * speedRate
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range requests {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / speedRate)))
		wg.Go(func() {
			first, err := speedCall(b.Context(), client, base)
			if err != nil {
				b.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(first)) // within the histogram's range
		})
	}
	wg.Wait()
	return h
}

// BenchmarkIdle measures the processor time and memory of an entry with
// idleAgents connected agents. Each sends one report when it connects. Real agents
// report regularly, at the control budget; this benchmark does not include that.
func BenchmarkIdle(b *testing.B) {
	r := startRig(b, nil)
	for i := range idleAgents {
		a := &fakeAgent{hello: wire.Hello{
			Endpoint: wire.EndpointID(fmt.Sprintf("e%03d", i)), Incarnation: 1, Kind: wire.KindEngine, Capacity: 400_000, Have: wire.Assignment{Model: "m"},
		}}
		startFakeAgent(b, r.agentClient, r.peers, a)
	}
	r.until(func() bool {
		d, err := r.entry.Dump(b.Context())
		return err == nil && len(d.Endpoints) == idleAgents
	})
	for b.Loop() {
		before := processTime()
		time.Sleep(idleSeconds * time.Second)
		b.ReportMetric((processTime()-before).Seconds()/idleSeconds, "cores")
		b.ReportMetric(float64(heapInUse())/1e6, "heap-MB")
	}
}
