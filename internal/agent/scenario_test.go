package agent

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const scenarioDir = "testdata/scenarios"

// mechanisms maps the names that scenarios use to the protections.
var mechanisms = map[string]mechanism{
	"fairness":     mechanismFairness,
	"long-bound":   mechanismLongBound,
	"memory-check": mechanismMemoryCheck,
	"reconcile":    mechanismReconcile,
	"deadline":     mechanismDeadline,
	"tombstones":   mechanismTombstones,
	"start-by":     mechanismStartBy,
	"orphans":      mechanismOrphans,
	"order-age":    mechanismOrderAge,
	"fence":        mechanismFence,
	"quiet-time":   mechanismQuietTime,
	"drain":        mechanismDrain,
	"leaving":      mechanismLeaving,
	"stall":        mechanismStall,
	"ageing":       mechanismAgeing,
	"lease":        mechanismLease,
	"floor":        mechanismFloor,
	"stray":        mechanismStray,
}

// scenario is the state of one script: a harness, the configuration of its
// agent and the disabled protections.
type scenario struct {
	*harness
	cfg                Config
	disabledMechanisms mechanism
	offeredAt          map[wire.AttemptID]time.Duration // time of Dispatch
}

func params(disabledMechanisms mechanism, files ...string) testscript.Params {
	return testscript.Params{
		Files: files,
		Setup: func(env *testscript.Env) error {
			env.Values["scenario"] = &scenario{disabledMechanisms: disabledMechanisms, offeredAt: map[wire.AttemptID]time.Duration{}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"agent":   command((*scenario).agent),
			"entry":   command((*scenario).entry),
			"offer":   command((*scenario).offer),
			"body":    command((*scenario).body),
			"cancel":  command((*scenario).cancel),
			"elapse":  command((*scenario).elapse),
			"engine":  command((*scenario).engine),
			"order":   command((*scenario).order),
			"reserve": command((*scenario).reserve),
			"expect":  command((*scenario).expect),
		},
	}
}

// command adapts a method to a script command. A failed invariant fails the
// script like an unmet expectation.
func command(f func(*scenario, args) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, words []string) {
		s := ts.Value("scenario").(*scenario)
		err := recoverPanic(func() error { return f(s, parseArgs(words)) })
		if neg {
			if err == nil {
				ts.Fatalf("unexpected success")
			}
			return
		}
		ts.Check(err)
	}
}

func recoverPanic(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic: %v", v)
		}
	}()
	return f()
}

// args holds the positional words and the key=value words of a command.
type args struct {
	words   []string
	options map[string]string
}

func parseArgs(words []string) args {
	a := args{options: map[string]string{}}
	for _, w := range words {
		if key, value, ok := strings.Cut(w, "="); ok {
			a.options[key] = value
		} else {
			a.words = append(a.words, w)
		}
	}
	return a
}

func (a args) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	return ""
}

func (a args) str(key, def string) string {
	if v, ok := a.options[key]; ok {
		return v
	}
	return def
}

