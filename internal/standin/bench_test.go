package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/engine/enginehttp"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/standin/enginemodel"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// tally counts tokens and waits for the ends of sequences.
type tally struct {
	mu     sync.Mutex
	tokens int
	ended  sync.WaitGroup
}

func (c *tally) Text(_ engine.SequenceID, tokens int, _ []byte) {
	c.mu.Lock()
	c.tokens += tokens
	c.mu.Unlock()
}

func (c *tally) Event(ev engine.Event) {
	if ev.Finished != nil || ev.Failed != nil {
		c.ended.Done()
	}
}

// BenchmarkEngineStream measures how many tokens per second the engine stand-in and
// its client transfer, with model steps that take almost no time.
func BenchmarkEngineStream(b *testing.B) {
	e, err := standin.NewEngine(enginemodel.Config{
		Have:            wire.Assignment{Model: testModel},
		StepBase:        10 * time.Microsecond,
		StepPerSequence: time.Nanosecond,
		StepPerKVToken:  1,
		PrefillPerToken: 1,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	tr := &http.Transport{MaxIdleConnsPerHost: 256}
	defer tr.CloseIdleConnections()
	c := &tally{}
	client := enginehttp.New(e.URL(), c, &http.Client{Transport: tr})
	body := []byte(`{"prompt":"a question","max_tokens":500}`)
	const parallel = 64
	n := 0
	for b.Loop() {
		c.ended.Add(parallel)
		for range parallel {
			n++
			client.Submit(context.Background(), submitOf(engine.SequenceID(fmt.Sprint("s", n))), body)
		}
		c.ended.Wait()
	}
	b.ReportMetric(float64(c.tokens)/b.Elapsed().Seconds(), "tokens/s")
}
