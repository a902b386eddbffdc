package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/experiment"
	"trefoilpath.org/trefoilpath/internal/report"
	"trefoilpath.org/trefoilpath/internal/soak"
	"trefoilpath.org/trefoilpath/internal/workload"
)

// experimentCommand holds the flags of the experiment command.
type experimentCommand struct {
	deployment string
	seed       uint64
	seeds      int
	parallel   int
	loads      string
	policies   string
	faults     string
	long       string
	floor      bool
	virtual    time.Duration
	dir        string
	out        io.Writer
}

const (
	flagOn  = "on"
	flagOff = "off"
	// faultsBoth is the value of --faults for runs without faults and runs with them.
	faultsBoth = "both"
)

// registerExperiment adds the experiment command to the command line.
func registerExperiment(app *kingpin.Application) {
	(&experimentCommand{out: os.Stdout}).register(app)
}

func (c *experimentCommand) register(app *kingpin.Application) {
	cmd := app.Command("experiment", "Compare routing and queueing policies on the same workload.")
	cmd.Flag("deployment", "Deployment to run: atitlan or sanabil.").Default("atitlan").EnumVar(&c.deployment, "atitlan", "sanabil")
	cmd.Flag("seed", "First seed.").Default("1").Uint64Var(&c.seed)
	cmd.Flag("seeds", "Number of consecutive seeds.").Default("1").IntVar(&c.seeds)
	cmd.Flag("parallel", "Number of concurrent runs.").Default("2").IntVar(&c.parallel)
	cmd.Flag("load", "Loads in percent of the deployment's capacity, separated by commas.").Default("50,70,85,100,120").StringVar(&c.loads)
	cmd.Flag("policy", "Policies, separated by commas; by default all.").StringVar(&c.policies)
	cmd.Flag("faults", "Faults to inject: none, mixed (all kinds), or both for runs of each.").Default(string(experiment.FaultsNone)).EnumVar(&c.faults, string(experiment.FaultsNone), string(experiment.FaultsMixed), faultsBoth)
	cmd.Flag("long", "Include prompts above 100,000 tokens.").Default(flagOn).EnumVar(&c.long, flagOn, flagOff)
	cmd.Flag("floor", "With --long on: also measure the slowdown of short requests between two runs without long prompts that differ in random choices only.").BoolVar(&c.floor)
	cmd.Flag("virtual", "Virtual time during which a run sends requests.").Default(experiment.DefaultVirtualDuration.String()).DurationVar(&c.virtual)
	cmd.Flag("out", "Directory for the results.").Required().StringVar(&c.dir)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run() })
}

func (c *experimentCommand) run() error {
	m, err := c.matrix()
	if err != nil {
		return err
	}
	began := time.Now()
	rows, err := m.Run(func(cell experiment.Cell, took time.Duration, _ []report.Row) {
		fmt.Fprintf(c.out, "%s load=%.0f%% faults=%s seed=%d policy=%s took=%.1fs\n",
			cell.Deployment.Name, cell.Load*100, cell.Faults, cell.Seed, cell.Policy, took.Seconds())
	})
	if err != nil {
		return err
	}
	results := report.Results{Rows: rows}
	if err := results.WriteText(c.out); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d rows in %.1fs\n", len(rows), time.Since(began).Seconds())
	return c.write(results)
}

// Files that an experiment writes to its directory.
const (
	resultsFile = "results.json"
	tableFile   = "results.txt"
	pageFile    = "report.html"
)

func (c *experimentCommand) write(results report.Results) error {
	if err := os.MkdirAll(c.dir, 0o755); err != nil {
		return errors.Wrap(err, "create results directory")
	}
	info := report.Info{Title: "Policies on " + c.deployment, Command: c.command()}
	files := []struct {
		name  string
		write func(io.Writer) error
	}{
		{resultsFile, results.WriteJSON},
		{tableFile, results.WriteText},
		{pageFile, func(w io.Writer) error { return results.WriteHTML(w, info) }},
	}
	for _, f := range files {
		if err := writeFile(filepath.Join(c.dir, f.name), f.write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create results file")
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "write results")
}

// command returns the command line that repeats the experiment.
func (c *experimentCommand) command() string {
	line := fmt.Sprintf("trefoilpath experiment --deployment %s --seed %d --seeds %d --load %s --faults %s --long %s --virtual %s --out DIR",
		c.deployment, c.seed, c.seeds, c.loads, c.faults, c.long, c.virtual)
	if c.floor {
		line += " --floor"
	}
	if c.policies != "" {
		line += " --policy " + c.policies
	}
	return line
}

func (c *experimentCommand) matrix() (experiment.Matrix, error) {
	m := experiment.Matrix{IncludeLong: c.long == flagOn, MeasureFloor: c.floor, VirtualDuration: c.virtual, Parallel: c.parallel}
	var err error
	if m.Deployment, err = workload.DeploymentByName(c.deployment); err != nil {
		return m, err
	}
	if m.Loads, err = parseLoads(c.loads); err != nil {
		return m, err
	}
	if m.Policies, err = parsePolicies(c.policies); err != nil {
		return m, err
	}
	m.Faults = []experiment.Faults{experiment.Faults(c.faults)}
	if c.faults == faultsBoth {
		m.Faults = []experiment.Faults{experiment.FaultsNone, experiment.FaultsMixed}
	}
	for i := range c.seeds {
		m.Seeds = append(m.Seeds, c.seed+uint64(i))
	}
	return m, nil
}

// parseLoads parses percentages separated by commas and returns them as fractions.
func parseLoads(list string) ([]float64, error) {
	var loads []float64
	for _, s := range strings.Split(list, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil || v <= 0 {
			return nil, errors.Errorf("--load: %q is not a positive percentage", s)
		}
		loads = append(loads, v/100)
	}
	return loads, nil
}

// parsePolicies parses policy names separated by commas. An empty list means all.
func parsePolicies(list string) ([]soak.Policy, error) {
	all := soak.Policies()
	if list == "" {
		return all, nil
	}
	var policies []soak.Policy
	for _, s := range strings.Split(list, ",") {
		p := soak.Policy(strings.TrimSpace(s))
		if !slices.Contains(all, p) {
			return nil, errors.Errorf("--policy: %q does not exist: want one or more of %v", s, all)
		}
		policies = append(policies, p)
	}
	return policies, nil
}
