package shell

import (
	"fmt"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha are those of an exponentially decaying sample that
// favours the last five minutes.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// meters are the counters and latency histograms of a gateway.
type meters struct {
	registry metrics.Registry
	first    metrics.Histogram // ms from arrival to the first event
	total    metrics.Histogram // ms from arrival to the end
	pause    metrics.Histogram // ms between events
	store    metrics.Histogram // ms of a call to the store
	statuses map[int]metrics.Counter
	logDrops metrics.Counter
}

func newMeters() *meters {
	r := metrics.NewRegistry()
	histogram := func(name string) metrics.Histogram {
		h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		_ = r.Register(name, h) // fails only for a name that is taken
		return h
	}
	m := &meters{
		registry: r,
		first:    histogram("first_event_ms"),
		total:    histogram("answer_ms"),
		pause:    histogram("event_pause_ms"),
		store:    histogram("store_call_ms"),
		statuses: make(map[int]metrics.Counter),
		logDrops: metrics.NewRegisteredCounter("log_lines_dropped", r),
	}
	for _, status := range []int{200, 401, 404, 413, 429, 500, 502, 503, 504} {
		m.statuses[status] = metrics.NewRegisteredCounter(fmt.Sprintf("answers_%d", status), r)
	}
	return m
}

func (m *meters) answered(status int, took time.Duration) {
	if c := m.statuses[status]; c != nil {
		c.Inc(1)
	}
	m.total.Update(took.Milliseconds())
}

// write prints the metrics as text, one value a line.
func (m *meters) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, v.Count())
		case metrics.Histogram:
			s := v.Snapshot()
			fmt.Fprintf(w, "%s_count %d\n", name, s.Count())
			for _, q := range []float64{0.5, 0.95, 0.99} {
				fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, s.Percentile(q))
			}
		}
	})
}
