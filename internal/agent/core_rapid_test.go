package agent

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// randomHarness feeds random inputs to a harness.
type randomHarness struct {
	*harness
	entries      []wire.NodeID
	lastSequence uint64
	dispatches   []wire.Dispatch
	incarnations map[wire.NodeID]wire.Incarnation
	connected    map[wire.NodeID]bool
	fence        uint64
	order        uint64
}

func (r *randomHarness) step(t *rapid.T) {
	entry := rapid.SampledFrom(r.entries).Draw(t, "entry")
	switch rapid.IntRange(0, 25).Draw(t, "action") {
	case 0, 1, 2, 3, 4, 5:
		r.offer(t, entry)
	case 6:
		r.repeatDispatch(t)
	case 7, 8:
		r.cancelRandom(t)
	case 9:
		r.toggleStream(entry)
	case 10:
		r.incarnations[entry]++
		r.fromEntry(entry, wire.ToAgent{Welcome: &wire.Welcome{Entry: entry, Incarnation: r.incarnations[entry], FirstAttempt: r.lastSequence + 1}})
	case 11:
		r.reserveRandom(t, entry)
	case 12:
		r.orderRandom(t, entry)
	case 13:
		r.toggleEngine(t)
	case 14:
		for _, s := range r.eng.seqs {
			s.hung = rapid.Bool().Draw(t, "hung")
		}
	case 15:
		r.eng.ignoreCancels = !r.eng.ignoreCancels
	case 16:
		r.harness.cfg.Incarnation++
		r.restart(t)
		r.connected = map[wire.NodeID]bool{}
		r.toggleStream("entry-1")
		r.toggleStream("entry-2")
	case 17:
		r.lateBody(t)
	case 18:
		r.cacheEvent(t)
	case 19:
		r.fromEntry(entry, wire.ToAgent{Heartbeat: &wire.Heartbeat{StoreDown: rapid.Bool().Draw(t, "store_down"), Starved: []string{"other"}, Agents: 20}})
	case 20:
		if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
			r.input(Input{Leaving: &Leaving{}})
		}
	default:
		r.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	}
	r.tick()
}

