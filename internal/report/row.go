package report

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// Row is the result of one policy in one run for one length band, for service calls,
// or for all requests. Times are in seconds.
type Row struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Load       int     `json:"load"`          // percent of the deployment's capacity
	Faults     string  `json:"faults"`        // injected faults: none or mixed
	Mix        string  `json:"mix,omitempty"` // of prompt lengths; empty: the default mix
	Seed       uint64  `json:"seed"`
	Band       string  `json:"band"`
	Requests   int64   `json:"requests"`
	TTFTP50    float64 `json:"ttft_p50_s"`
	TTFTP95    float64 `json:"ttft_p95_s"`
	TTFTP99    float64 `json:"ttft_p99_s"`
	ITLP95     float64 `json:"itl_p95_s"` // inter-token latency
	// ShortSlowdownP95 is, at the 95th percentile over short requests, the ratio of
	// the time to first token with long prompts in the workload to that without;
	// 0: not measured in this row.
	ShortSlowdownP95 float64 `json:"short_slowdown_p95"`
	// SlowdownFloorP95 is the same ratio between two runs without long prompts that
	// differ only in random choices: the part of the slowdown that is noise; 0: not
	// measured.
	SlowdownFloorP95 float64 `json:"short_slowdown_floor_p95,omitempty"`
	Goodput          float64 `json:"goodput"` // requests completed within their time limit, per second
	NotRun           int64   `json:"not_run"`
	Unknown          int64   `json:"unknown"` // ended without a known outcome
	Late             int64   `json:"late"`    // ended after their time limit
	Lost             int64   `json:"lost"`    // connection to the entry broke
	Doubled          int64   `json:"doubled"` // ran twice though they must not
}

// Results is the content of a results file.
type Results struct {
	Rows []Row `json:"rows"`
}

// BandAll is the Band of rows that cover all requests of a run.
const BandAll = "all"

// bandOrder is the order of bands in tables and pages.
var bandOrder = []string{BandAll, "short", "medium", "long", "huge", "service"}

// WriteJSON writes the rows as indented JSON.
func (r Results) WriteJSON(w io.Writer) error {
	if r.Rows == nil {
		r.Rows = []Row{}
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	_, err = w.Write(append(raw, '\n'))
	return errors.Wrap(err, "write results")
}

// Read reads a results file. Unknown fields are an error.
func Read(r io.Reader) (Results, error) {
	var res Results
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	return res, errors.Wrap(dec.Decode(&res), "read results")
}

// setting identifies a section: its runs have the same deployment, faults and mix.
type setting struct {
	Deployment string
	Faults     string
	Mix        string
}

func (r Row) setting() setting {
	return setting{Deployment: r.Deployment, Faults: r.Faults, Mix: r.Mix}
}

// summary merges the rows that differ only in their seed: times, ratios and goodput
// are means over the seeds, counts are sums.
type summary struct {
	Row
	Seeds int
}

// summarise returns the merged rows in the order of compareRows.
func summarise(rows []Row) []summary {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, compareRows)
	var list []summary
	for _, r := range rows {
		if n := len(list); n > 0 && sameCell(list[n-1].Row, r) {
			list[n-1].add(r)
			continue
		}
		list = append(list, summary{Row: r, Seeds: 1})
	}
	return list
}

// add merges the row of another seed.
func (s *summary) add(r Row) {
	s.Seeds++
	mean := func(sum *float64, next float64) { *sum += (next - *sum) / float64(s.Seeds) }
	mean(&s.TTFTP50, r.TTFTP50)
	mean(&s.TTFTP95, r.TTFTP95)
	mean(&s.TTFTP99, r.TTFTP99)
	mean(&s.ITLP95, r.ITLP95)
	mean(&s.ShortSlowdownP95, r.ShortSlowdownP95)
	mean(&s.SlowdownFloorP95, r.SlowdownFloorP95)
	mean(&s.Goodput, r.Goodput)
	s.Requests += r.Requests
	s.NotRun += r.NotRun
	s.Unknown += r.Unknown
	s.Late += r.Late
	s.Lost += r.Lost
	s.Doubled += r.Doubled
}

// sameCell reports whether a and b differ only in their seed and results.
func sameCell(a, b Row) bool {
	a.Seed, b.Seed = 0, 0
	return compareRows(a, b) == 0
}

// compareRows orders rows by deployment, faults (none before mixed), mix, band,
// load, policy and seed.
func compareRows(a, b Row) int {
	return cmp.Or(
		cmp.Compare(a.Deployment, b.Deployment),
		cmp.Compare(b.Faults, a.Faults),
		cmp.Compare(a.Mix, b.Mix),
		cmp.Compare(bandRank(a.Band), bandRank(b.Band)),
		cmp.Compare(a.Band, b.Band),
		cmp.Compare(a.Load, b.Load),
		comparePolicies(a.Policy, b.Policy),
		cmp.Compare(a.Seed, b.Seed),
	)
}

// bandRank returns the position of a band in bandOrder; unknown bands come last.
func bandRank(band string) int {
	if i := slices.Index(bandOrder, band); i >= 0 {
		return i
	}
	return len(bandOrder)
}

// OwnPolicy is the name of this product's own policy.
const OwnPolicy = "trefoilpath"

// comparePolicies puts the product's policy first.
func comparePolicies(a, b string) int {
	switch {
	case a == b:
		return 0
	case a == OwnPolicy:
		return -1
	case b == OwnPolicy:
		return 1
	}
	return cmp.Compare(a, b)
}
