package shell

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

// sampleSize and sampleAlpha are the size and decay factor of the histograms'
// exponentially decaying samples, weighted towards the last five minutes.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// meters holds the counters and latency histograms of a gateway.
type meters struct {
	registry   metrics.Registry
	firstEvent metrics.Histogram // ms from a request's arrival to the head of its relayed response
	// firstEventError is the measured minus the predicted time in ms until the first event of an engine.
	firstEventError metrics.Histogram
	total           metrics.Histogram       // ms from a request's arrival to the end of its response
	eventGap        metrics.Histogram       // ms between events of a stream
	storeCall       metrics.Histogram       // ms of a call to the store or a peer that changed a cached copy; 0 if keys were dropped after their grace period
	statuses        map[int]metrics.Counter // responses by HTTP status
	refusals        map[gateway.Reason]metrics.Counter
	logDrops        metrics.Counter // dropped log lines
	// streamsTruncated counts streams that ended inside an event or, without a length and chunks,
	// before the first.
	streamsTruncated metrics.Counter
	responsesAborted metrics.Counter // responses that were begun and not completed, other than those whose caller left
	statusesWithheld metrics.Counter // statuses of endpoints that would tell callers without proof that a request has not run
	evacuated        metrics.Gauge   // failure domains that are out of use
	storeEras        metrics.Counter // restores of the store from a backup, one for each cached copy
	bodiesRefused    metrics.Counter // requests refused since there was no memory for their bodies
	responsesNotHeld metrics.Counter // responses of endpoints that were given up since there was no memory for them
	callersShed      metrics.Counter // connections of callers that waited and were closed for others
	callersRefused   metrics.Counter // connections of callers that were closed unread for lack of a place
	bodiesEvicted    metrics.Counter // requests whose bodies made no progress while memory or connections were short
}

func newMeters() *meters {
	r := metrics.NewRegistry()
	histogram := func(name string) metrics.Histogram {
		h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		_ = r.Register(name, h) // fails only for a duplicate name
		return h
	}
	m := &meters{
		registry:         r,
		firstEvent:       histogram("first_event_ms"),
		firstEventError:  histogram("first_event_error_ms"),
		total:            histogram("answer_ms"),
		eventGap:         histogram("event_pause_ms"),
		storeCall:        histogram("store_call_ms"),
		statuses:         make(map[int]metrics.Counter),
		refusals:         make(map[gateway.Reason]metrics.Counter),
		logDrops:         metrics.NewRegisteredCounter("log_lines_dropped", r),
		streamsTruncated: metrics.NewRegisteredCounter("streams_truncated", r),
		responsesAborted: metrics.NewRegisteredCounter("responses_aborted", r),
		statusesWithheld: metrics.NewRegisteredCounter("statuses_withheld", r),
		evacuated:        metrics.NewRegisteredGauge("failure_domains_evacuated", r),
		storeEras:        metrics.NewRegisteredCounter("store_eras", r),
		bodiesRefused:    metrics.NewRegisteredCounter("bodies_refused", r),
		responsesNotHeld: metrics.NewRegisteredCounter("responses_not_held", r),
		callersShed:      metrics.NewRegisteredCounter("caller_connections_shed", r),
		callersRefused:   metrics.NewRegisteredCounter("caller_connections_refused", r),
		bodiesEvicted:    metrics.NewRegisteredCounter("bodies_evicted", r),
	}
	for _, status := range []int{200, 401, 404, 413, 429, 500, 502, 503, 504} {
		m.statuses[status] = metrics.NewRegisteredCounter(fmt.Sprintf("answers_%d", status), r)
	}
	for _, reason := range gateway.RefusalReasons() {
		m.refusals[reason] = metrics.NewRegisteredCounter("refused_"+strings.ReplaceAll(string(reason), "-", "_"), r)
	}
	return m
}

// recordRefusal counts a request that was refused.
func (m *meters) recordRefusal(reason gateway.Reason) {
	if c := m.refusals[reason]; c != nil {
		c.Inc(1)
	}
}

// recordResponse counts a response by its status, if newMeters has a counter for
// it, and records its duration.
func (m *meters) recordResponse(status int, took time.Duration) {
	if c := m.statuses[status]; c != nil {
		c.Inc(1)
	}
	m.total.Update(took.Milliseconds())
}

// write writes the metrics as text, one value per line.
func (m *meters) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, v.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "%s %d\n", name, v.Value())
		case metrics.Histogram:
			s := v.Snapshot()
			fmt.Fprintf(w, "%s_count %d\n", name, s.Count())
			for _, q := range []float64{0.5, 0.95, 0.99} {
				fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, s.Percentile(q))
			}
		}
	})
}
