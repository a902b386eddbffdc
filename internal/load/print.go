package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// countCodes returns the codes in descending order of their counts.
func countCodes(codes map[string]int) []CodeCount {
	list := make([]CodeCount, 0, len(codes))
	for code, n := range codes {
		list = append(list, CodeCount{Code: code, Count: n})
	}
	slices.SortFunc(list, func(a, b CodeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code))
	})
	return list
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	_, err = w.Write(append(raw, '\n'))
	return errors.Wrap(err, "write result")
}

// WriteText writes the totals, the error codes and a table of the rows.
func (r *Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%d requests in %.1f s: %d completed, %d not run, %d unknown, %d without answer, %d abandoned, %d late, %d wrong, %d miscounted; %d output tokens\n",
		r.Sent, r.Seconds, r.Completed, r.NotRun, r.Unknown, r.NoAnswer, r.Abandoned, r.Late, r.Wrong, r.Miscounted, r.Tokens)
	for _, c := range r.Codes {
		fmt.Fprintf(w, "  %s: %d\n", c.Code, c.Count)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "band\trequests\tcompleted\tfirst token p50 s\tp95 s\tp99 s\tbetween tokens p95 s\ttotal p95 s\t")
	for _, row := range r.Rows {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.4f\t%.3f\t\n",
			row.Band, row.Requests, row.Completed, row.TTFTP50, row.TTFTP95, row.TTFTP99, row.ITLP95, row.TotalP95)
	}
	return errors.Wrap(tw.Flush(), "write result")
}
