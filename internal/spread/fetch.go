package spread

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// fetcher takes one revision from a peer.
type fetcher struct {
	from     wire.NodeID // empty: nothing is fetched
	revision uint64
	due      time.Duration // when the request is taken as lost; never if idle
	retries  int
	others   []wire.NodeID // further peers that announced the revision or a later one
	assembly *declaration.Assembly
}

const (
	// maxFetchCandidates bounds the further peers that are remembered.
	maxFetchCandidates = 4
	// maxFetchRetries bounds how often the only known peer is asked again.
	maxFetchRetries = 3
)

func (f *fetcher) idle() bool { return f.from == "" }

// finishFetch ends the fetch if what it fetches is in force, and goes on to a
// later revision that a peer has announced meanwhile.
func (m *Core) finishFetch(now time.Duration) {
	if m.fetch.revision > m.Revision() {
		return
	}
	others := m.fetch.others
	m.fetch = fetcher{due: never}
	for _, node := range others {
		if p := m.peers.Get(node); p != nil && p.revision > m.Revision() {
			m.startFetch(now, node, p.revision)
		}
	}
}

// startFetch asks a peer for the revision that it announced.
func (m *Core) startFetch(now time.Duration, node wire.NodeID, revision uint64) {
	f := &m.fetch
	if f.idle() {
		f.revision = revision
		m.askForDifference(now, node)
		return
	}
	if node != f.from && revision >= f.revision && len(f.others) < maxFetchCandidates {
		f.others = append(f.others, node)
	}
}

func (m *Core) askForDifference(now time.Duration, node wire.NodeID) {
	m.ask(now, node, &wire.ChunkRequest{Revision: m.fetch.revision, FromDigest: m.digest()})
}

func (m *Core) ask(now time.Duration, node wire.NodeID, r *wire.ChunkRequest) {
	m.fetch.from = node
	m.fetch.due = now + m.cfg.FetchTimeout
	m.send(node, wire.ToPeer{ChunkRequest: r})
}

// tickFetch asks another peer if the present one makes no progress.
func (m *Core) tickFetch(now time.Duration) {
	if m.fetch.idle() {
		m.fetch.due = never
		return
	}
	if now < m.fetch.due {
		return
	}
	if p := m.peers.Get(m.fetch.from); p != nil && !p.down && m.fetch.retries < maxFetchRetries {
		m.fetch.retries++
		m.fetch.others = append(m.fetch.others, m.fetch.from)
	}
	m.fetchElsewhere(now)
}

// fetchElsewhere goes on with another peer that has announced the revision. If
// there is none, the fetch ends until the next announcement.
func (m *Core) fetchElsewhere(now time.Duration) {
	f := &m.fetch
	for len(f.others) > 0 {
		node := f.others[0]
		f.others = f.others[1:]
		if p := m.peers.Get(node); p != nil && !p.down {
			m.resume(now, node)
			return
		}
	}
	*f = fetcher{due: never}
}

// resume asks a further peer for what is still missing.
func (m *Core) resume(now time.Duration, node wire.NodeID) {
	if m.fetch.assembly == nil {
		m.askForDifference(now, node)
		return
	}
	m.ask(now, node, &wire.ChunkRequest{Revision: m.fetch.revision, Want: m.fetch.assembly.Missing()})
}

// onChunkRequest answers with the difference if it can be made and is small,
// with the root alone if the peer holds any other revision, and with chunks if
// it asks for them.
func (m *Core) onChunkRequest(node wire.NodeID, r *wire.ChunkRequest) {
	if m.state == nil || m.state.Revision() < r.Revision {
		return
	}
	if r.FromDigest != 0 {
		if from := m.held(r.FromDigest); from != nil {
			body := declaration.EncodeDifference(from.Difference(m.state))
			if len(body) <= maxChunkMessage {
				m.send(node, wire.ToPeer{Difference: &wire.Difference{Body: body}})
				return
			}
		}
		m.send(node, wire.ToPeer{Chunks: &wire.Chunks{Root: m.state.EncodedRoot()}})
		return
	}
	m.sendChunks(node, r)
}

// sendChunks sends the chunks that the peer lacks in messages of bounded size.
func (m *Core) sendChunks(node wire.NodeID, r *wire.ChunkRequest) {
	bodies := m.state.Lacking(r.Have)
	if len(r.Want) > 0 {
		bodies = m.wanted(r.Want)
	}
	msg := &wire.Chunks{Root: m.state.EncodedRoot()}
	size := 0
	for _, body := range bodies {
		if size > 0 && size+len(body) > maxChunkMessage {
			m.send(node, wire.ToPeer{Chunks: msg})
			msg, size = &wire.Chunks{Root: m.state.EncodedRoot()}, 0
		}
		msg.Bodies = append(msg.Bodies, body)
		size += len(body)
	}
	m.send(node, wire.ToPeer{Chunks: msg})
}

func (m *Core) wanted(digests []uint64) [][]byte {
	all := m.state.Bodies()
	var out [][]byte
	for _, d := range digests {
		if body, ok := all[d]; ok {
			out = append(out, body)
		}
	}
	return out
}

// onDifference applies a difference. If it does not lead on from the revision
// in force, the peer is asked for the root.
func (m *Core) onDifference(now time.Duration, node wire.NodeID, msg *wire.Difference) {
	if m.local {
		return
	}
	d, err := declaration.DecodeDifference(msg.Body)
	if err == nil && (m.take(now, d) || d.Revision <= m.Revision()) {
		return
	}
	switch {
	case m.fetch.from != node:
	case err == nil && d.FromDigest != m.digest():
		m.askForDifference(now, node) // the revision in force changed meanwhile
	default:
		m.ask(now, node, &wire.ChunkRequest{Revision: m.fetch.revision, Have: m.digests()})
	}
}

func (m *Core) digests() []uint64 {
	if m.state == nil {
		return nil
	}
	return m.state.Digests()
}

// onChunks adds chunks to the revision that is fetched.
func (m *Core) onChunks(now time.Duration, node wire.NodeID, msg *wire.Chunks) {
	if m.local || m.fetch.from != node {
		return
	}
	if !m.assembleFrom(msg.Root) {
		return
	}
	a := m.fetch.assembly
	progress := false
	for _, body := range msg.Bodies {
		progress = a.Add(body) || progress
	}
	switch {
	case a.Complete():
		m.finishAssembly(now)
	case progress:
		m.fetch.due = now + m.cfg.FetchTimeout
	case len(msg.Bodies) == 0:
		m.resume(now, node)
	}
}

// assembleFrom prepares the assembly of a root, keeping the chunks of an
// earlier one, and reports whether the root is newer than the one in force.
func (m *Core) assembleFrom(encodedRoot []byte) bool {
	a, err := declaration.NewAssembly(encodedRoot, m.state)
	if err != nil || a.Revision() <= m.Revision() {
		return false
	}
	old := m.fetch.assembly
	switch {
	case old != nil && old.Digest() == a.Digest():
		return true
	case old != nil && old.Revision() > a.Revision():
		return false
	case old != nil:
		a.AddFrom(old)
	}
	m.fetch.assembly, m.fetch.revision = a, a.Revision()
	return true
}

func (m *Core) finishAssembly(now time.Duration) {
	s, err := m.fetch.assembly.State()
	if err != nil {
		m.fetch.assembly = nil
		m.fetchElsewhere(now)
		return
	}
	m.adopt(now, s)
}
