package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteText writes one table for each deployment, fault setting and mix. Times,
// ratios and goodput are means over the seeds, counts are sums.
func (r Results) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for i, sec := range sections(r.Rows) {
		if i > 0 {
			fmt.Fprintln(tw)
		}
		fmt.Fprintln(tw, sec.Title)
		fmt.Fprintln(tw, "band\tload\tpolicy\trequests\tttft p50 s\tp95 s\tp99 s\titl p95 s\tslowdown p95\tgoodput\tnot run\tunknown\tlate\tlost\tdoubled\t")
		for _, s := range sec.Rows {
			fmt.Fprintf(tw, "%s\t%d%%\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.4f\t%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t\n",
				s.Band, s.Load, s.Policy, s.Requests, s.TTFTP50, s.TTFTP95, s.TTFTP99, s.ITLP95, s.Slowdown(), s.Goodput,
				s.NotRun, s.Unknown, s.Late, s.Lost, s.Doubled)
		}
	}
	return errors.Wrap(tw.Flush(), "write results")
}

// Slowdown returns the short-request slowdown, or a dash where it was not measured.
func (s summary) Slowdown() string {
	if s.ShortSlowdownP95 == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", s.ShortSlowdownP95)
}
