package load

import (
	"fmt"
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Bounds of the histograms in microseconds, and their precision in decimal digits.
const (
	minMicros         = 1
	maxMicros         = 3600 * 1_000_000
	significantDigits = 3
)

// Result holds the measurements of a load run.
type Result struct {
	Seconds   float64 `json:"seconds"` // length of the run
	Sent      int     `json:"sent"`
	Completed int     `json:"completed"`
	NotRun    int     `json:"not_run"`
	Unknown   int     `json:"unknown"`
	NoAnswer  int     `json:"no_answer"` // no answer with an outcome was received
	Abandoned int     `json:"abandoned"` // in flight when the run ended
	Late      int     `json:"late"`      // ended after the deadline that the request asked for
	Wrong     int     `json:"wrong"`     // with Config.CheckAnswer: answers whose text differs from that of the engine stand-in
	// Miscounted counts, with Config.CheckAnswer, the answers with a usage event whose
	// count differs from the tokens received.
	Miscounted int         `json:"miscounted"`
	Tokens     int64       `json:"output_tokens"`
	Codes      []CodeCount `json:"codes"`
	Rows       []Row       `json:"rows"` // one for each length band, and one for service calls
}

// CodeCount is the number of requests that ended with an error code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// ServiceRow is the name of the row of plain service calls.
const ServiceRow = "service"

// Row covers the requests of one length band, or the plain service calls. Times
// are in seconds and cover completed requests only.
type Row struct {
	Band      string  `json:"band"`
	Requests  int     `json:"requests"`
	Completed int     `json:"completed"`
	TTFTP50   float64 `json:"ttft_p50_s"` // service calls: time to the answer
	TTFTP95   float64 `json:"ttft_p95_s"`
	TTFTP99   float64 `json:"ttft_p99_s"`
	ITLP95    float64 `json:"itl_p95_s"` // inter-token latency
	TotalP95  float64 `json:"total_p95_s"`
}

// rowCount is the number of rows: one for each band and one for service calls.
const rowCount = wire.BandCount + 1

// recorder aggregates samples. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	res   Result
	codes map[string]int
	rows  [rowCount]rowRecorder
}

// rowRecorder aggregates the samples of one row. Its histograms hold the times of
// completed requests in microseconds.
type rowRecorder struct {
	requests  int
	completed int
	ttft      *hdrhistogram.Histogram
	gaps      *hdrhistogram.Histogram // mean inter-token latency of each request
	total     *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	r := &recorder{codes: make(map[string]int)}
	for i := range r.rows {
		r.rows[i] = rowRecorder{ttft: newHistogram(), gaps: newHistogram(), total: newHistogram()}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func (r *recorder) sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Sent++
}

func (r *recorder) abandoned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Abandoned++
}

func (r *recorder) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countOutcome(s)
	r.res.Tokens += s.tokens
	if s.late {
		r.res.Late++
	}
	if s.wrong {
		r.res.Wrong++
	}
	if s.miscounted {
		r.res.Miscounted++
	}
	if s.code != "" {
		r.codes[s.code]++
	}
	r.rows[rowIndex(s)].add(s)
}

func (r *recorder) countOutcome(s sample) {
	switch s.outcome {
	case wire.OutcomeCompleted.String():
		r.res.Completed++
	case wire.OutcomeNotRun.String():
		r.res.NotRun++
	case wire.OutcomeUnknown.String():
		r.res.Unknown++
	default:
		r.res.NoAnswer++
	}
}

// rowIndex returns the index of the row of s in recorder.rows.
func rowIndex(s sample) int {
	if s.request.Kind == wire.KindService {
		return wire.BandCount
	}
	return int(s.request.Band())
}

func (w *rowRecorder) add(s sample) {
	w.requests++
	if s.outcome != wire.OutcomeCompleted.String() {
		return
	}
	w.completed++
	record(w.ttft, s.ttft)
	record(w.total, s.total)
	if s.meanGap > 0 {
		record(w.gaps, s.meanGap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// progressLine summarises the run so far.
func (r *recorder) progressLine(elapsed time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &r.res
	ended := res.Completed + res.NotRun + res.Unknown + res.NoAnswer + res.Abandoned
	return fmt.Sprintf("elapsed=%s sent=%d in_flight=%d completed=%d not_run=%d unknown=%d no_answer=%d wrong=%d short_ttft_p95_s=%.3f",
		elapsed.Round(time.Second), res.Sent, res.Sent-ended, res.Completed, res.NotRun, res.Unknown, res.NoAnswer, res.Wrong,
		quantile(r.rows[wire.BandShort].ttft, 95))
}

func (r *recorder) result(elapsed time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.res
	res.Seconds = elapsed.Seconds()
	res.Codes = countCodes(r.codes)
	for i := range r.rows {
		res.Rows = append(res.Rows, r.rows[i].row(i))
	}
	return &res
}

func (w *rowRecorder) row(i int) Row {
	name := ServiceRow
	if i < wire.BandCount {
		name = wire.Band(i).String()
	}
	return Row{
		Band:      name,
		Requests:  w.requests,
		Completed: w.completed,
		TTFTP50:   quantile(w.ttft, 50),
		TTFTP95:   quantile(w.ttft, 95),
		TTFTP99:   quantile(w.ttft, 99),
		ITLP95:    quantile(w.gaps, 95),
		TotalP95:  quantile(w.total, 95),
	}
}

// quantile returns a percentile of h in seconds, or 0 if h is empty.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percent)) / 1e6
}
