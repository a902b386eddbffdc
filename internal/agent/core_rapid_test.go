package agent

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// randomWorld drives a world with random inputs.
type randomWorld struct {
	*world
	entries []wire.NodeID
	next    uint64
	sent    []wire.Dispatch
	inc     map[wire.NodeID]wire.Incarnation
	up      map[wire.NodeID]bool
	fence   uint64
	order   uint64
}

func (r *randomWorld) step(t *rapid.T) {
	entry := rapid.SampledFrom(r.entries).Draw(t, "entry")
	switch rapid.IntRange(0, 25).Draw(t, "action") {
	case 0, 1, 2, 3, 4, 5:
		r.offer(t, entry)
	case 6:
		r.repeat(t)
	case 7, 8:
		r.cancelSome(t)
	case 9:
		r.flip(entry)
	case 10:
		r.inc[entry]++
		r.from(entry, wire.ToAgent{Welcome: &wire.Welcome{Entry: entry, Incarnation: r.inc[entry], FirstAttempt: r.next + 1}})
	case 11:
		r.reserveSome(t, entry)
	case 12:
		r.orderSome(t, entry)
	case 13:
		r.flipEngine(t)
	case 14:
		for _, s := range r.eng.seqs {
			s.hung = rapid.Bool().Draw(t, "hung")
		}
	case 15:
		r.eng.silent = !r.eng.silent
	case 16:
		r.world.cfg.Incarnation++
		r.restart(t)
		r.up = map[wire.NodeID]bool{}
		r.flip("entry-1")
		r.flip("entry-2")
	case 17:
		r.lateBody(t)
	case 18:
		r.cacheEvent(t)
	case 19:
		r.from(entry, wire.ToAgent{Heartbeat: &wire.Heartbeat{StoreDown: rapid.Bool().Draw(t, "store_down"), Starved: []string{"other"}, Agents: 20}})
	case 20:
		if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
			r.give(Input{Leaving: &Leaving{}})
		}
	default:
		r.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	}
	r.tick()
}

