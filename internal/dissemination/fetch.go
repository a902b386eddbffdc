package dissemination

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// fetcher is the state of fetching one revision from a peer.
type fetcher struct {
	from       wire.NodeID           // empty: no fetch in progress
	revision   uint64                // being fetched
	timeoutAt  time.Duration         // when the request counts as lost; never if idle
	retries    int                   // timed-out peers that became candidates again
	candidates []wire.NodeID         // further peers that announced the revision or a later one
	assembly   *declaration.Assembly // nil until the root has arrived
}

const (
	// maxFetchCandidates is the length up to which announcements extend
	// fetcher.candidates.
	maxFetchCandidates = 4
	// maxFetchRetries bounds how often, over all peers, a timed-out peer becomes a
	// candidate again during one fetch, so that an only peer is queried again.
	maxFetchRetries = 3
)

func (f *fetcher) idle() bool { return f.from == "" }

// finishFetch ends the fetch if its revision is active or superseded, and starts
// fetching a later revision that a candidate has announced meanwhile.
func (m *Core) finishFetch(now time.Duration) {
	if m.fetch.revision > m.Revision() {
		return
	}
	candidates := m.fetch.candidates
	m.fetch = fetcher{timeoutAt: never}
	for _, node := range candidates {
		if p := m.peers.Get(node); p != nil && p.revision > m.Revision() {
			m.startFetch(now, node, p.revision)
		}
	}
}

// startFetch requests the announced revision from a peer. While another fetch
// runs, the peer may become a candidate for that one.
func (m *Core) startFetch(now time.Duration, node wire.NodeID, revision uint64) {
	f := &m.fetch
	if f.idle() {
		f.revision = revision
		m.requestDifference(now, node)
		return
	}
	if node != f.from && revision >= f.revision && len(f.candidates) < maxFetchCandidates {
		f.candidates = append(f.candidates, node)
	}
}

func (m *Core) requestDifference(now time.Duration, node wire.NodeID) {
	m.sendChunkRequest(now, node, &wire.ChunkRequest{Revision: m.fetch.revision, FromDigest: m.digest()})
}

func (m *Core) sendChunkRequest(now time.Duration, node wire.NodeID, r *wire.ChunkRequest) {
	m.fetch.from = node
	m.fetch.timeoutAt = now + m.cfg.FetchTimeout
	m.send(node, wire.ToPeer{ChunkRequest: r})
}

// tickFetch queries another peer if the current one makes no progress.
func (m *Core) tickFetch(now time.Duration) {
	if m.fetch.idle() {
		m.fetch.timeoutAt = never
		return
	}
	if now < m.fetch.timeoutAt {
		return
	}
	if p := m.peers.Get(m.fetch.from); p != nil && !p.down && m.fetch.retries < maxFetchRetries {
		m.fetch.retries++
		m.fetch.candidates = append(m.fetch.candidates, m.fetch.from)
	}
	m.fetchFromNextCandidate(now)
}

// fetchFromNextCandidate continues the fetch from another peer that has announced
// the revision. If there is none, the fetch ends until the next announcement.
func (m *Core) fetchFromNextCandidate(now time.Duration) {
	f := &m.fetch
	for len(f.candidates) > 0 {
		node := f.candidates[0]
		f.candidates = f.candidates[1:]
		if p := m.peers.Get(node); p != nil && !p.down {
			m.requestMissing(now, node)
			return
		}
	}
	*f = fetcher{timeoutAt: never}
}

// requestMissing requests the missing chunks from a peer, or the difference if there
// is no root yet.
func (m *Core) requestMissing(now time.Duration, node wire.NodeID) {
	if m.fetch.assembly == nil {
		m.requestDifference(now, node)
		return
	}
	m.sendChunkRequest(now, node, &wire.ChunkRequest{Revision: m.fetch.revision, Want: m.fetch.assembly.Missing()})
}

// onChunkRequest answers a request that has the digest of the peer's root with the
// difference from it, or with the root alone if the difference is unavailable or
// over maxChunkMessage. It answers any other request with chunks, and a request for
// a newer revision than the active one not at all.
func (m *Core) onChunkRequest(node wire.NodeID, r *wire.ChunkRequest) {
	if m.state == nil || m.state.Revision() < r.Revision {
		return
	}
	if r.FromDigest != 0 {
		if from := m.pastState(r.FromDigest); from != nil {
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

// sendChunks sends the chunks that the peer wants, or else lacks, in messages of
// bounded size.
func (m *Core) sendChunks(node wire.NodeID, r *wire.ChunkRequest) {
	bodies := m.state.BodiesNotIn(r.Have)
	if len(r.Want) > 0 {
		bodies = m.bodiesOf(r.Want)
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

func (m *Core) bodiesOf(digests []uint64) [][]byte {
	all := m.state.Bodies()
	var out [][]byte
	for _, d := range digests {
		if body, ok := all[d]; ok {
			out = append(out, body)
		}
	}
	return out
}

// onDifference applies a difference to the active revision, unless it leads to no
// newer one. If that fails and the fetch in progress is from this peer, it requests
// from it another difference if the active revision has changed meanwhile, and
// otherwise the missing chunks.
func (m *Core) onDifference(now time.Duration, node wire.NodeID, msg *wire.Difference) {
	if m.local {
		return
	}
	d, err := declaration.DecodeDifference(msg.Body)
	if err == nil && (m.applyDifference(now, d) || d.Revision <= m.Revision()) {
		return
	}
	switch {
	case m.fetch.from != node:
	case err == nil && d.FromDigest != m.digest():
		m.requestDifference(now, node) // the active revision changed meanwhile
	default:
		m.sendChunkRequest(now, node, &wire.ChunkRequest{Revision: m.fetch.revision, Have: m.digests()})
	}
}

func (m *Core) digests() []uint64 {
	if m.state == nil {
		return nil
	}
	return m.state.Digests()
}

// onChunks adds chunks to the revision that is being fetched.
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
		m.fetch.timeoutAt = now + m.cfg.FetchTimeout
	case len(msg.Bodies) == 0:
		m.requestMissing(now, node)
	}
}

// assembleFrom prepares the assembly of a root, reusing the chunks of an earlier
// assembly. It reports false if the root is invalid, no newer than the active
// one, or older than the one being assembled.
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
		m.fetchFromNextCandidate(now)
		return
	}
	m.adopt(now, s)
}