func (a args) num(key string, def int64) int64 {
	v, ok := a.options[key]
	if !ok {
		return def
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func (a args) dur(key string, def time.Duration) time.Duration {
	v, ok := a.options[key]
	if !ok {
		return def
	}
	return mustDuration(v)
}

func mustDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

// attemptArg parses "entry-1/5" or, with an incarnation, "entry-1/2/5".
func attemptArg(text string) wire.AttemptID {
	parts := strings.Split(text, "/")
	id := wire.AttemptID{Entry: wire.NodeID(parts[0]), Incarnation: 1}
	if len(parts) == 3 {
		inc, _ := strconv.ParseUint(parts[1], 10, 64)
		id.Incarnation = wire.Incarnation(inc)
	}
	id.Sequence, _ = strconv.ParseUint(parts[len(parts)-1], 10, 64)
	return id
}

// panicFailer turns a failed construction into a panic, which command
// reports as an error.
type panicFailer struct{}

func (panicFailer) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

func (s *scenario) agent(a args) error {
	switch a.word(0) {
	case "start":
		s.cfg = Config{disabledMechanisms: s.disabledMechanisms}
		if a.str("kind", "engine") == "service" {
			s.cfg.Kind, s.cfg.Service, s.cfg.MaxCalls = wire.KindService, "mostrador-pedidos", 2
		}
		if a.str("queue", "fair") == "fifo" {
			s.cfg.Queue = QueueFIFO
		}
		if a.str("fence", "checked") == "ignored" {
			s.cfg.Fence = FenceIgnored
		}
		s.cfg.MaxTombstones = int(a.num("tombstones", 0))
		s.harness = newHarness(panicFailer{}, s.cfg)
		s.eng.checkFence = s.cfg.Fence == FenceChecked
		s.eng.have.Model = a.str("model", fakeModelName)
		s.run(2 * time.Second)
	case "restart":
		s.harness.cfg.Incarnation++
		s.restart(panicFailer{})
	case "pause":
		s.paused = true
	case "resume":
		s.paused = false
		s.tick()
	case "leave":
		s.input(Input{Leaving: &Leaving{}})
		s.tick()
	default:
		return fmt.Errorf("unknown command agent %s", a.word(0))
	}
	return nil
}

func (s *scenario) entry(a args) error {
	id := wire.NodeID(a.word(0))
	switch a.word(1) {
	case "up":
		s.input(Input{EntryUp: &EntryUp{Entry: id}})
		s.fromEntry(id, wire.ToAgent{Heartbeat: &wire.Heartbeat{}})
	case "unreachable":
		s.input(Input{EntryUp: &EntryUp{Entry: id}})
	case "down":
		s.input(Input{EntryDown: &EntryDown{Entry: id}})
	case "restart":
		s.input(Input{EntryUp: &EntryUp{Entry: id}})
		s.fromEntry(id, wire.ToAgent{Welcome: &wire.Welcome{
			Entry:        id,
			Incarnation:  wire.Incarnation(a.num("incarnation", 2)),
			FirstAttempt: uint64(a.num("first", 0)),
		}})
	case "store-down":
		s.fromEntry(id, wire.ToAgent{Heartbeat: &wire.Heartbeat{StoreDown: true, Starved: strings.Split(a.str("starved", ""), ",")}})
	default:
		return fmt.Errorf("unknown command entry %s", a.word(1))
	}
	s.tick()
	return nil
}

func (s *scenario) offer(a args) error {
	id := attemptArg(a.word(0))
	for i := range a.num("count", 1) {
		d := dispatch(id.Entry, id.Sequence+uint64(i), wire.AccountID(a.str("account", "antigua")), a.num("prompt", 1000), a.num("output", 50))
		d.Attempt.Incarnation = id.Incarnation
		d.StartBy = a.dur("start-by", d.StartBy)
		d.TimeLeft = a.dur("time-left", d.TimeLeft)
		d.Model = a.str("model", d.Model)
		if s.cfg.Kind == wire.KindService {
			d.Kind, d.Model = wire.KindService, ""
			d.Call = &wire.ServiceCall{Service: s.cfg.Service}
		}
		d.Idempotent = a.str("repeatable", "yes") == "yes"
		if a.str("body", "") == "later" {
			d.BodyBytes = 100
		}
		if under := a.str("under", ""); under != "" {
			d.Slice = &wire.Slice{Index: int(a.num("index", 0)), Count: int(a.num("of", 2)), Tokens: d.PromptTokens, Reservation: attemptArg(under)}
		}
		s.offeredAt[d.Attempt] = s.now
		s.fromEntry(d.Attempt.Entry, wire.ToAgent{Dispatch: &d})
	}
	s.tick()
	return nil
}

func (s *scenario) body(a args) error {
	s.input(Input{BodyReady: &BodyReady{Attempt: attemptArg(a.word(0))}})
	s.tick()
	return nil
}

func (s *scenario) cancel(a args) error {
	id := attemptArg(a.word(0))
	s.fromEntry(id.Entry, wire.ToAgent{Cancel: &wire.Cancel{Attempt: id}})
	s.tick()
	return nil
}

func (s *scenario) elapse(a args) error {
	s.run(mustDuration(a.word(0)))
	return nil
}

func (s *scenario) engine(a args) error {
	switch a.word(0) {
	case "die":
		s.eng.dead = true
		s.eng.seqs, s.eng.handles = nil, map[string]int64{}
		s.input(Input{EngineDown: &EngineDown{ProcessEnded: true}})
	case "return":
		s.eng.dead = false
		s.input(Input{EngineUp: &EngineUp{State: s.eng.state()}})
	case "hang":
		for _, q := range s.eng.seqs {
			q.hung = true
		}
	case "lose-cancels":
		s.eng.ignoreCancels = true
	case "heed-cancels":
		s.eng.ignoreCancels = false
	case "break-stream":
		id := engine.SequenceID(attemptArg(a.word(1)).String())
		s.input(Input{Engine: &engine.Event{Failed: &engine.Failed{ID: id, Reason: engine.FailLost}}})
	case "run-unowned":
		id := engine.SequenceID(attemptArg(a.word(1)).String())
		s.eng.submit(engine.Submit{ID: id, Model: s.eng.have.Model, PromptTokens: a.num("prompt", 1000), MaxOutput: 1 << 40})
	case "obey-stray-order":
		s.eng.load(s.now, engine.Load{Want: wire.Assignment{Model: a.word(1), Role: wire.RoleServe}, Fence: s.eng.fence})
	default:
		return fmt.Errorf("unknown command engine %s", a.word(0))
	}
	s.tick()
	return nil
}

func (s *scenario) order(a args) error {
	id, err := strconv.ParseUint(a.word(0), 10, 64)
	if err != nil {
		return err
	}
	s.fromEntry(wire.NodeID(a.str("from", "entry-1")), wire.ToAgent{Order: &wire.Order{
		ID:                id,
		Fence:             uint64(a.num("fence", 1)),
		TargetIncarnation: wire.Incarnation(a.num("incarnation", 0)),
		MaxAge:            a.dur("max-age", 10*time.Second),
		Want:              wire.Assignment{Model: a.str("model", fakeModelName), Role: wire.RoleServe},
	}})
	s.tick()
	return nil
}

func (s *scenario) reserve(a args) error {
	id := attemptArg(a.word(0))
	s.fromEntry(id.Entry, wire.ToAgent{Reserve: &wire.Reserve{
		Attempt: id,
		Model:   fakeModelName,
		Tokens:  a.num("tokens", 1000),
		Lease:   a.dur("lease", 5*time.Second),
	}})
	s.tick()
	return nil
}

// expect checks messages that entries received and the state of the harness.
// "expect outcome entry-1/1 finished" checks the last message about an
// attempt.
func (s *scenario) expect(a args) error {
	if err := s.checkRuns(); err != nil {
		return err
	}
	id := attemptArg(a.word(1))
	want := strings.Join(a.words[min(2, len(a.words)):], " ")
	got, err := s.observe(a.word(0), id, a)
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("at %v: %s %s is %q, want %q (messages %v)", s.now, a.word(0), a.word(1), got, want, s.received[id])
	}
	return nil
}

func (s *scenario) observe(subject string, id wire.AttemptID, a args) (string, error) {
	switch subject {
	case "outcome":
		messages := s.received[id]
		if len(messages) == 0 {
			return "none", nil
		}
		return messages[len(messages)-1], nil
	case "runs":
		return strconv.Itoa(s.eng.submits[engine.SequenceID(id.String())] + s.callRuns[id]), nil
	case "first-token-within":
		first, ok := s.firstTokenAt[id]
		limit := s.offeredAt[id] + mustDuration(a.str("time", "1s"))
		return strconv.FormatBool(ok && first <= limit), nil
	case "granted":
		return strconv.FormatBool(s.reserveGranted[id]), nil
	case "handle":
		return strconv.FormatBool(s.handles[id] != ""), nil
	case "reserved":
		return strconv.FormatInt(s.core.memory.reserved, 10), nil
	case "held":
		return strconv.FormatInt(s.eng.held(), 10), nil
	case "model":
		return s.eng.have.Model, nil
	case "loads":
		return strings.Join(s.eng.loads, ","), nil
	case "drained":
		return strconv.FormatBool(s.drained), nil
	case "order":
		n, err := strconv.ParseUint(a.word(1), 10, 64)
		return orderStatusNames[s.orderResults[n]], err
	case "leaving-reported":
		return strconv.FormatBool(s.lastReports[wire.NodeID(a.word(1))].Leaving), nil
	case "finished-at-least":
		return strconv.FormatBool(s.finished(a) >= a.num("count", 1)), nil
	case "served-ratio-within":
		return strconv.FormatBool(s.servedRatio(a) <= float64(a.num("percent", 110))/100), nil
	}
	return "", fmt.Errorf("unknown expectation %q", subject)
}

// finished counts the finished attempts among as many successive sequences
// as the option "of" says, from the given one on.
func (s *scenario) finished(a args) int64 {
	id := attemptArg(a.word(1))
	var n int64
	for range a.num("of", 1) {
		messages := s.received[id]
		if len(messages) > 0 && messages[len(messages)-1] == "finished" {
			n++
		}
		id.Sequence++
	}
	return n
}

// servedRatio returns the service over weight of the account named by the
// option "heavy", divided by that of the account named by "light".
func (s *scenario) servedRatio(a args) float64 {
	heavy := s.core.accounts.Get(wire.AccountID(a.str("heavy", "")))
	light := s.core.accounts.Get(wire.AccountID(a.str("light", "")))
	if heavy == nil || light == nil || light.servedTokens == 0 {
		return float64(never)
	}
	return (float64(heavy.servedTokens) / heavy.weight) / (float64(light.servedTokens) / light.weight)
}
