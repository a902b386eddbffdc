package dev

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/load"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// Times of a development run.
const (
	readyTimeout = 30 * time.Second
	readyPoll    = 100 * time.Millisecond // between checks for readiness
	loadDrain    = 30 * time.Second       // for the requests in flight when the load ends
	reclaimWait  = 10 * time.Second       // for engines to free the memory of abandoned requests
	unbounded    = 365 * 24 * time.Hour   // load duration if Config.Duration is 0
)

// Config describes a development run.
type Config struct {
	Deployment examples.Deployment
	Listen     string        // address of the first entry for callers
	Duration   time.Duration // how long requests are sent; 0: until the context ends
	Rate       float64       // requests per second
	Seed       uint64
	Mix        workload.Mix
	Out        io.Writer // receives text for a person: addresses, progress and result
	Log        zerolog.Logger

	injectFaults func(ctx context.Context, p *platform) // runs while load is sent; only tests set it
}

// Run starts the deployment, sends load to it and stops it again. It returns an
// error if the deployment does not become ready, if no request completes although
// ctx has not ended, or if a guarantee is violated: a wrong answer, a wrong usage
// count, a keyed service call that ran twice, or engine memory that was not freed.
func Run(ctx context.Context, cfg Config) error {
	p, err := startPlatform(cfg.Deployment)
	if err != nil {
		return err
	}
	defer p.close()
	if _, err := p.acceptLists(ctx, cfg.Deployment); err != nil {
		return err
	}
	f, err := newFleet(cfg, p)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error {
		defer stop()
		return f.run(running)
	})
	result, runErr := cfg.exercise(ctx, running, p, f)
	stop()
	if err := g.Wait(); err != nil {
		return err
	}
	if runErr != nil {
		return runErr
	}
	return cfg.checkResult(ctx, p, result)
}

// exercise waits until the deployment is ready, sends the load, and waits until the
// engines have freed their memory, at most reclaimWait. running ends when the
// processes of the fleet have stopped, as they do if one fails.
func (cfg Config) exercise(ctx, running context.Context, p *platform, f *fleet) (*load.Result, error) {
	fmt.Fprintf(cfg.Out, "Starting %s: %d entries, %d engines, %d services.\n",
		cfg.Deployment.Name, len(f.entries), cfg.Deployment.Model.Count, cfg.Deployment.Service.Count)
	if err := f.awaitReady(ctx, running, len(p.endpoints)); err != nil {
		return nil, err
	}
	keys, err := cfg.Deployment.Keys()
	if err != nil {
		return nil, err
	}
	cfg.printAddresses(p, f, keys[0].Key)
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(running, cancel)()
	loadCfg, err := cfg.load(f, keys)
	if err != nil {
		return nil, err
	}
	faultsEnded := cfg.startFaults(loadCtx, p)
	result, err := load.Run(loadCtx, loadCfg)
	<-faultsEnded
	if err != nil {
		return nil, err
	}
	p.awaitFree(running, reclaimWait)
	return result, nil
}

// startFaults runs injectFaults in the background, if it is set, and returns a
// channel that is closed when it has ended.
func (cfg Config) startFaults(ctx context.Context, p *platform) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if cfg.injectFaults != nil {
			cfg.injectFaults(ctx, p)
		}
	}()
	return ended
}

// load returns the configuration of the load generator.
func (cfg Config) load(f *fleet, keys []examples.Key) (load.Config, error) {
	deployment, err := workload.DeploymentByName(cfg.Deployment.Name)
	if err != nil {
		return load.Config{}, err
	}
	ids := make([]wire.AccountID, 0, len(keys))
	byAccount := make(map[wire.AccountID]string, len(keys))
	for _, k := range keys {
		ids = append(ids, k.Account)
		byAccount[k.Account] = k.Key
	}
	duration := cfg.Duration
	if duration == 0 {
		duration = unbounded
	}
	return load.Config{
		Targets: f.callerURLs(),
		Keys:    byAccount,
		Workload: workload.Config{
			Deployment: deployment,
			Rate:       cfg.Rate,
			Mix:        cfg.Mix,
			Accounts:   workload.AccountsWithShares(ids),
			Seed:       cfg.Seed,
		},
		Duration:         duration,
		DrainTimeout:     loadDrain,
		CheckAnswer:      true,
		Progress:         cfg.Out,
		ProgressInterval: progressInterval(cfg.Duration),
	}, nil
}

// Intervals between lines of progress, in runs up to a minute and in longer ones.
const (
	shortProgress = time.Second
	longProgress  = 10 * time.Second
)

func progressInterval(run time.Duration) time.Duration {
	if run == 0 || run > time.Minute {
		return longProgress
	}
	return shortProgress
}

// printAddresses prints the addresses of the deployment and commands that send a
// request with the given key.
func (cfg Config) printAddresses(p *platform, f *fleet, key string) {
	d := cfg.Deployment
	url := f.callerURLs()[0]
	fmt.Fprintf(cfg.Out, "Ready. Callers' addresses: %v\n", f.callerURLs())
	fmt.Fprintf(cfg.Out, "Operators' addresses: %v, key %s\n", f.operatorURLs(), OperatorKey)
	fmt.Fprintf(cfg.Out, "Store: %s\n", p.store.URL())
	fmt.Fprintf(cfg.Out, "Try:\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":32,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n",
		url, key, d.Model.Name)
	fmt.Fprintf(cfg.Out, "  curl %s/services/%s/stock -H 'Authorization: Bearer %s'\n", url, d.Service.Name, key)
}

// checkResult prints the result and returns an error if a guarantee was violated, as
// far as the answers and the stand-ins show it.
func (cfg Config) checkResult(ctx context.Context, p *platform, result *load.Result) error {
	if err := result.WriteText(cfg.Out); err != nil {
		return err
	}
	doubled, held := p.doubled(), p.heldTokens()
	fmt.Fprintf(cfg.Out, "Doubled service calls: %d. KV cache tokens still held by engines: %d.\n", doubled, held)
	switch {
	case result.Completed == 0 && ctx.Err() == nil:
		return errors.New("no request completed")
	case result.Wrong > 0:
		return errors.Errorf("%d answers differ from the text that the engine stand-ins generate", result.Wrong)
	case result.Miscounted > 0:
		return errors.Errorf("%d answers have a usage count that differs from the tokens received", result.Miscounted)
	case doubled > 0:
		return errors.Errorf("%d service calls with an idempotency key ran more than once", doubled)
	case held > 0:
		return errors.Errorf("engines still hold %d KV cache tokens with nothing in flight", held)
	}
	return nil
}
