package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Summary is the report on a run in JSON and text.
type Summary struct {
	Deployment string            `json:"deployment"`
	Seed       uint64            `json:"seed"`
	Digest     string            `json:"digest"`
	Events     uint64            `json:"events"`
	VirtualS   float64           `json:"virtual_s"`
	Calls      int               `json:"calls"`
	Completed  int               `json:"completed"`
	NotRun     int               `json:"not_run"`
	Unknown    int               `json:"unknown"`
	Lost       int               `json:"lost"`    // connections broken because their entry ended
	Gone       int               `json:"gone"`    // callers that hung up
	Refused    int               `json:"refused"` // the balancer had no ready entry
	Codes      []CodeCount       `json:"codes"`
	Faults     []FaultCount      `json:"faults"`
	Violation  *ViolationSummary `json:"violation,omitempty"`
}

// CodeCount is the number of answers with a code.
type CodeCount struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// FaultCount is the number of injections of a fault.
type FaultCount struct {
	Fault string `json:"fault"`
	Count int    `json:"count"`
}

// ViolationSummary is a Violation in JSON.
type ViolationSummary struct {
	Promise Promise  `json:"promise"`
	Subject string   `json:"subject"`
	Detail  string   `json:"detail"`
	AtS     float64  `json:"at_s"`
	Trace   []string `json:"trace"`
}

// Summary returns the report on the run.
func (r *Result) Summary() Summary {
	s := Summary{
		Deployment: r.Options.Deployment.Name,
		Seed:       r.Options.Seed,
		Digest:     fmt.Sprintf("%016x", r.Digest),
		Events:     r.Events,
		VirtualS:   r.Elapsed.Seconds(),
		Calls:      len(r.Calls),
		Refused:    r.Refused,
		Codes:      codeCounts(r.Calls),
	}
	for i := range r.Calls {
		s.count(&r.Calls[i])
	}
	for _, name := range FaultNames() {
		if n := r.Faults[name]; n > 0 {
			s.Faults = append(s.Faults, FaultCount{Fault: name, Count: n})
		}
	}
	if v := r.Violation; v != nil {
		s.Violation = &ViolationSummary{Promise: v.Promise, Subject: v.Subject, Detail: v.Detail, AtS: v.At.Seconds(), Trace: v.Trace}
	}
	return s
}

func (s *Summary) count(c *Call) {
	switch {
	case c.ConnectionLost:
		s.Lost++
	case c.CallerGone:
		s.Gone++
	case c.Outcome == wire.OutcomeCompleted:
		s.Completed++
	case c.Outcome == wire.OutcomeNotRun:
		s.NotRun++
	default:
		s.Unknown++
	}
}

func codeCounts(calls []Call) []CodeCount {
	counts := make(map[string]int)
	for _, c := range calls {
		if !c.ConnectionLost && !c.CallerGone {
			counts[c.Code.String()]++
		}
	}
	var out []CodeCount
	for code, n := range counts {
		out = append(out, CodeCount{Code: code, Count: n})
	}
	slices.SortFunc(out, func(a, b CodeCount) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Code, b.Code)
	})
	return out
}

// Write writes the summary as one line, and a violation with its trace. took is
// the wall-clock time of the run.
func (s Summary) Write(w io.Writer, took time.Duration) {
	fmt.Fprintf(w, "%s seed=%d digest=%s events=%d calls=%d completed=%d not_run=%d unknown=%d lost=%d gone=%d refused=%d virtual=%.0fs took=%.1fs\n",
		s.Deployment, s.Seed, s.Digest, s.Events, s.Calls, s.Completed, s.NotRun, s.Unknown, s.Lost, s.Gone, s.Refused, s.VirtualS, took.Seconds())
	if s.Violation == nil {
		return
	}
	v := s.Violation
	for _, l := range v.Trace {
		fmt.Fprintln(w, l)
	}
	fmt.Fprintf(w, "VIOLATION promise=%s subject=%s at=%.6fs %s\n", v.Promise, v.Subject, v.AtS, v.Detail)
}
