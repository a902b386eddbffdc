package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/soak"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// soakCommand holds the flags of the soak command.
type soakCommand struct {
	deployment string
	seed       uint64
	seeds      int
	parallel   int
	virtual    time.Duration
	load       float64
	faults     string
	faultEvery time.Duration
	without    []string
	jsonFile   string
	out        io.Writer
}

// registerSoak adds the soak command to the command line.
func registerSoak(app *kingpin.Application) {
	(&soakCommand{out: os.Stdout}).register(app)
}

func (c *soakCommand) register(app *kingpin.Application) {
	cmd := app.Command("soak", "Run a whole deployment on a virtual clock under random faults and check its guarantees.")
	cmd.Flag("deployment", "Deployment to run: atitlan or sanabil.").Default("atitlan").EnumVar(&c.deployment, "atitlan", "sanabil")
	cmd.Flag("seed", "First seed.").Default("1").Uint64Var(&c.seed)
	cmd.Flag("seeds", "Number of consecutive seeds to run.").Default("1").IntVar(&c.seeds)
	cmd.Flag("parallel", "Number of seeds to run concurrently.").Default("1").IntVar(&c.parallel)
	cmd.Flag("virtual", "Virtual time during which requests are sent.").Default("1h").DurationVar(&c.virtual)
	cmd.Flag("load", "Load as a fraction of the deployment's capacity.").Default(fmt.Sprint(soak.DefaultLoad)).Float64Var(&c.load)
	cmd.Flag("faults", "Faults to inject, separated by commas; mixed: all kinds; none: no faults.").Default(soak.FaultsMixed).StringVar(&c.faults)
	cmd.Flag("fault-every", "Mean time between faults.").Default(soak.DefaultFaultEvery.String()).DurationVar(&c.faultEvery)
	cmd.Flag("without", "Mechanism of entries or agents to switch off, such as deadline, records or limits; may be repeated.").StringsVar(&c.without)
	cmd.Flag("json", "File for the results as JSON.").StringVar(&c.jsonFile)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run() })
}

func (c *soakCommand) options() (soak.Options, error) {
	d, err := workload.DeploymentByName(c.deployment)
	if err != nil {
		return soak.Options{}, err
	}
	return soak.Options{
		Deployment:         d,
		Seed:               c.seed,
		VirtualTime:        c.virtual,
		Load:               c.load,
		Mix:                workload.DefaultMix(),
		Burst:              workload.DefaultBurst(),
		Faults:             splitFaults(c.faults),
		FaultEvery:         c.faultEvery,
		DisabledMechanisms: c.without,
	}, nil
}

// noFaults is the value of --faults for a run without faults.
const noFaults = "none"

// splitFaults splits the value of --faults.
func splitFaults(list string) []string {
	if list == "" || list == noFaults {
		return nil
	}
	return strings.Split(list, ",")
}

// run runs all seeds. It returns an error if a guarantee was violated in any.
func (c *soakCommand) run() error {
	opts, err := c.options()
	if err != nil {
		return err
	}
	var all []soak.Summary
	violations := 0
	err = soak.RunSeeds(opts, c.seeds, c.parallel, func(f soak.CompletedRun) {
		s := f.Result.Summary()
		s.Write(c.out, f.Took)
		if s.Violation != nil {
			violations++
			fmt.Fprintf(c.out, "repeat with: %s\n", c.command(s.Seed))
		}
		all = append(all, s)
	})
	if err != nil {
		return err
	}
	if err := writeJSON(c.jsonFile, all); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d seeds, %d violations\n", len(all), violations)
	if violations > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee", violations, len(all))
	}
	return nil
}

// command returns the command line that repeats the run of one seed.
func (c *soakCommand) command(seed uint64) string {
	line := fmt.Sprintf("trefoilpath soak --deployment %s --seed %d --virtual %s --load %v --faults %s --fault-every %s",
		c.deployment, seed, c.virtual, c.load, c.faults, c.faultEvery)
	for _, m := range c.without {
		line += " --without " + m
	}
	return line
}

// writeJSON writes v to the file, if one is named.
func writeJSON(file string, v any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), 0o644), "write results")
}
