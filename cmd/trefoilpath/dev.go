package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/examples"
	"trefoilpath.org/trefoilpath/internal/dev"
	"trefoilpath.org/trefoilpath/internal/logging"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// maxDevRate is the highest accepted value of --rate.
const maxDevRate = 1000 // requests per second

// devFlags are the flags of the dev command.
type devFlags struct {
	deployment string
	duration   time.Duration
	listen     string
	rate       float64
	seed       uint64
	logLevel   string
}

// registerDev adds the command that runs a whole deployment in one process.
func registerDev(app *kingpin.Application) {
	f := &devFlags{}
	cmd := app.Command("dev", "Run an example deployment in one process on loopback, with stand-ins for the platform, the engines and the services, and send load to it.")
	cmd.Flag("deployment", "Example to run: atitlan or sanabil.").Default("atitlan").EnumVar(&f.deployment, "atitlan", "sanabil")
	cmd.Flag("for", "How long to send requests; 0: until SIGINT or SIGTERM.").Default("0s").DurationVar(&f.duration)
	cmd.Flag("listen", "Address at which the first entry accepts callers.").Default("127.0.0.1:8080").StringVar(&f.listen)
	cmd.Flag("rate", "Requests per second.").Default("10").Float64Var(&f.rate)
	cmd.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("log-level", "Events to log on standard error: debug, info, warn or error.").Default("error").EnumVar(&f.logLevel, "debug", "info", "warn", "error")
	cmd.Action(func(*kingpin.ParseContext) error { return runDev(f) })
}

func runDev(f *devFlags) error {
	if f.rate <= 0 || f.rate > maxDevRate {
		return errors.Errorf("--rate is %v: want more than 0 and at most %d requests per second", f.rate, maxDevRate)
	}
	if f.duration < 0 {
		return errors.Errorf("--for is %v: want 0 or more", f.duration)
	}
	d, ok := examples.Find(f.deployment)
	if !ok {
		return errors.Errorf("no example deployment %q", f.deployment)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return dev.Run(ctx, dev.Config{
		Deployment: d,
		Listen:     f.listen,
		Duration:   f.duration,
		Rate:       f.rate,
		Seed:       f.seed,
		Mix:        workload.DefaultMix(),
		Out:        os.Stdout,
		Log:        logging.New(os.Stderr, f.logLevel),
	})
}
