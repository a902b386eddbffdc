package storecopy

import (
	"context"
	"time"

	"trefoilpath.org/trefoilpath/internal/store"
)

// listPages reads all pages of a listing, without the keys that have no use. The result has
// the revision of the first page, so that a watch from there also delivers changes made between two
// pages. A listing beyond the bounds of a copy, or one that does not get ahead, is an answer that can't
// be used.
func (s *Syncer) listPages(ctx context.Context) store.Result {
	r := s.listPage(ctx, "")
	last := r
	var listed collection
	listed.add(r.Pairs)
	pages, began := 1, s.cfg.Now()
	for ; last.Status == store.StatusOK && last.More && !s.cfg.Single; pages++ {
		after := last.Pairs[len(last.Pairs)-1].Key
		last = s.listPage(ctx, after)
		listed.add(last.Pairs)
		reason := GiveUpReason("")
		switch {
		case last.Status != store.StatusOK:
		case last.Era != r.Era: // pages of two eras don't belong together
			reason = GiveUpEra
		case !continues(last, after):
			reason = GiveUpOrder
		case pages >= maxPages:
			reason = GiveUpPages
		case listed.size > MaxCopyBytes:
			reason = GiveUpSize
		default:
			if last.More {
				s.applyFirstPages(listed.pairs, last.Pairs[len(last.Pairs)-1].Key, s.cfg.Now()-began)
			}
			continue
		}
		if reason != "" && s.cfg.GaveUp != nil {
			s.cfg.GaveUp(GivenUp{Reason: reason, Pages: pages + 1, Bytes: listed.size})
		}
		return store.Result{Status: store.StatusUnavailable, Era: last.Era}
	}
	if r.Status == store.StatusOK {
		s.spareBytes.Store(listed.spare)
		s.pages.Store(int64(pages))
	}
	r.Pairs = listed.pairs
	return r
}

// applyFirstPages applies the pairs of the first pages, up to the key last, while there is no copy yet and
// the listing takes long: a process that has lost its copy serves with the endpoints that it has read.
func (s *Syncer) applyFirstPages(pairs []store.Pair, last string, took time.Duration) {
	if !s.cfg.Partial || took < partialAfter {
		return
	}
	s.apply(SourceListing, took, func(time.Duration) bool { return !s.hasCopy && s.copy.ApplyFirst(pairs, last) })
}

// GiveUpReason says why a listing is given up although the store answers.
type GiveUpReason string

// The reasons to give a listing up.
const (
	GiveUpEra   GiveUpReason = "era"   // the store has been restored between two pages
	GiveUpOrder GiveUpReason = "order" // a page has no keys after those of the page before
	GiveUpPages GiveUpReason = "pages" // more than maxPages
	GiveUpSize  GiveUpReason = "size"  // more than MaxCopyBytes
)

// GivenUp describes a listing that is given up although the store answers.
type GivenUp struct {
	Reason GiveUpReason
	Pages  int   // read until then
	Bytes  int64 // of their keys and values
}

// continues reports whether a page is the one after a key, with keys of its own unless it is the last.
func continues(page store.Result, after string) bool {
	if len(page.Pairs) == 0 {
		return !page.More
	}
	return page.Pairs[len(page.Pairs)-1].Key > after
}

// listPage reads the page of a listing after a key. The call is repeated after repeatAfter, and the
// first success counts; a failure before that is one of the store or of the way to it.
func (s *Syncer) listPage(ctx context.Context, after string) store.Result {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results := make(chan store.Result, 2)
	read := func() {
		results <- s.cfg.Client.Do(call, store.Op{
			ID: s.op.Add(1), Kind: store.OpList, Key: s.cfg.Prefix, After: after, MaxValue: s.cfg.MaxValue, Keep: s.cfg.Keep,
		})
	}
	go read()
	repeat := time.NewTimer(repeatAfter)
	defer repeat.Stop()
	if s.Version().Revision == 0 {
		repeat.Stop()
	}
	for pending := 1; ; {
		select {
		case r := <-results:
			pending--
			if r.Status == store.StatusOK || pending == 0 {
				return r
			}
		case <-repeat.C:
			pending++
			go read()
		}
	}
}
