// Package runlog summarizes the logs of gateways over one run: by the size of prompts, how long
// callers waited and for what, and why requests were not served.
package runlog

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// request is what a log tells of one request of a caller.
type request struct {
	node       string
	prompt     int64         // tokens
	engines    int           // that prefilled it at first
	waited     time.Duration // until its first dispatch
	predicted  time.Duration // from there to its first event
	untilFirst time.Duration // from its arrival to its first event; 0: none came
	error      time.Duration // of the prediction, once the first event has come
	refused    bool
	open       bool // an attempt runs
}

// Summary is the summary of a run.
type Summary struct {
	requests map[string]*request
	attempts map[string]int // by result
	refusals map[string]int // by reason
	failures map[string]int // by reason
	cutOff   int            // attempts that ended with the process of their gateway
}

// Read reads logs of gateways. Lines that are not log lines of a gateway are skipped.
func Read(r io.Reader) (*Summary, error) {
	s := &Summary{
		requests: make(map[string]*request), attempts: make(map[string]int),
		refusals: make(map[string]int), failures: make(map[string]int),
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if f := parseFields(lines.Text()); f["event"] != "" {
			s.add(f)
		}
	}
	return s, errors.Wrap(lines.Err(), "read log")
}

// parseFields returns the key=value pairs of a log line. Values may be quoted.
func parseFields(line string) map[string]string {
	fields := make(map[string]string)
	for line != "" {
		word, rest, _ := strings.Cut(line, " ")
		key, value, ok := strings.Cut(word, "=")
		if ok && strings.HasPrefix(value, `"`) {
			start := line[len(key)+1:]
			if quoted, err := strconv.QuotedPrefix(start); err == nil {
				value, _ = strconv.Unquote(quoted) // a quoted prefix can be unquoted
				rest = start[len(quoted):]
			}
		}
		if ok {
			fields[key] = value
		}
		line = strings.TrimLeft(rest, " ")
	}
	return fields
}

func (s *Summary) add(f map[string]string) {
	switch f["event"] {
	case "start", "stop":
		s.endProcess(f["node"])
	case "dispatch":
		s.dispatched(f)
	case "first-event":
		if r := s.requests[f["request"]]; r != nil && r.untilFirst == 0 {
			r.untilFirst = r.waited + milliseconds(f["took_ms"])
			r.error = milliseconds(f["took_ms"]) - r.predicted
		}
	case "attempt-ended":
		s.attempts[value(f["detail"], "result")]++
		s.close(f)
	case "refuse":
		s.refusals[reason(f)]++
		s.request(f).refused = true
		s.close(f)
	case "failed":
		s.failures[reason(f)]++
		s.close(f)
	case "caller-gone":
		s.close(f)
	}
}

// request returns the request that a line names.
func (s *Summary) request(f map[string]string) *request {
	r := s.requests[f["request"]]
	if r == nil {
		r = &request{node: f["node"]}
		s.requests[f["request"]] = r
	}
	if prompt, err := strconv.ParseInt(value(f["detail"], "prompt"), 10, 64); err == nil {
		r.prompt = prompt
	}
	return r
}

func (s *Summary) dispatched(f map[string]string) {
	first := s.requests[f["request"]] == nil
	r := s.request(f)
	r.open = true
	if first {
		r.engines, _ = strconv.Atoi(f["count"]) // absent: a plain service
		r.waited, r.predicted = milliseconds(f["waited_ms"]), milliseconds(f["took_ms"])
	}
}

func (s *Summary) close(f map[string]string) {
	if r := s.requests[f["request"]]; r != nil {
		r.open = false
	}
}

// endProcess counts what ended with the process of a node.
func (s *Summary) endProcess(node string) {
	for _, r := range s.requests {
		if r.node == node && r.open {
			r.open = false
			s.cutOff++
		}
	}
}

// value returns the value of a name=value pair of a detail, or "".
func value(detail, name string) string {
	for word := range strings.FieldsSeq(detail) {
		if v, ok := strings.CutPrefix(word, name+"="); ok {
			return v
		}
	}
	return ""
}

// reason returns the first word of the detail.
func reason(f map[string]string) string {
	word, _, _ := strings.Cut(f["detail"], " ")
	return word
}

func milliseconds(text string) time.Duration {
	ms, _ := strconv.ParseFloat(text, 64) // absent: 0
	return time.Duration(ms * float64(time.Millisecond))
}

// bandLimits are the upper limits in tokens of the bands of prompts.
var bandLimits = []int64{10_000, 50_000, 150_000, 300_000, 450_000, 600_000, 750_000}

// Write writes the summary as a table of the prompts by size and lists of how attempts ended.
func (s *Summary) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "tokens\trequests\trefused\twaited p50\tp90\tengines\tfirst event p50\tp90\terror p80\t")
	for i := range len(bandLimits) + 1 {
		s.writeBand(table, i)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write summary")
	}
	for _, list := range []struct {
		name   string
		counts map[string]int
	}{{"attempts", s.attempts}, {"refused", s.refusals}, {"failed", s.failures}} {
		if _, err := fmt.Fprintln(w, list.name+":", counts(list.counts)); err != nil {
			return errors.Wrap(err, "write summary")
		}
	}
	_, err := fmt.Fprintln(w, "cut off with their gateway:", s.cutOff)
	return errors.Wrap(err, "write summary")
}

// writeBand writes the row of the i-th band. Errors are kept by the table until it is flushed.
func (s *Summary) writeBand(table *tabwriter.Writer, i int) {
	name, least := "more", int64(0)
	if i > 0 {
		least = bandLimits[i-1]
	}
	if i < len(bandLimits) {
		name = "to " + strconv.FormatInt(bandLimits[i], 10)
	}
	var waited, first, err []time.Duration
	requests, refused, engines := 0, 0, 0
	for _, r := range s.requests {
		if r.prompt <= least || i < len(bandLimits) && r.prompt > bandLimits[i] {
			continue
		}
		requests++
		if r.refused {
			refused++
		}
		if r.engines > 0 {
			waited = append(waited, r.waited)
			engines += r.engines
		}
		if r.untilFirst > 0 {
			first, err = append(first, r.untilFirst), append(err, r.error)
		}
	}
	fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%.1f\t%v\t%v\t%v\t\n", name, requests, refused, quantile(waited, 0.5), quantile(waited, 0.9),
		float64(engines)/float64(max(len(waited), 1)), quantile(first, 0.5), quantile(first, 0.9), quantile(err, 0.8))
}

// quantile returns a quantile of durations, 0 if there are none.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)].Round(time.Millisecond)
}

// counts returns counts as text, the largest first.
func counts(m map[string]int) string {
	keys := slices.SortedFunc(maps.Keys(m), func(a, b string) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
	var out []string
	for _, k := range keys {
		out = append(out, k+" "+strconv.Itoa(m[k]))
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}
