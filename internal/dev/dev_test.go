package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

func testConfig(d examples.Deployment, out io.Writer) Config {
	mix := workload.DefaultMix()
	mix.OmitLong = true
	return Config{
		Deployment: d, Listen: "127.0.0.1:0", Duration: time.Second, Rate: 10, Seed: 1, Mix: mix, Out: out, Log: zerolog.Nop(),
	}
}

// TestRunOffersLoadAndStops relies on Run to return an error for a wrong answer, a
// keyed call that ran twice and memory that is not freed.
func TestRunOffersLoadAndStops(t *testing.T) {
	for _, d := range examples.Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			if err := Run(context.Background(), testConfig(d, &out)); err != nil {
				t.Fatalf("%v\n%s", err, out.String())
			}
			entries := fmt.Sprintf("Starting %s: %d entries", d.Name, len(d.FailureDomains))
			for _, want := range []string{entries, "curl -N http://127.0.0.1:", "Doubled service calls: 0."} {
				if !strings.Contains(out.String(), want) {
					t.Errorf("%q is missing from the output:\n%s", want, out.String())
				}
			}
		})
	}
}

// readyWriter calls ready when the line that begins with "Ready." is written.
type readyWriter struct {
	bytes.Buffer
	ready func()
}

func (w *readyWriter) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("Ready.")) {
		w.ready()
	}
	return w.Buffer.Write(p)
}

func TestRunWithoutEndStopsWithItsContext(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &readyWriter{ready: func() { time.AfterFunc(time.Second, cancel) }}
	cfg := testConfig(examples.Deployments()[0], out)
	cfg.Duration = 0
	if err := Run(ctx, cfg); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if ctx.Err() == nil {
		t.Errorf("Run returned before its context ended:\n%s", out.String())
	}
}

// TestGuaranteesHoldUnderFaults kills engines while they generate, hangs one for a
// second, stops the store for a second, breaks service connections after the call
// was executed, and restarts the engines. No answer may differ from the expected
// text, no keyed call may run twice, and no engine memory may stay reserved; Run
// returns an error otherwise.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	cfg := testConfig(examples.Deployments()[0], &out)
	cfg.Duration = 3 * time.Second
	cfg.Rate = 20
	cfg.injectFaults = func(ctx context.Context, p *platform) {
		killed := killBusyEngines(ctx, p, 3)
		if killed == 0 {
			t.Error("no engine was generating, so none was killed")
		}
		p.endpoints[0].engine.Hang(time.Second)
		p.store.SetDown(true)
		for _, ep := range p.endpoints {
			if ep.kind == wire.KindService {
				ep.service.BreakNext(2)
			}
		}
		pause(ctx, time.Second)
		p.store.SetDown(false)
		for _, ep := range p.endpoints {
			if ep.kind == wire.KindEngine {
				ep.engine.Restart()
			}
		}
	}
	if err := Run(context.Background(), cfg); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if !strings.Contains(out.String(), " 0 abandoned") {
		t.Errorf("requests were abandoned because they did not end:\n%s", out.String())
	}
}

// killBusyEngines kills up to n engines that are generating and returns how many it
// killed. It waits for such engines until ctx ends.
func killBusyEngines(ctx context.Context, p *platform, n int) int {
	killed := 0
	for killed < n && pause(ctx, 50*time.Millisecond) {
		for _, ep := range p.endpoints {
			if ep.kind != wire.KindEngine || killed == n {
				continue
			}
			if l := ep.engine.Ledger(); l.Running > 0 && l.OutputTokens > 0 {
				ep.engine.Kill()
				killed++
			}
		}
	}
	return killed
}

// pause waits for d and returns true, or false if ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
