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

// bandService is the band of plain service calls.
const bandService = "service"

// slowdowns are the measures of short requests beside long ones; 0: not measured.
type slowdowns struct {
	p95      float64
	floorP95 float64
}

func (s slowdowns) apply(row *report.Row) {
	row.ShortSlowdownP95 = s.p95
	row.SlowdownFloorP95 = s.floorP95
}

// rowsOf measures a run: one row for each band of prompts, one for service
// calls and one for all requests.
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

// measure condenses the calls that keep selects.
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
	row.Goodput = good / r.Options.Virtual.Seconds()
	return row
}

func count(row *report.Row, k *soak.Call) {
	row.Requests++
	if k.Late {
		row.Late++
	}
	if k.Doubled {
		row.Doubled++
	}
	switch {
	case k.Lost:
		row.Lost++
	case k.Gone || k.Outcome == wire.OutcomeCompleted:
	case k.Outcome == wire.OutcomeNotRun:
		row.NotRun++
	default:
		row.Unknown++
	}
}

// appendGaps adds the mean time between output tokens of each piece of an
// answer, once for every token in it.
func appendGaps(gaps []float64, k *soak.Call) []float64 {
	for _, g := range k.Gaps {
		each := g.Took.Seconds() / float64(g.Tokens)
		for range g.Tokens {
			gaps = append(gaps, each)
		}
	}
	return gaps
}

// slowdownP95 is the 95th percentile over short requests of the time to first
// token beside long ones over that of the same request without them.
func slowdownP95(with, without *soak.Result) float64 {
	alone := make(map[uint64]time.Duration)
	for i := range without.Calls {
		if k := &without.Calls[i]; shortWithToken(k) {
			alone[k.Number] = k.FirstToken
		}
	}
	var ratios []float64
	for i := range with.Calls {
		k := &with.Calls[i]
		if base := alone[k.Number]; shortWithToken(k) && base > 0 {
			ratios = append(ratios, k.FirstToken.Seconds()/base.Seconds())
		}
	}
	return quantile(ratios, 0.95)
}

func shortWithToken(k *soak.Call) bool {
	return k.Kind == wire.KindEngine && k.Band == wire.BandShort && k.FirstToken > 0
}

// quantile returns the q-quantile of values by the nearest rank, or 0.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := min(int(q*float64(len(values))), len(values)-1)
	return values[i]
}
