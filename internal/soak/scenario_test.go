package soak

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilpath.org/trefoilpath/internal/scripttest"
	"trefoilpath.org/trefoilpath/internal/wire"
	"trefoilpath.org/trefoilpath/internal/workload"
)

var traceScenarios = flag.Bool("trace", false, "print the events of every scenario")

const scenarioDir = "../../scenarios"

// TestScenarios runs the scripts under scenarios, each in its own World.
func TestScenarios(t *testing.T) {
	testscript.Run(t, scenarioParams("", scenarioFiles(t)...))
}

// TestScenariosNeedTheirMechanisms checks that each scenario fails without each
// mechanism that it names in a line "# needs:".
func TestScenariosNeedTheirMechanisms(t *testing.T) {
	for _, file := range scenarioFiles(t) {
		names := scripttest.NeededMechanisms(t, file)
		if len(names) == 0 {
			t.Errorf("%s names no mechanism", file)
		}
		for _, name := range names {
			t.Run(filepath.Base(file)+" without "+name, func(t *testing.T) {
				if !scripttest.Fails(scenarioParams(name, file)) {
					t.Error("the scenario passes without the mechanism")
				}
			})
		}
	}
}

func scenarioFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	return files
}

// scenarioParams returns the parameters for running scripts with the given
// mechanism disabled; none if without is empty.
func scenarioParams(without string, files ...string) testscript.Params {
	return testscript.Params{
		Files: files,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":  scenarioCommand((*scenario).start),
			"offer":  scenarioCommand((*scenario).offer),
			"crash":  scenarioCommand((*scenario).kill),
			"pause":  scenarioCommand((*scenario).pause),
			"leave":  scenarioCommand((*scenario).leave),
			"hang":   scenarioCommand((*scenario).hang),
			"break":  scenarioCommand((*scenario).breakNode),
			"cut":    scenarioCommand((*scenario).cut),
			"heal":   scenarioCommand((*scenario).heal),
			"hangup": scenarioCommand((*scenario).hangUp),
			"edit":   scenarioCommand((*scenario).edit),
			"await":  scenarioCommand((*scenario).wait),
			"expect": scenarioCommand((*scenario).expect),
			"audit":  scenarioCommand((*scenario).audit),
		},
		Setup: func(env *testscript.Env) error {
			env.Values[scenarioKey{}] = &scenario{without: without, calls: make(map[string]*call)}
			return nil
		},
	}
}

type scenarioKey struct{}

// scenario is the state of one script.
type scenario struct {
	world   *World
	without string
	calls   map[string]*call
	next    uint64
}

// scenarioCommand turns a method into a script command. The script fails if the
// method returns an error, or, for a negated command, if it does not.
func scenarioCommand(f func(s *scenario, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(scenarioKey{}).(*scenario)
		err := f(s, args)
		if s.world != nil && *traceScenarios {
			for _, l := range s.world.journal.trace(traceLines, func(line) bool { return true }) {
				fmt.Fprintln(os.Stderr, l)
			}
		}
		if neg == (err == nil) {
			ts.Fatalf("%v", err)
		}
	}
}

// start starts a run and its warm-up: start DEPLOYMENT [seed=N].
func (s *scenario) start(args []string) error {
	opts := Options{Seed: 1, Load: DefaultLoad, Mix: workload.DefaultMix(), Policy: PolicyTrefoilpath}
	d, err := workload.DeploymentByName(args[0])
	if err != nil {
		return err
	}
	opts.Deployment = d
	if s.without != "" {
		opts.DisabledMechanisms = []string{s.without}
	}
	if value, ok := settings(args[1:])["seed"]; ok {
		if opts.Seed, err = strconv.ParseUint(value, 10, 64); err != nil {
			return err
		}
	}
	if s.world, err = New(opts); err != nil {
		return err
	}
	s.world.recoverInvariant(s.world.start)
	s.world.runUntil(warmUp)
	return s.broken()
}

// settings parses arguments of the form key=value or key.
func settings(args []string) map[string]string {
	out := make(map[string]string)
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		out[key] = value
	}
	return out
}

func (s *scenario) broken() error {
	v := s.world.violation
	if v == nil {
		return nil
	}
	return fmt.Errorf("%s broken at %v for %s: %s\n%s", v.Promise, v.At, v.Subject, v.Detail, strings.Join(v.Trace, "\n"))
}

