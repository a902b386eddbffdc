package soak

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// CompletedRun is a completed run of RunSeeds.
type CompletedRun struct {
	Result *Result
	Took   time.Duration // wall-clock time
}

// RunSeeds runs the given number of consecutive seeds from opts.Seed on, up to
// parallel at a time, and calls done after each. Calls of done do not overlap.
// It returns the error of a run that could not be set up.
func RunSeeds(opts Options, seeds, parallel int, done func(CompletedRun)) error {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(max(parallel, 1))
	for i := range seeds {
		g.Go(func() error {
			o := opts
			o.Seed += uint64(i)
			began := time.Now()
			w, err := New(o)
			if err != nil {
				return err
			}
			r := w.Run()
			mu.Lock()
			defer mu.Unlock()
			done(CompletedRun{Result: r, Took: time.Since(began)})
			return nil
		})
	}
	return g.Wait()
}