func (r *randomWorld) offer(t *rapid.T, entry wire.NodeID) {
	r.next++
	prompt := rapid.SampledFrom([]int64{100, 2000, 15_000, 60_000, 200_000, 450_000, 600_000}).Draw(t, "prompt")
	d := dispatch(entry, r.next, wire.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")), prompt, int64(rapid.IntRange(1, 500).Draw(t, "output")))
	d.Attempt.Incarnation = r.inc[entry]
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
	r.from(entry, wire.ToAgent{Dispatch: &d})
	r.sent = append(r.sent, d)
	if rapid.Bool().Draw(t, "body_now") {
		r.give(Input{BodyReady: &BodyReady{Attempt: d.Attempt}})
	}
}

func (r *randomWorld) repeat(t *rapid.T) {
	if len(r.sent) == 0 {
		return
	}
	d := rapid.SampledFrom(r.sent).Draw(t, "repeated")
	r.from(d.Attempt.Entry, wire.ToAgent{Dispatch: &d})
	r.give(Input{BodyReady: &BodyReady{Attempt: d.Attempt}})
}

func (r *randomWorld) lateBody(t *rapid.T) {
	if len(r.sent) == 0 {
		return
	}
	r.give(Input{BodyReady: &BodyReady{Attempt: rapid.SampledFrom(r.sent).Draw(t, "body_of").Attempt}})
}

func (r *randomWorld) cacheEvent(t *rapid.T) {
	hashes := rapid.SliceOfN(rapid.Uint64Range(1, 50), 0, 20)
	r.give(Input{Engine: &engine.Event{Cache: &engine.Cache{
		Sequence: rapid.Uint64Range(1, 8).Draw(t, "cache_sequence"),
		Add:      hashes.Draw(t, "add"),
		Remove:   hashes.Draw(t, "remove"),
	}}})
}

func (r *randomWorld) cancelSome(t *rapid.T) {
	if len(r.sent) == 0 {
		return
	}
	d := rapid.SampledFrom(r.sent).Draw(t, "cancelled")
	r.from(d.Attempt.Entry, wire.ToAgent{Cancel: &wire.Cancel{Attempt: d.Attempt}})
}

func (r *randomWorld) flip(entry wire.NodeID) {
	r.up[entry] = !r.up[entry]
	if r.up[entry] {
		r.give(Input{EntryUp: &EntryUp{Entry: entry}})
		r.from(entry, wire.ToAgent{Welcome: &wire.Welcome{Entry: entry, Incarnation: r.inc[entry], FirstAttempt: r.next + 1}})
		return
	}
	r.give(Input{EntryDown: &EntryDown{Entry: entry}})
}

func (r *randomWorld) reserveSome(t *rapid.T, entry wire.NodeID) {
	r.next++
	id := wire.AttemptID{Entry: entry, Incarnation: r.inc[entry], Sequence: r.next}
	r.from(entry, wire.ToAgent{Reserve: &wire.Reserve{
		Attempt: id,
		Model:   fakeModelName,
		Tokens:  rapid.Int64Range(1, 400_000).Draw(t, "tokens"),
		Lease:   time.Duration(rapid.IntRange(1, 5000).Draw(t, "lease")) * time.Millisecond,
	}})
	r.next++
	d := dispatch(entry, r.next, "a", 300_000, 100)
	d.Attempt.Incarnation = r.inc[entry]
	d.Slice = &wire.Slice{Index: rapid.IntRange(0, 1).Draw(t, "index"), Count: 2, Tokens: 1000, Reservation: id}
	r.from(entry, wire.ToAgent{Dispatch: &d})
	r.sent = append(r.sent, d)
}

func (r *randomWorld) orderSome(t *rapid.T, entry wire.NodeID) {
	r.order++
	r.fence += uint64(rapid.IntRange(0, 1).Draw(t, "fence"))
	r.from(entry, wire.ToAgent{Order: &wire.Order{
		ID:     r.order,
		Fence:  r.fence,
		MaxAge: time.Duration(rapid.IntRange(1, 10_000).Draw(t, "max_age")) * time.Millisecond,
		Want:   wire.Assignment{Model: rapid.SampledFrom([]string{fakeModelName, "other"}).Draw(t, "model"), Role: wire.RoleServe},
	}})
}

func (r *randomWorld) flipEngine(t *rapid.T) {
	if r.eng.dead {
		r.eng.dead = false
		r.eng.seqs, r.eng.handles, r.eng.loading = nil, map[string]int64{}, nil
		r.give(Input{EngineUp: &EngineUp{State: r.eng.state()}})
		return
	}
	lost := rapid.Bool().Draw(t, "lost")
	r.eng.dead = lost
	r.give(Input{EngineDown: &EngineDown{Lost: lost}})
	if !lost {
		r.give(Input{EngineUp: &EngineUp{State: r.eng.state()}})
	}
}

// TestCoreRandom drives the core with random inputs. The invariants are checked
// after each tick, and at the end, once all deadlines are past, every attempt
// has an outcome and no memory is reserved or held.
func TestCoreRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Queue: rapid.SampledFrom([]QueuePolicy{QueueFair, QueueFIFO}).Draw(t, "queue"),
			Fence: rapid.SampledFrom([]FenceMode{FenceChecked, FenceIgnored}).Draw(t, "fence"),
		}
		if rapid.Bool().Draw(t, "service") {
			cfg.Kind, cfg.Service, cfg.MaxCalls = wire.KindService, "mostrador-pedidos", 3
		}
		r := &randomWorld{
			world:   newWorld(t, cfg),
			entries: []wire.NodeID{"entry-1", "entry-2"},
			inc:     map[wire.NodeID]wire.Incarnation{"entry-1": 1, "entry-2": 1},
			up:      map[wire.NodeID]bool{},
		}
		r.flip("entry-1")
		r.flip("entry-2")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.step(t)
		}
		r.settle()
		r.verify(t)
	})
}

// settle heals all faults and waits until every deadline is past.
func (r *randomWorld) settle() {
	r.eng.silent = false
	if r.eng.dead {
		r.eng.dead = false
		r.eng.seqs, r.eng.handles, r.eng.loading = nil, map[string]int64{}, nil
		r.give(Input{EngineUp: &EngineUp{State: r.eng.state()}})
	}
	for _, e := range r.entries {
		if !r.up[e] {
			r.flip(e)
		}
	}
	r.run(70 * time.Second)
}

func (r *randomWorld) verify(t *rapid.T) {
	if err := r.check(); err != nil {
		t.Fatal(err)
	}
	if n := r.core.attempts.Len(); n != 0 {
		t.Fatalf("%d attempts are left after all deadlines: %+v", n, r.core.Dump().Attempts)
	}
	if r.core.memory.reserved != 0 || r.eng.held() != 0 {
		t.Fatalf("reserved %d, held by the engine %d, want none", r.core.memory.reserved, r.eng.held())
	}
	if r.core.leaving.active && !r.drained {
		t.Fatal("the endpoint is leaving, nothing is in flight, and it has not drained")
	}
	if r.core.queue.queued != 0 || r.core.engine.running != 0 {
		t.Fatalf("queued %d, running %d, want none", r.core.queue.queued, r.core.engine.running)
	}
}
