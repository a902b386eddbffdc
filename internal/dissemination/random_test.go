package dissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/simnet"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// TestRandomFaults mixes edits with every kind of fault for about ten virtual
// minutes, ends all faults, and requires that every entry gets the accepted
// revision. At each step it checks that no entry's revision decreases.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 100+seed, 3+int(seed)%10, 3, 60)
			c.accept()
			c.run(convergeBound)
			for range 200 {
				c.randomStep()
				c.run(time.Duration(c.rnd.Int64N(int64(6 * time.Second))))
			}
			c.heal()
			c.run(2*maxBackoff + convergeBound)
			c.requireConverged()
		})
	}
}

func (c *cluster) randomStep() {
	n := c.nodes[c.rnd.IntN(len(c.nodes))]
	other := c.nodes[c.rnd.IntN(len(c.nodes))]
	isNode := func(x *node) bool { return x == n }
	switch c.rnd.IntN(9) {
	case 0, 1:
		c.accept()
	case 2:
		c.storeDown = !c.storeDown
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
			c.net.Change(simnet.Node(n.name), simnet.Node(other.name), func(l *simnet.Link) { l.Cut = !l.Cut })
		}
	case 7:
		cut := c.rnd.IntN(2) == 0
		c.eachLink(isNode, allNodes, func(l *simnet.Link) { l.Cut = cut })
	case 8:
		c.eachLink(isNode, allNodes, func(l *simnet.Link) { l.Lose, l.Duplicate, l.Reorder = 0.2, 0.2, 0.3 })
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	c.storeDown = false
	c.eachLink(allNodes, allNodes, func(l *simnet.Link) { *l = simnet.Link{Delay: linkDelay} })
	for _, n := range c.nodes {
		n.storeCut = false
		if n.down {
			n.start()
		}
	}
}

// FuzzFromPeer checks that no message from a peer makes a Core panic or lower its
// revision.
func FuzzFromPeer(f *testing.F) {
	c := newCluster(f, 1, 2, 1, 20)
	c.accept()
	c.run(convergeBound)
	first := c.nodes[0].core.state
	c.accept()
	c.run(convergeBound)
	second := c.nodes[0].core.state
	for _, msg := range []wire.ToPeer{
		{Announce: &wire.Announce{Revision: 3, Incarnation: 1}},
		{ChunkRequest: &wire.ChunkRequest{Revision: 1, FromDigest: first.Digest(), Want: second.Digests()}},
		{Chunks: &wire.Chunks{Root: second.EncodedRoot(), Bodies: second.BodiesNotIn(nil)}},
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
			t.Errorf("revision %d is active, want at least 1", m.Revision())
		}
	})
}