func (r *randomHarness) offer(t *rapid.T, entry wire.NodeID) {
	r.lastSequence++
	prompt := rapid.SampledFrom([]int64{100, 2000, 15_000, 60_000, 200_000, 450_000, 600_000}).Draw(t, "prompt")
	d := dispatch(entry, r.lastSequence, wire.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")), prompt, int64(rapid.IntRange(1, 500).Draw(t, "output")))
	d.Attempt.Incarnation = r.incarnations[entry]
	d.StartBy = time.Duration(rapid.IntRange(0, 20_000).Draw(t, "start_by")) * time.Millisecond
	d.TimeLeft = time.Duration(rapid.IntRange(0, 60_000).Draw(t, "time_left")) * time.Millisecond
	if r.cfg.Kind == wire.KindService {
		d.Kind = wire.KindService
		d.Call = &wire.ServiceCall{Service: r.cfg.Service}
		d.Idempotent = rapid.Bool().Draw(t, "idempotent")
	}
	if rapid.Bool().Draw(t, "body") {
		d.BodyBytes = 10
	}
	r.fromEntry(entry, wire.ToAgent{Dispatch: &d})
	r.dispatches = append(r.dispatches, d)
	if rapid.Bool().Draw(t, "body_now") {
		r.input(Input{BodyReady: &BodyReady{Attempt: d.Attempt}})
	}
}

func (r *randomHarness) repeatDispatch(t *rapid.T) {
	if len(r.dispatches) == 0 {
		return
	}
	d := rapid.SampledFrom(r.dispatches).Draw(t, "repeated")
	r.fromEntry(d.Attempt.Entry, wire.ToAgent{Dispatch: &d})
	r.input(Input{BodyReady: &BodyReady{Attempt: d.Attempt}})
}

func (r *randomHarness) lateBody(t *rapid.T) {
	if len(r.dispatches) == 0 {
		return
	}
	r.input(Input{BodyReady: &BodyReady{Attempt: rapid.SampledFrom(r.dispatches).Draw(t, "body_of").Attempt}})
}

func (r *randomHarness) cacheEvent(t *rapid.T) {
	hashes := rapid.SliceOfN(rapid.Uint64Range(1, 50), 0, 20)
	r.input(Input{Engine: &engine.Event{Cache: &engine.Cache{
		Sequence: rapid.Uint64Range(1, 8).Draw(t, "cache_sequence"),
		Add:      hashes.Draw(t, "add"),
		Remove:   hashes.Draw(t, "remove"),
	}}})
}

func (r *randomHarness) cancelRandom(t *rapid.T) {
	if len(r.dispatches) == 0 {
		return
	}
	d := rapid.SampledFrom(r.dispatches).Draw(t, "cancelled")
	r.fromEntry(d.Attempt.Entry, wire.ToAgent{Cancel: &wire.Cancel{Attempt: d.Attempt}})
}

func (r *randomHarness) toggleStream(entry wire.NodeID) {
	r.connected[entry] = !r.connected[entry]
	if r.connected[entry] {
		r.input(Input{EntryUp: &EntryUp{Entry: entry}})
		r.fromEntry(entry, wire.ToAgent{Welcome: &wire.Welcome{Entry: entry, Incarnation: r.incarnations[entry], FirstAttempt: r.lastSequence + 1}})
		return
	}
	r.input(Input{EntryDown: &EntryDown{Entry: entry}})
}

func (r *randomHarness) reserveRandom(t *rapid.T, entry wire.NodeID) {
	r.lastSequence++
	id := wire.AttemptID{Entry: entry, Incarnation: r.incarnations[entry], Sequence: r.lastSequence}
	r.fromEntry(entry, wire.ToAgent{Reserve: &wire.Reserve{
		Attempt: id,
		Model:   fakeModelName,
		Tokens:  rapid.Int64Range(1, 400_000).Draw(t, "tokens"),
		Lease:   time.Duration(rapid.IntRange(1, 5000).Draw(t, "lease")) * time.Millisecond,
	}})
	r.lastSequence++
	d := dispatch(entry, r.lastSequence, "a", 300_000, 100)
	d.Attempt.Incarnation = r.incarnations[entry]
	d.Slice = &wire.Slice{Index: rapid.IntRange(0, 1).Draw(t, "index"), Count: 2, Tokens: 1000, Reservation: id}
	r.fromEntry(entry, wire.ToAgent{Dispatch: &d})
	r.dispatches = append(r.dispatches, d)
}

func (r *randomHarness) orderRandom(t *rapid.T, entry wire.NodeID) {
	r.order++
	r.fence += uint64(rapid.IntRange(0, 1).Draw(t, "fence"))
	r.fromEntry(entry, wire.ToAgent{Order: &wire.Order{
		ID:     r.order,
		Fence:  r.fence,
		MaxAge: time.Duration(rapid.IntRange(1, 10_000).Draw(t, "max_age")) * time.Millisecond,
		Want:   wire.Assignment{Model: rapid.SampledFrom([]string{fakeModelName, "other"}).Draw(t, "model"), Role: wire.RoleServe},
	}})
}

func (r *randomHarness) toggleEngine(t *rapid.T) {
	if r.eng.dead {
		r.eng.dead = false
		r.eng.seqs, r.eng.handles, r.eng.loading = nil, map[string]int64{}, nil
		r.input(Input{EngineUp: &EngineUp{State: r.eng.state()}})
		return
	}
	lost := rapid.Bool().Draw(t, "lost")
	r.eng.dead = lost
	r.input(Input{EngineDown: &EngineDown{ProcessEnded: lost}})
	if !lost {
		r.input(Input{EngineUp: &EngineUp{State: r.eng.state()}})
	}
}

// TestCoreRandom drives the core with random inputs. The invariants are
// checked after each tick. At the end, once all deadlines are past, no
// attempt may be left and no memory may be reserved or held by the engine.
func TestCoreRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Queue: rapid.SampledFrom([]QueuePolicy{QueueFair, QueueFIFO}).Draw(t, "queue"),
			Fence: rapid.SampledFrom([]FenceMode{FenceChecked, FenceIgnored}).Draw(t, "fence"),
		}
		if rapid.Bool().Draw(t, "service") {
			cfg.Kind, cfg.Service, cfg.MaxCalls = wire.KindService, "mostrador-pedidos", 3
		}
		r := &randomHarness{
			harness:      newHarness(t, cfg),
			entries:      []wire.NodeID{"entry-1", "entry-2"},
			incarnations: map[wire.NodeID]wire.Incarnation{"entry-1": 1, "entry-2": 1},
			connected:    map[wire.NodeID]bool{},
		}
		r.toggleStream("entry-1")
		r.toggleStream("entry-2")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.step(t)
		}
		r.settle()
		r.verify(t)
	})
}

// settle clears all faults and runs until every deadline is past.
func (r *randomHarness) settle() {
	r.eng.ignoreCancels = false
	if r.eng.dead {
		r.eng.dead = false
		r.eng.seqs, r.eng.handles, r.eng.loading = nil, map[string]int64{}, nil
		r.input(Input{EngineUp: &EngineUp{State: r.eng.state()}})
	}
	for _, e := range r.entries {
		if !r.connected[e] {
			r.toggleStream(e)
		}
	}
	r.run(70 * time.Second) // longer than any TimeLeft that offer draws
}

func (r *randomHarness) verify(t *rapid.T) {
	if err := r.checkRuns(); err != nil {
		t.Fatal(err)
	}
	if n := r.core.attempts.Len(); n != 0 {
		t.Fatalf("%d attempts left after all deadlines: %+v", n, r.core.Dump().Attempts)
	}
	if r.core.memory.reserved != 0 || r.eng.held() != 0 {
		t.Fatalf("reserved %d, held by the engine %d, want none", r.core.memory.reserved, r.eng.held())
	}
	if r.core.leaving.active && !r.drained {
		t.Fatal("the endpoint is draining with nothing in flight, but Drained was not sent")
	}
	if r.core.queue.queued != 0 || r.core.engine.running != 0 {
		t.Fatalf("queued %d, running %d, want none", r.core.queue.queued, r.core.engine.running)
	}
}
