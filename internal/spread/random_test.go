package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// TestRandomFaults mixes edits with every fault for ten virtual minutes, heals
// all, and requires that every entry gets the accepted revision. That no entry
// goes back is checked at each step.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 100+seed, 3+int(seed)%10, 3, 60)
			w.accept()
			w.run(convergeBound)
			for range 200 {
				w.randomStep()
				w.run(time.Duration(w.rnd.Int64N(int64(6 * time.Second))))
			}
			w.heal()
			w.run(2*maxBackoff + convergeBound)
			w.requireConverged()
		})
	}
}

func (w *world) randomStep() {
	n := w.nodes[w.rnd.IntN(len(w.nodes))]
	other := w.nodes[w.rnd.IntN(len(w.nodes))]
	isNode := func(x *node) bool { return x == n }
	switch w.rnd.IntN(9) {
	case 0, 1:
		w.accept()
	case 2:
		w.storeDown = !w.storeDown
	case 3:
		n.storeCut = !n.storeCut
	case 4:
		n.down = true
	case 5:
		if n.down {
			n.start()
		}
	case 6:
		if n != other {
			w.net.Change(simnet.Node(n.name), simnet.Node(other.name), func(l *simnet.Link) { l.Cut = !l.Cut })
		}
	case 7:
		cut := w.rnd.IntN(2) == 0
		w.eachLink(isNode, everyone, func(l *simnet.Link) { l.Cut = cut })
	case 8:
		w.eachLink(isNode, everyone, func(l *simnet.Link) { l.Lose, l.Duplicate, l.Reorder = 0.2, 0.2, 0.3 })
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.storeDown = false
	w.eachLink(everyone, everyone, func(l *simnet.Link) { *l = simnet.Link{Delay: linkDelay} })
	for _, n := range w.nodes {
		n.storeCut = false
		if n.down {
			n.start()
		}
	}
}

// FuzzFromPeer checks that no message from a peer makes a machine panic or go back.
func FuzzFromPeer(f *testing.F) {
	w := newWorld(f, 1, 2, 1, 20)
	w.accept()
	w.run(convergeBound)
	first := w.nodes[0].machine.state
	w.accept()
	w.run(convergeBound)
	second := w.nodes[0].machine.state
	for _, msg := range []wire.ToPeer{
		{Announce: &wire.Announce{Revision: 3, Incarnation: 1}},
		{ChunkRequest: &wire.ChunkRequest{Revision: 1, FromDigest: first.Digest(), Want: second.Digests()}},
		{Chunks: &wire.Chunks{Root: second.EncodedRoot(), Bodies: second.Lacking(nil)}},
		{Difference: &wire.Difference{Body: declaration.EncodeDifference(first.Difference(second))}},
	} {
		body, err := cbor.Marshal(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var msg wire.ToPeer
		if cbor.Unmarshal(body, &msg) != nil {
			return
		}
		m := New(Config{Self: "a", FailureDomain: "d"})
		m.Tick(0)
		m.adopt(0, first)
		m.FromPeer(0, "b", wire.ToPeer{Announce: &wire.Announce{Revision: 2}})
		m.FromPeer(0, "b", msg)
		m.Tick(time.Hour)
		if m.Revision() < 1 {
			t.Errorf("revision %d is in force", m.Revision())
		}
	})
}
