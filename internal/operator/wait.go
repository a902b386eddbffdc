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
	// pollInterval is the pause between two rounds of status calls.
	pollInterval = 250 * time.Millisecond
	// statusTimeout bounds one status call.
	statusTimeout = 2 * time.Second
)

// Lagging is a process at which a revision is not known to be in effect.
type Lagging struct {
	Name     string // of the entry or endpoint, or the URL of an entry without status
	Revision uint64 // in effect there as last reported; 0 if unknown
	Reason   string
}

// String returns the process, its revision and the reason on one line.
func (l Lagging) String() string {
	return fmt.Sprintf("%s: revision %d, %s", l.Name, l.Revision, l.Reason)
}

// Wait polls the status of entries until the revision is in effect at all of
// them, at all peers that they know, and at all agents connected to the polled
// entries. Entries and peers that are draining need not have it. It returns the
// processes that lagged in the last round completed before ctx ended, or in the
// first round if none was.
func Wait(ctx context.Context, entries []*Client, revision uint64) []Lagging {
	lagging := pollLagging(ctx, entries, revision)
	for len(lagging) > 0 && sleep.For(ctx, pollInterval) {
		now := pollLagging(ctx, entries, revision)
		if ctx.Err() != nil {
			break // ctx cut the calls of this round short
		}
		lagging = now
	}
	return lagging
}

// pollLagging does one round of status calls.
func pollLagging(ctx context.Context, entries []*Client, revision uint64) []Lagging {
	v := statusView{revision: revision, newest: make(map[wire.NodeID]entry.PeerStatus)}
	for _, c := range entries {
		s, err := statusWithTimeout(ctx, c)
		if err != nil {
			v.lagging = append(v.lagging, Lagging{Name: c.URL(), Reason: "gives no status: " + err.Error()})
			continue
		}
		v.add(s)
	}
	return v.result()
}

// HighestRevision returns the highest revision in effect at the entries and at
// the peers that they know, or 0 if no entry returns a status.
func HighestRevision(ctx context.Context, entries []*Client) uint64 {
	highest := uint64(0)
	for _, c := range entries {
		s, err := statusWithTimeout(ctx, c)
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

func statusWithTimeout(ctx context.Context, c *Client) (entry.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.Status(ctx)
}

// statusView merges the statuses of several entries.
type statusView struct {
	revision uint64
	newest   map[wire.NodeID]entry.PeerStatus // of each entry, the one with the highest revision
	lagging  []Lagging
}

func (v *statusView) add(s entry.Status) {
	v.addPeer(entry.PeerStatus{Node: s.Node, Revision: s.Revision, Ready: s.Ready, Leaving: s.Draining})
	for _, p := range s.Peers {
		v.addPeer(p)
	}
	if s.Revision < v.revision {
		return // its agents lag because the entry does
	}
	for _, id := range s.Lagging {
		v.lagging = append(v.lagging, Lagging{Name: string(id), Reason: "agent of " + string(s.Node) + " has an older revision"})
	}
}

func (v *statusView) addPeer(p entry.PeerStatus) {
	known, ok := v.newest[p.Node]
	if !ok || p.Revision > known.Revision {
		v.newest[p.Node] = p
	}
}

func (v *statusView) result() []Lagging {
	for _, p := range v.newest {
		if p.Revision < v.revision && !p.Leaving {
			reason := "not heard yet"
			if p.SilentMS != entry.NoMessageYet {
				reason = fmt.Sprintf("last heard %v ago", time.Duration(p.SilentMS)*time.Millisecond)
			}
			v.lagging = append(v.lagging, Lagging{Name: string(p.Node), Revision: p.Revision, Reason: reason})
		}
	}
	slices.SortFunc(v.lagging, func(a, b Lagging) int { return strings.Compare(a.Name, b.Name) })
	return slices.Compact(v.lagging)
}
