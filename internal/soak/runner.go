package soak

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Finished is one run of RunSeeds that has ended.
type Finished struct {
	Result *Result
	Took   time.Duration // real time
}

// RunSeeds runs seeds consecutive seeds from opts.Seed on, parallel at a time,
// and calls done for each as it ends. Calls of done do not overlap.
func RunSeeds(opts Options, seeds, parallel int, done func(Finished)) error {
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
			done(Finished{Result: r, Took: time.Since(began)})
			return nil
		})
	}
	return g.Wait()
}
