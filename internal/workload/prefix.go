package workload

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Sizes of the shared texts.
const (
	systemPromptCount = 6
	systemBlocks      = 2
	dossierCount      = 40
	minDossierBlocks  = 8
	maxDossierBlocks  = 96
	libraryStream     = 3
)

// text is a document that several prompts share.
type text struct {
	id     uint64
	blocks int
}

// library holds the shared texts of a workload.
type library struct {
	systems  []text
	dossiers []text
}

func newLibrary(seed uint64) library {
	rnd := rand.New(rand.NewPCG(seed, libraryStream))
	var l library
	for range systemPromptCount {
		l.systems = append(l.systems, text{id: rnd.Uint64(), blocks: systemBlocks})
	}
	for range dossierCount {
		blocks := minDossierBlocks + rnd.IntN(maxDossierBlocks-minDossierBlocks)
		l.dossiers = append(l.dossiers, text{id: rnd.Uint64(), blocks: blocks})
	}
	return l
}

// prefixes returns the block hashes of a prompt: a shared system prompt, a
// shared dossier, then text of its own.
func (g *Generator) prefixes(r Request) []uint64 {
	count := int(r.PromptTokens / engine.PrefixBlockTokens)
	count = min(count, engine.MaxPrefixBlocks)
	chain := newBlockChain(count)
	if g.chance(g.cfg.Mix.SystemPrompt) {
		chain.add(g.library.systems[g.content.IntN(len(g.library.systems))])
	}
	if r.Band() > wire.BandShort && g.chance(g.cfg.Mix.Dossier) {
		chain.add(g.library.dossiers[g.content.IntN(len(g.library.dossiers))])
	}
	chain.add(text{id: r.BodyDigest, blocks: count})
	return chain.hashes
}

// blockChain hashes successive blocks, each together with all before it.
type blockChain struct {
	hashes []uint64
	limit  int
	last   uint64
}

func newBlockChain(limit int) *blockChain {
	return &blockChain{hashes: make([]uint64, 0, limit), limit: limit}
}

// add appends the blocks of t as far as the limit allows.
func (c *blockChain) add(t text) {
	var buf [24]byte
	for i := 0; i < t.blocks && len(c.hashes) < c.limit; i++ {
		binary.LittleEndian.PutUint64(buf[0:], c.last)
		binary.LittleEndian.PutUint64(buf[8:], t.id)
		binary.LittleEndian.PutUint64(buf[16:], uint64(i))
		c.last = xxhash.Sum64(buf[:])
		c.hashes = append(c.hashes, c.last)
	}
}
