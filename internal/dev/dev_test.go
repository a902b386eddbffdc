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
