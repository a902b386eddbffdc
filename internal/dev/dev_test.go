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
		Deployment: d, Listen: "127.0.0.1:0", For: time.Second, Rate: 10, Seed: 1, Mix: mix, Out: out, Log: zerolog.Nop(),
	}
}

// Run itself returns an error for a wrong answer, a doubled call and memory
// that is not freed.
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
					t.Errorf("no %q in\n%s", want, out.String())
				}
			}
		})
	}
}

// readyWriter calls ready once it is told that the deployment is ready.
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
	cfg.For = 0
	if err := Run(ctx, cfg); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if ctx.Err() == nil {
		t.Errorf("stopped by itself:\n%s", out.String())
	}
}

// Engines die while they answer, a hung one goes on, the store goes down, and
// service connections break after the call was executed. No answer may differ
// from the whole one, no keyed call may run twice, no memory may stay held.
func TestPromisesHoldWhileThingsFail(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	cfg := testConfig(examples.Deployments()[0], &out)
	cfg.For = 3 * time.Second
	cfg.Rate = 20
	cfg.disturb = func(ctx context.Context, p *platform) {
		killed := killBusyEngines(ctx, p, 3)
		if killed == 0 {
			t.Error("no engine was busy")
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
		t.Errorf("requests did not end:\n%s", out.String())
	}
}

// killBusyEngines kills up to n engines that are generating.
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

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
