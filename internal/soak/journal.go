package soak

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/simnet"
)

// line is a journal entry for one event of a run.
type line struct {
	at      time.Duration
	node    simnet.Node
	kind    string
	subject string // request, attempt or link
	detail  string // text that depends on the kind
	value   int64  // number that depends on the kind
}

// String formats the line for a trace.
func (l line) String() string {
	s := fmt.Sprintf("%12.6f %-22s %-18s %s", l.at.Seconds(), l.node, l.kind, l.subject)
	if l.detail != "" {
		s += " " + l.detail
	}
	if l.value != 0 {
		s += fmt.Sprintf(" value=%d", l.value)
	}
	return s
}

// journal computes a digest of all events of a run and keeps the latest ones in a
// ring buffer for traces.
type journal struct {
	digest xxhash.Digest
	ring   []line
	next   int
	count  uint64
}

// traceLines is the number of latest events that a journal keeps in memory.
const traceLines = 40_000

func newJournal() *journal {
	j := &journal{ring: make([]line, 0, traceLines)}
	j.digest.Reset()
	return j
}

func (j *journal) add(l line) {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[0:], uint64(l.at))
	binary.LittleEndian.PutUint64(buf[8:], uint64(l.value))
	_, _ = j.digest.Write(buf[:])
	for _, s := range [...]string{string(l.node), l.kind, l.subject, l.detail} {
		_, _ = j.digest.WriteString(s)
		_, _ = j.digest.Write(buf[:1])
	}
	j.count++
	if len(j.ring) < traceLines {
		j.ring = append(j.ring, l)
		return
	}
	j.ring[j.next] = l
	j.next = (j.next + 1) % traceLines
}

// sum returns the digest of all events so far.
func (j *journal) sum() uint64 { return j.digest.Sum64() }

// trace formats the latest events for which keep returns true, at most limit of
// them, oldest first.
func (j *journal) trace(limit int, keep func(line) bool) []string {
	var out []string
	for i := len(j.ring) - 1; i >= 0 && len(out) < limit; i-- {
		l := j.ring[(j.next+i)%len(j.ring)]
		if keep(l) {
			out = append(out, l.String())
		}
	}
	for a, b := 0, len(out)-1; a < b; a, b = a+1, b-1 {
		out[a], out[b] = out[b], out[a]
	}
	return out
}
