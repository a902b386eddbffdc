package fleetsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/platform/standin"
)

// Options describe one run.
type Options struct {
	Seed                uint64
	Duration            time.Duration // of the fault phase; a fault-free phase follows
	Gateways            int           // number of processes
	Replicas            int           // of each service
	Callers             int
	MaxConcurrentFaults int
	Grace               time.Duration // of a gateway, from SIGTERM to its exit; 0: defaultGrace
	Binary              string        // program whose platform-gateway command is run
	Dir                 string        // for settings and logs
	Log                 io.Writer
}

// Violation is a broken promise that a run found.
type Violation struct {
	Promise, Detail string
	At              time.Duration // since the start
}

// Result is the outcome of a run.
type Result struct {
	Requests, Served int
	FaultFreeServed  float64 // served share of the requests in the fault-free phase
	Violations       []Violation
}

// run is one run in progress.
type run struct {
	opts   Options
	fleet  *fleet
	start  time.Time
	events int // of a complete stream

	storeImpairedUntil atomic.Int64 // end of the latest store fault, as time since start
	configMu           sync.Mutex

	mu         sync.Mutex
	outcomes   []*outcome
	violations []Violation
}

// faultFreeTime is the length of the fault-free phase, which begins when the
// fleet has settled.
const faultFreeTime = 3 * time.Second

// Run runs one seed. The error is a failure of the run itself; violations are in
// the result.
func Run(o Options) (Result, error) {
	if o.Grace == 0 {
		o.Grace = defaultGrace
	}
	return onFleet(o, runFaults)
}

// onFleet passes a started fleet to a run, and stops it in the end.
func onFleet(o Options, run func(Options, *fleet) (Result, error)) (res Result, err error) {
	f, err := startFleet(o, o.Dir)
	defer func() {
		if closeErr := f.close(); err == nil {
			err = closeErr
		}
	}()
	if err != nil {
		return Result{}, err
	}
	return run(o, f)
}

func runFaults(o Options, f *fleet) (Result, error) {
	s := &run{opts: o, fleet: f, start: time.Now(), events: f.replicas[0].Events}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { s.call(ctx, n, rand.New(rand.NewPCG(o.Seed, uint64(n)+100))) })
	}
	var evacuating sync.WaitGroup
	evacuating.Go(s.evacuateInTurn)
	failed := s.inSeries(maxFaultPause, s.injectFault)
	evacuating.Wait()
	if failed == nil {
		failed = s.settle()
	}
	faultFreeFrom, before := time.Now(), s.fleet.plainRuns()
	time.Sleep(faultFreeTime)
	cancel()
	callers.Wait()
	s.checkRuns()
	s.checkReturned(before)
	return s.result(faultFreeFrom), failed
}

// maxFaultPause is the longest time between two faults of a series.
const maxFaultPause = 400 * time.Millisecond