// offer sends a request: offer NAME prompt=N output=N, or offer NAME write|read
// [key=K] [body=N]; with [account=A] [deadline=D] [entry=E].
func (s *scenario) offer(args []string) error {
	w := s.world
	set := settings(args[1:])
	s.next++
	r := &workload.Request{Number: s.next, Account: w.lists.Plans.Accounts[0].ID, BodyDigest: s.next * 7919}
	if a, ok := set["account"]; ok {
		r.Account = wire.AccountID(a)
	}
	r.Deadline, _ = time.ParseDuration(set["deadline"])
	d := w.opts.Deployment
	_, write := set["write"]
	_, read := set["read"]
	switch {
	case write || read:
		kind := d.Write
		if read {
			kind = d.Read
		}
		r.Kind = wire.KindService
		r.Repeatable = read
		r.BodyBytes = 100
		r.Call = &wire.ServiceCall{Service: d.Service, Method: kind.Method, Path: kind.Path, IdempotencyKey: set["key"]}
		if body, ok := set["body"]; ok {
			r.BodyDigest, _ = strconv.ParseUint(body, 10, 64)
		}
	default:
		r.Kind = wire.KindEngine
		r.Model = d.Model
		r.Repeatable = true
		r.PromptTokens, _ = strconv.ParseInt(set["prompt"], 10, 64)
		r.OutputTokens, _ = strconv.ParseInt(set["output"], 10, 64)
		r.MaxOutput = r.OutputTokens
		r.BodyBytes = r.PromptTokens * workload.BytesPerToken
	}
	e := w.callers.choose()
	if id, ok := set["entry"]; ok {
		e = w.entryByID(wire.NodeID(id))
	}
	if e == nil {
		return fmt.Errorf("the load balancer has no ready entry")
	}
	c := w.callers.newCall(r, maxTries)
	s.calls[args[0]] = c
	w.callers.send(c, e)
	return nil
}

// wait runs the clock for a time, or until a request has reached a state or has
// ended: await DURATION, await NAME running|streaming|ended.
func (s *scenario) wait(args []string) error {
	w := s.world
	if len(args) == 1 {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		w.runUntil(w.clock.Now() + d)
		return s.broken()
	}
	c := s.calls[args[0]]
	states := map[string]func() bool{
		"running":   func() bool { return c.ran || c.ended },
		"streaming": func() bool { return c.delivered > 1 || c.ended },
		"ended":     func() bool { return c.ended },
	}
	end := w.clock.Now() + maxScenarioWait
	for !states[args[1]]() && w.clock.Now() < end && !w.stopped() {
		w.runUntil(w.clock.Now() + time.Millisecond)
	}
	return s.broken()
}

// expect checks a request: expect NAME CHECK..., where CHECK is an outcome,
// code=CODE, runs=N, attempts=N or within=D; an entry or agent:
// expect NODE revision=N; or the tokens that all engines hold: expect engines
// held=N.
func (s *scenario) expect(args []string) error {
	c := s.calls[args[0]]
	if c == nil {
		return s.expectNode(args)
	}
	for _, want := range args[1:] {
		if err := s.expectCall(c, want); err != nil {
			return fmt.Errorf("request %s: %w", args[0], err)
		}
	}
	return nil
}

func (s *scenario) expectCall(c *call, want string) error {
	key, value, _ := strings.Cut(want, "=")
	var got string
	switch key {
	case "runs":
		got = strconv.Itoa(s.world.audit.runs[keyOf(c)])
	case "attempts":
		got = strconv.Itoa(len(c.attempts))
	case "code":
		got = c.code.String()
	case "within":
		d, err := time.ParseDuration(value)
		if err != nil || !c.ended || c.endedAt-c.sent > d {
			return fmt.Errorf("ended %t after %v, want within %s", c.ended, c.endedAt-c.sent, value)
		}
		return nil
	default:
		value = want
		got = c.state()
	}
	if got != value {
		return fmt.Errorf("%s is %s (code %s), want %s", key, got, c.code, value)
	}
	return nil
}

// held returns the tokens that all engines hold for sequences and handles.
func (s *scenario) held() int64 {
	var sum int64
	for _, a := range s.world.engines() {
		for _, h := range a.engine.held() {
			sum += h.Tokens
		}
	}
	return sum
}

func (s *scenario) expectNode(args []string) error {
	if args[0] == "engines" {
		if want := settings(args[1:])["held"]; strconv.FormatInt(s.held(), 10) != want {
			return fmt.Errorf("the engines hold %d tokens, want %s", s.held(), want)
		}
		return nil
	}
	value, ok := settings(args[1:])["revision"]
	if !ok {
		return fmt.Errorf("request %s does not exist", args[0])
	}
	var got uint64
	if e, err := s.findEntry(args[0]); err == nil {
		got = e.revision
	} else if a, err := s.findAgent(args[0]); err == nil {
		got = a.revision
	} else {
		return err
	}
	if strconv.FormatUint(got, 10) != value {
		return fmt.Errorf("%s is at revision %d, want %s", args[0], got, value)
	}
	return nil
}

// audit ends a run: it ends the faults (see faults.end), waits for open calls and
// checks all promises.
func (s *scenario) audit([]string) error {
	w := s.world
	w.recoverInvariant(w.faults.end)
	w.settle()
	if !w.stopped() {
		w.recoverInvariant(w.audit.checkIdle)
	}
	return s.broken()
}

// state returns the outcome of the call as its caller sees it.
func (c *call) state() string {
	switch {
	case c.gone:
		return "gone"
	case c.lost:
		return "lost"
	case !c.ended:
		return "open"
	}
	return c.outcome.String()
}
