package fleetsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/platform/standin"
)

// Options describe one run.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the faults; a calm end follows
	Gateways int
	Replicas int // of each service
	Callers  int
	Faults   int    // that may be in force at the same time
	Binary   string // the program whose platform-gateway command is run
	Dir      string // for settings and logs
	Log      io.Writer
}

// Violation is a broken promise.
type Violation struct {
	Promise, Detail string
	At              time.Duration // since the start
}

// Result is what a run has found.
type Result struct {
	Requests, Served int
	CalmServed       float64 // share of the requests in the calm end
	Violations       []Violation
}

// run is one run in progress.
type run struct {
	opts   Options
	fleet  *fleet
	start  time.Time
	events int

	storeHarmed atomic.Int64 // until when, as time since the start
	configMu    sync.Mutex

	mu         sync.Mutex
	outcomes   []*outcome
	violations []Violation
}

// calmTime is the length of the calm end; the first part of it lets the fleet
// settle.
const calmTime = 3 * time.Second

// Run plays one seed. The error is about the run itself; broken promises are in
// the result.
func Run(o Options) (res Result, err error) {
	f, err := startFleet(o, o.Dir)
	defer func() {
		if closed := f.close(); err == nil {
			err = closed
		}
	}()
	if err != nil {
		return Result{}, err
	}
	s := &run{opts: o, fleet: f, start: time.Now(), events: f.replicas[0].Events}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { s.call(ctx, n, rand.New(rand.NewPCG(o.Seed, uint64(n)+100))) })
	}
	failed := s.faults()
	if failed == nil {
		failed = s.settle()
	}
	calm := time.Now()
	time.Sleep(calmTime)
	cancel()
	callers.Wait()
	s.confirm()
	return s.result(calm), failed
}

// faults strikes until the time is over, several at once.
func (s *run) faults() error {
	end := s.start.Add(s.opts.Duration)
	failed := make(chan error, s.opts.Faults)
	var wg sync.WaitGroup
	for n := range s.opts.Faults {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(n)))
			for time.Now().Before(end) {
				if err := s.strike(rng); err != nil {
					failed <- err
					return
				}
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// settle waits until all gateways are ready and hold the newest configuration.
func (s *run) settle() error {
	for _, r := range s.fleet.replicas {
		r.Heal()
	}
	for _, p := range s.fleet.gateways {
		if err := p.waitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settle)
	return nil
}

// confirm compares what callers were told with what replicas ran.
func (s *run) confirm() {
	runs := make(map[string]int)
	for _, r := range s.fleet.replicas {
		for _, one := range r.Runs() {
			runs[one.RequestID]++
		}
	}
	known := make(map[string]bool, len(s.outcomes))
	for _, o := range s.outcomes {
		known[o.id] = true
		n := runs[o.id]
		if o.kind == standin.KindUnsafe && n > 1 {
			s.violate("at-most-once", fmt.Sprintf("%s ran %d times", o.id, n))
		}
		if o.status == 503 && n > 0 {
			s.violate("not-run", fmt.Sprintf("%s %s was told to have not run, and ran %d times", o.kind, o.id, n))
		}
	}
	s.confirmBudget(runs)
	for id := range runs {
		if !known[id] {
			s.violate("asked-for", fmt.Sprintf("%q ran and no caller sent it", id))
		}
	}
}

// confirmBudget compares the repeats of the whole run with what the budget allows
// in as many windows as the run touches.
func (s *run) confirmBudget(runs map[string]int) {
	repeats := 0
	for _, n := range runs {
		repeats += max(n-1, 0)
	}
	windows := int(time.Since(s.start)/budgetWindow) + 1
	if most := int(standin.RetryRatio*float64(len(s.outcomes))) + windows*retrySlack; repeats > most {
		s.violate("retry-budget", fmt.Sprintf("%d runs again of %d requests, %d allowed", repeats, len(s.outcomes), most))
	}
}

func (s *run) result(calm time.Time) Result {
	res := Result{Requests: len(s.outcomes), Violations: s.violations}
	inCalm, good := 0, 0
	for _, o := range s.outcomes {
		served := o.err == nil && o.status == 200
		if served {
			res.Served++
		}
		if o.began.After(calm) {
			inCalm++
			if served {
				good++
			}
		}
	}
	if inCalm > 0 {
		res.CalmServed = float64(good) / float64(inCalm)
	}
	if res.CalmServed < leastCalm {
		res.Violations = append(res.Violations, Violation{"recovers", fmt.Sprintf("%.3f of the requests are served in the calm end", res.CalmServed), time.Since(s.start)})
	}
	return res
}

// leastCalm is the share of requests that must be served in the calm end.
const leastCalm = 0.99

func (s *run) violate(promise, detail string) {
	v := Violation{promise, detail, time.Since(s.start)}
	s.note("violation promise=%s detail=%q", promise, detail)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, v)
}

// note writes a line to the run's log.
func (s *run) note(format string, args ...any) {
	line := fmt.Sprintf("at=%v "+format+"\n", append([]any{time.Since(s.start).Round(time.Millisecond)}, args...)...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := io.WriteString(s.opts.Log, line); err != nil {
		panic(errors.Wrap(err, "write the log of a run")) // a run without a log finds nothing
	}
}
