package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/load"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// Bounds of a load run.
const (
	maxLoadRate     = 100_000 // requests per second
	maxLoadDuration = 24 * time.Hour
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	targets     []string
	deployment  string
	rate        float64
	bursts      bool
	noLong      bool
	seed        uint64
	duration    time.Duration
	maxRequests uint64
	maxInFlight int
	keysFile    string
	jsonFile    string
	checkAnswer bool
	quiet       bool
}

// registerLoad adds the load command to the command line.
func registerLoad(app *kingpin.Application) {
	f := &loadFlags{}
	cmd := app.Command("load", "Send a workload to running entries and measure what callers see. Requests are sent when they are due, without waiting for earlier answers, and times count from then.")
	cmd.Flag("target", "Base URL of an entry; repeat for several, which are used round-robin.").Required().StringsVar(&f.targets)
	cmd.Flag("deployment", "Deployment whose workload to send: atitlan or sanabil.").Default("atitlan").EnumVar(&f.deployment, "atitlan", "sanabil")
	cmd.Flag("rate", "Mean number of requests per second.").Default("20").Float64Var(&f.rate)
	cmd.Flag("bursts", "Double the arrival rate in short bursts; the mean stays the same.").BoolVar(&f.bursts)
	cmd.Flag("no-long", "Leave out prompts above 100,000 tokens.").BoolVar(&f.noLong)
	cmd.Flag("seed", "Seed of the workload; the same seed gives the same requests.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("for", "How long to send requests.").Default("30s").DurationVar(&f.duration)
	cmd.Flag("max-requests", "Stop after this many requests; 0: no bound.").Default("0").Uint64Var(&f.maxRequests)
	cmd.Flag("max-in-flight", "Largest number of requests in flight; further ones are held back, and the wait counts in their times.").Default("2000").IntVar(&f.maxInFlight)
	cmd.Flag("keys", "JSON file with the keys of the client accounts; by default the example keys of the deployment.").ExistingFileVar(&f.keysFile)
	cmd.Flag("json", "Also write the result as JSON to this file; - for standard output.").StringVar(&f.jsonFile)
	cmd.Flag("check-answers", "Compare answers with those of the engine stand-in.").BoolVar(&f.checkAnswer)
	cmd.Flag("quiet", "Show no progress.").BoolVar(&f.quiet)
	cmd.Action(func(*kingpin.ParseContext) error { return runLoad(f, os.Stdout, os.Stderr) })
}

func runLoad(f *loadFlags, out, progress io.Writer) error {
	cfg, err := f.config()
	if err != nil {
		return err
	}
	if !f.quiet {
		cfg.Progress = progress
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if err := f.writeJSON(result, out); err != nil {
		return err
	}
	if f.jsonFile == "-" {
		return nil
	}
	return result.WriteText(out)
}

func (f *loadFlags) config() (load.Config, error) {
	if f.rate <= 0 || f.rate > maxLoadRate {
		return load.Config{}, errors.Errorf("--rate is %v: want more than 0 and at most %d requests per second", f.rate, maxLoadRate)
	}
	if f.duration <= 0 || f.duration > maxLoadDuration {
		return load.Config{}, errors.Errorf("--for is %v: want more than 0 and at most %v", f.duration, maxLoadDuration)
	}
	keys, err := f.keys()
	if err != nil {
		return load.Config{}, err
	}
	w, err := f.workload(keys)
	if err != nil {
		return load.Config{}, err
	}
	cfg := load.Config{
		Targets:     f.targets,
		Keys:        make(map[wire.AccountID]string, len(keys)),
		Workload:    w,
		Duration:    f.duration,
		MaxRequests: f.maxRequests,
		MaxInFlight: f.maxInFlight,
		CheckAnswer: f.checkAnswer,
	}
	for _, k := range keys {
		cfg.Keys[k.Account] = k.Key
	}
	return cfg, nil
}

func (f *loadFlags) workload(keys []examples.Key) (workload.Config, error) {
	d, err := workload.DeploymentByName(f.deployment)
	if err != nil {
		return workload.Config{}, err
	}
	ids := make([]wire.AccountID, 0, len(keys))
	for _, k := range keys {
		ids = append(ids, k.Account)
	}
	cfg := workload.Config{
		Deployment: d,
		Rate:       f.rate,
		Mix:        workload.DefaultMix(),
		Accounts:   workload.AccountsWithShares(ids),
		Seed:       f.seed,
	}
	cfg.Mix.OmitLong = f.noLong
	if f.bursts {
		cfg.Burst = workload.DefaultBurst()
	}
	return cfg, nil
}

func (f *loadFlags) keys() ([]examples.Key, error) {
	if f.keysFile == "" {
		d, ok := examples.Find(f.deployment)
		if !ok {
			return nil, errors.Errorf("no example deployment %q", f.deployment)
		}
		return d.Keys()
	}
	raw, err := os.ReadFile(f.keysFile)
	if err != nil {
		return nil, errors.Wrap(err, "read --keys")
	}
	var keys []examples.Key
	if err := json.Unmarshal(raw, &keys); err != nil {
		return nil, errors.Wrapf(err, "decode keys in %s", f.keysFile)
	}
	return keys, nil
}

func (f *loadFlags) writeJSON(result *load.Result, out io.Writer) error {
	switch f.jsonFile {
	case "":
		return nil
	case "-":
		return result.WriteJSON(out)
	}
	file, err := os.Create(f.jsonFile)
	if err != nil {
		return errors.Wrap(err, "create result file")
	}
	if err := result.WriteJSON(file); err != nil {
		file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write result")
}
