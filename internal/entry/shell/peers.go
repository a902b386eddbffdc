package shell

import (
	"context"
	"time"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	peerTimeout  = 2 * time.Second
	peerQueueLen = 256 // batches
)

// peerMessenger batches the messages of one tick by peer. One goroutine per peer sends
// its batches, so that a slow peer does not delay others. It also passes the messages
// of peers to the core.
type peerMessenger struct {
	e       *Entry
	client  *transport.PeerClient
	pending []entry.ToPeer
	queues  map[wire.NodeID]chan peerBatch // used by Entry.loop only
}

type peerBatch struct {
	address string
	msgs    []wire.ToPeer
}

func newPeerMessenger(e *Entry) (*peerMessenger, error) {
	client, err := transport.NewPeerClient(e.cfg.Core.Self, e.client, e.cfg.TLS)
	if err != nil {
		return nil, err
	}
	return &peerMessenger{e: e, client: client, queues: make(map[wire.NodeID]chan peerBatch)}, nil
}

func (p *peerMessenger) add(m *entry.ToPeer) { p.pending = append(p.pending, *m) }

// flush queues the messages of the tick for the peers' goroutines.
func (p *peerMessenger) flush(ctx context.Context) {
	for len(p.pending) > 0 {
		first := p.pending[0]
		batch := peerBatch{address: first.Address}
		rest := p.pending[:0]
		for _, m := range p.pending {
			if m.Peer == first.Peer {
				batch.msgs = append(batch.msgs, m.Msg)
			} else {
				rest = append(rest, m)
			}
		}
		p.pending = rest
		p.enqueue(ctx, first.Peer, batch)
	}
}

func (p *peerMessenger) enqueue(ctx context.Context, peer wire.NodeID, b peerBatch) {
	q, ok := p.queues[peer]
	if !ok {
		q = make(chan peerBatch, peerQueueLen)
		p.queues[peer] = q
		p.e.background.Add(1)
		go p.run(ctx, peer, q)
	}
	select {
	case q <- b:
	default: // the peer does not keep up; drop the batch: the protocols between entries query again
	}
}

func (p *peerMessenger) run(ctx context.Context, peer wire.NodeID, q chan peerBatch) {
	defer p.e.background.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-q:
			p.send(ctx, peer, b)
		}
	}
}

func (p *peerMessenger) send(ctx context.Context, peer wire.NodeID, b peerBatch) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := p.client.Send(ctx, b.address, b.msgs); err != nil {
		p.e.input(entry.Input{PeerDown: &entry.PeerDown{Peer: peer}})
	}
}

// PeerMessages implements transport.PeerServer.
func (p *peerMessenger) PeerMessages(from wire.NodeID, msgs []wire.ToPeer) {
	for i := range msgs {
		p.e.input(entry.Input{FromPeer: &entry.FromPeer{Peer: from, Msg: msgs[i]}})
	}
}
