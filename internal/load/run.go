package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/httponce"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// Run sends the workload until Duration or MaxRequests is reached, then waits up
// to DrainTimeout for the requests in flight. If ctx ends, no further request is
// sent and those in flight are abandoned; the result covers the requests that ended
// and counts the abandoned ones.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	g, err := workload.New(cfg.Workload)
	if err != nil {
		return nil, err
	}
	client, closeIdle := clientOf(cfg)
	defer closeIdle()
	r := &run{
		cfg:    cfg,
		caller: caller{cfg: &cfg, client: client},
		slots:  make(chan struct{}, cfg.MaxInFlight),
		start:  time.Now(),
		rec:    newRecorder(),
	}
	stopProgress := r.showProgress()
	r.offer(ctx, g)
	stopProgress()
	return r.rec.result(time.Since(r.start)), nil
}

// run is the state of one load run.
type run struct {
	cfg    Config
	caller caller
	slots  chan struct{} // holds one value for each request in flight
	start  time.Time
	rec    *recorder
	wg     sync.WaitGroup
}

// clientOf returns the client to use and a function that closes its idle
// connections.
func clientOf(cfg Config) (*http.Client, func()) {
	if cfg.Client != nil {
		return cfg.Client, func() {}
	}
	tr := &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, MaxIdleConns: 0} // 0: no limit on the total
	return &http.Client{Transport: &httponce.Transport{Base: tr}}, tr.CloseIdleConnections
}

// offer sends each request when it is due, then waits for those in flight.
func (r *run) offer(ctx context.Context, g *workload.Generator) {
	inFlight, abandon := context.WithCancel(ctx)
	defer abandon()
	for n := uint64(0); r.cfg.MaxRequests == 0 || n < r.cfg.MaxRequests; n++ {
		at, req := g.Next()
		if r.cfg.Duration > 0 && at > r.cfg.Duration {
			break
		}
		due := r.start.Add(at)
		if !sleepUntil(ctx, due) || !r.takeSlot(ctx) {
			break
		}
		r.send(inFlight, r.cfg.Targets[int(n)%len(r.cfg.Targets)], req, due)
	}
	r.drain(abandon)
}

// sleepUntil waits until due and returns true, or false if ctx ended.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeSlot waits until fewer than MaxInFlight requests are in flight and returns
// true, or false if ctx ended.
func (r *run) takeSlot(ctx context.Context) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request in the background and records its result.
func (r *run) send(ctx context.Context, target string, req workload.Request, due time.Time) {
	r.rec.sent()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		s := r.caller.do(ctx, target, req, due)
		if ctx.Err() != nil && s.outcome == "" {
			r.rec.abandoned()
		} else {
			r.rec.add(s)
		}
		<-r.slots
	}()
}

// drain waits for the requests in flight and cancels those still running after
// Config.DrainTimeout.
func (r *run) drain(abandon context.CancelFunc) {
	timer := time.AfterFunc(r.cfg.DrainTimeout, abandon)
	defer timer.Stop()
	r.wg.Wait()
}

// showProgress prints a line at each interval until the returned function is called.
func (r *run) showProgress() (stop func()) {
	if r.cfg.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(r.cfg.ProgressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				fmt.Fprintln(r.cfg.Progress, r.rec.progressLine(time.Since(r.start)))
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}
