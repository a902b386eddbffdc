package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/sleep"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	// pollEvery is the time between two rounds of status calls.
	pollEvery = 250 * time.Millisecond
	// statusTimeout bounds one status call.
	statusTimeout = 2 * time.Second
)

// Lagging is one process that is not known to have a revision in force.
type Lagging struct {
	Name     string // of the entry or endpoint, or the URL of an entry without answer
	Revision uint64 // in force there as far as known; 0 if unknown
	Reason   string
}

// String returns one line.
func (l Lagging) String() string {
	return fmt.Sprintf("%s: revision %d, %s", l.Name, l.Revision, l.Reason)
}

// Wait asks entries for their status until the revision is in force at all of
// them, at all peers that they know and that are not leaving, and at all their
// agents. It returns who lagged in the last round that ended before ctx did.
func Wait(ctx context.Context, entries []*Client, revision uint64) []Lagging {
	lagging := lagNow(ctx, entries, revision)
	for len(lagging) > 0 && sleep.For(ctx, pollEvery) {
		now := lagNow(ctx, entries, revision)
		if ctx.Err() != nil {
			break // calls were cut short
		}
		lagging = now
	}
	return lagging
}

func lagNow(ctx context.Context, entries []*Client, revision uint64) []Lagging {
	v := view{revision: revision, newest: make(map[wire.NodeID]entry.PeerStatus)}
	for _, c := range entries {
		s, err := statusWithin(ctx, c)
		if err != nil {
			v.lagging = append(v.lagging, Lagging{Name: c.URL(), Reason: "gives no status"})
			continue
		}
		v.add(s)
	}
	return v.result()
}

// HighestRevision returns the highest revision in force at the entries and at
// the peers that they know, or 0 if none gives a status.
func HighestRevision(ctx context.Context, entries []*Client) uint64 {
	highest := uint64(0)
	for _, c := range entries {
		s, err := statusWithin(ctx, c)
		if err != nil {
			continue
		}
		highest = max(highest, s.Revision)
		for _, p := range s.Peers {
			highest = max(highest, p.Revision)
		}
	}
	return highest
}

func statusWithin(ctx context.Context, c *Client) (entry.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.Status(ctx)
}

// view merges what several entries say.
type view struct {
	revision uint64
	newest   map[wire.NodeID]entry.PeerStatus // the highest revision that anyone saw of each entry
	lagging  []Lagging
}

func (v *view) add(s entry.Status) {
	v.see(entry.PeerStatus{Node: s.Node, Revision: s.Revision, Ready: s.Ready, Leaving: s.Draining})
	for _, p := range s.Peers {
		v.see(p)
	}
	if s.Revision < v.revision {
		return // its agents lag with it
	}
	for _, id := range s.Lagging {
		v.lagging = append(v.lagging, Lagging{Name: string(id), Reason: "agent of " + string(s.Node) + " has an older revision"})
	}
}

func (v *view) see(p entry.PeerStatus) {
	known, ok := v.newest[p.Node]
	if !ok || p.Revision > known.Revision {
		v.newest[p.Node] = p
	}
}

func (v *view) result() []Lagging {
	for _, p := range v.newest {
		if p.Revision < v.revision && !p.Leaving {
			reason := fmt.Sprintf("last heard %v ago", time.Duration(p.SilentMS)*time.Millisecond)
			v.lagging = append(v.lagging, Lagging{Name: string(p.Node), Revision: p.Revision, Reason: reason})
		}
	}
	slices.SortFunc(v.lagging, func(a, b Lagging) int { return strings.Compare(a.Name, b.Name) })
	return slices.Compact(v.lagging)
}