// inSeries calls step again and again for opts.Duration, with random pauses of up to
// maxPause, in opts.MaxConcurrentFaults goroutines, each with its own random numbers. It
// returns the first error.
func (s *run) inSeries(maxPause time.Duration, step func(*rand.Rand) error) error {
	end := s.start.Add(s.opts.Duration)
	failed := make(chan error, s.opts.MaxConcurrentFaults)
	var wg sync.WaitGroup
	for n := range s.opts.MaxConcurrentFaults {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(n)))
			for time.Now().Before(end) {
				if err := step(rng); err != nil {
					failed <- err
					return
				}
				time.Sleep(time.Duration(rng.IntN(int(maxPause.Milliseconds()))) * time.Millisecond)
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

// settle heals the replicas, waits until all gateways are ready, and gives them
// settleTime to converge.
func (s *run) settle() error {
	for _, r := range s.fleet.replicas {
		r.ClearFaults()
		r.SetRepeats(false)
	}
	for _, p := range s.fleet.gateways {
		if err := p.waitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	s.checkConfiguration()
	return nil
}

// checkConfiguration checks that the last version of the configuration is in force at
// all gateways: its own route is served, and that of the version before is not.
func (s *run) checkConfiguration() {
	transport := &http.Transport{DisableKeepAlives: true}
	for _, p := range s.fleet.gateways {
		for version, want := range map[int]int{s.fleet.version: http.StatusOK, s.fleet.version - 1: http.StatusNotFound} {
			o := s.send(transport, p, fmt.Sprintf("v%d", version), fmt.Sprintf("config-%s-%d", p.name, version))
			s.keep(o)
			if o.status != want {
				s.recordViolation("config-in-force", fmt.Sprintf("%s answers the route of version %d with %d, want %d: %v", p.name, version, o.status, want, o.err))
			}
		}
	}
}

// checkRuns compares the outcomes that callers saw with the replicas' records
// of runs.
func (s *run) checkRuns() {
	runs := make(map[string]int)
	for _, r := range s.fleet.replicas {
		for _, record := range r.Runs() {
			runs[record.RequestID]++
		}
	}
	known := make(map[string]bool, len(s.outcomes))
	for _, o := range s.outcomes {
		known[o.id] = true
		n := runs[o.id]
		if o.kind == standin.KindUnsafe && n > 1 {
			s.recordViolation("at-most-once", fmt.Sprintf("%s ran %d times", o.id, n))
		}
		if o.promisesNotRun() && n > 0 {
			s.recordViolation("not-run", fmt.Sprintf("the caller of %s %s was told that it had not run, but it ran %d times", o.kind, o.id, n))
		}
	}
	s.checkRetryBudget(runs)
	for id := range runs {
		if !known[id] {
			s.recordViolation("asked-for", fmt.Sprintf("%q ran and no caller sent it", id))
		}
	}
}

// checkRetryBudget compares the retries of the whole run with the budget for all
// windows that the run overlaps.
func (s *run) checkRetryBudget(runs map[string]int) {
	retries := 0
	for _, n := range runs {
		retries += max(n-1, 0)
	}
	windows := int(time.Since(s.start)/budgetWindow) + 1
	if allowed := int(standin.RetryRatio*float64(len(s.outcomes))) + windows*retriesPerWindow; retries > allowed {
		s.recordViolation("retry-budget", fmt.Sprintf("%d retries for %d requests, %d allowed", retries, len(s.outcomes), allowed))
	}
}

func (s *run) result(faultFreeFrom time.Time) Result {
	res := Result{Requests: len(s.outcomes), Violations: s.violations}
	faultFreeRequests, faultFreeServed := 0, 0
	for _, o := range s.outcomes {
		served := o.served()
		if served {
			res.Served++
		}
		if o.began.After(faultFreeFrom) {
			faultFreeRequests++
			if served {
				faultFreeServed++
			}
		}
	}
	if faultFreeRequests > 0 {
		res.FaultFreeServed = float64(faultFreeServed) / float64(faultFreeRequests)
	}
	if res.FaultFreeServed < minFaultFreeServed {
		res.Violations = append(res.Violations, Violation{"recovers", fmt.Sprintf("%.3f of the requests are served in the fault-free phase", res.FaultFreeServed), time.Since(s.start)})
	}
	return res
}

// minFaultFreeServed is the minimum share of requests served in the fault-free
// phase.
const minFaultFreeServed = 0.99

func (s *run) recordViolation(promise, detail string) {
	v := Violation{promise, detail, time.Since(s.start)}
	s.logf("violation promise=%s detail=%q", promise, detail)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, v)
}

// logf writes a line to the run's log.
func (s *run) logf(format string, args ...any) {
	line := fmt.Sprintf("at=%v "+format+"\n", append([]any{time.Since(s.start).Round(time.Millisecond)}, args...)...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := io.WriteString(s.opts.Log, line); err != nil {
		panic(errors.Wrap(err, "write the log of a run")) // without its log a run can't be analysed
	}
}
