package experiment

import (
	"math"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/report"
	"trefoilpath.org/trefoilpath/internal/soak"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const percent = 100

// bandService is the Band of the row of plain service calls.
const bandService = "service"

// slowdowns are ratios of the times to first token of short requests; 0: not
// measured.
type slowdowns struct {
	p95      float64 // 95th percentile of (time with long prompts / time without)
	floorP95 float64 // the same between two runs without long prompts that differ in random choices only
}

func (s slowdowns) apply(row *report.Row) {
	row.ShortSlowdownP95 = s.p95
	row.SlowdownFloorP95 = s.floorP95
}

// rowsOf returns the rows of a run: one for each band of prompts that has requests,
// one for service calls and one for all requests.
func rowsOf(c Cell, r *soak.Result, s slowdowns) []report.Row {
	var rows []report.Row
	for b := range wire.Band(wire.BandCount) {
		row := measure(c, r, func(k *soak.Call) bool { return k.Kind == wire.KindEngine && k.Band == b })
		if row.Requests == 0 {
			continue
		}
		row.Band = b.String()
		if b == wire.BandShort {
			s.apply(&row)
		}
		rows = append(rows, row)
	}
	row := measure(c, r, func(k *soak.Call) bool { return k.Kind == wire.KindService })
	row.Band = bandService
	rows = append(rows, row)
	all := measure(c, r, func(*soak.Call) bool { return true })
	all.Band = report.BandAll
	s.apply(&all)
	return append(rows, all)
}

// measure returns the row of the calls for which keep returns true, without Band.
func measure(c Cell, r *soak.Result, keep func(*soak.Call) bool) report.Row {
	row := report.Row{
		Deployment: c.Deployment.Name,
		Policy:     string(c.Policy),
		Load:       int(math.Round(c.Load * percent)),
		Faults:     string(c.Faults),
		Seed:       c.Seed,
	}
	var first, gaps []float64
	var good float64
	for i := range r.Calls {
		k := &r.Calls[i]
		if !keep(k) {
			continue
		}
		count(&row, k)
		if k.FirstToken > 0 {
			first = append(first, k.FirstToken.Seconds())
		}
		gaps = appendGaps(gaps, k)
		if k.Outcome == wire.OutcomeCompleted && !k.Late {
			good++
		}
	}
	row.TTFTP50 = quantile(first, 0.50)
	row.TTFTP95 = quantile(first, 0.95)
	row.TTFTP99 = quantile(first, 0.99)
	row.ITLP95 = quantile(gaps, 0.95)
	row.Goodput = good / r.Options.VirtualTime.Seconds()
	return row
}

// count adds a call to the counters of row.
func count(row *report.Row, k *soak.Call) {
	row.Requests++
	if k.Late {
		row.Late++
	}
	if k.RanTwice {
		row.Doubled++
	}
	switch {
	case k.ConnectionLost:
		row.Lost++
	case k.CallerGone || k.Outcome == wire.OutcomeCompleted:
		// The caller left before the end, or the call completed: no counter of its own.
	case k.Outcome == wire.OutcomeNotRun:
		row.NotRun++
	default:
		row.Unknown++
	}
}

// appendGaps appends an inter-token latency in seconds for every output token. Calls
// record the time of several tokens together, so each gets the mean of its group.
func appendGaps(gaps []float64, k *soak.Call) []float64 {
	for _, g := range k.Gaps {
		each := g.Took.Seconds() / float64(g.Tokens)
		for range g.Tokens {
			gaps = append(gaps, each)
		}
	}
	return gaps
}

// slowdownP95 returns the 95th percentile, over the short requests with a first token
// in both runs, of the ratio of the time to first token in run to that in base.
func slowdownP95(run, base *soak.Result) float64 {
	baseTTFT := make(map[uint64]time.Duration) // by Call.Number
	for i := range base.Calls {
		if k := &base.Calls[i]; shortWithToken(k) {
			baseTTFT[k.Number] = k.FirstToken
		}
	}
	var ratios []float64
	for i := range run.Calls {
		k := &run.Calls[i]
		if ttft := baseTTFT[k.Number]; shortWithToken(k) && ttft > 0 {
			ratios = append(ratios, k.FirstToken.Seconds()/ttft.Seconds())
		}
	}
	return quantile(ratios, 0.95)
}

// shortWithToken reports whether a call is a short prompt that got a token.
func shortWithToken(k *soak.Call) bool {
	return k.Kind == wire.KindEngine && k.Band == wire.BandShort && k.FirstToken > 0
}

// quantile sorts values and returns the one at index floor(q*n) of n, at most the
// last, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := min(int(q*float64(len(values))), len(values)-1)
	return values[i]
}
