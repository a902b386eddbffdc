package workload

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"trefoilpath.org/trefoilpath/internal/engine"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Numbers of shared texts, and their lengths in prefix blocks.
const (
	systemPromptCount   = 6
	systemBlocks        = 2
	documentCount       = 40
	minDocumentBlocks   = 8
	documentBlocksLimit = 96 // exclusive
	sharedTextStream    = 3  // of the random generator
)

// text is a part of a prompt. Texts with the same ID have the same content.
type text struct {
	id     uint64
	blocks int // length in prefix blocks
}

// sharedTexts holds the texts that several prompts of a workload share.
type sharedTexts struct {
	systemPrompts []text
	documents     []text
}

func newSharedTexts(seed uint64) sharedTexts {
	rnd := rand.New(rand.NewPCG(seed, sharedTextStream))
	var t sharedTexts
	for range systemPromptCount {
		t.systemPrompts = append(t.systemPrompts, text{id: rnd.Uint64(), blocks: systemBlocks})
	}
	for range documentCount {
		blocks := minDocumentBlocks + rnd.IntN(documentBlocksLimit-minDocumentBlocks)
		t.documents = append(t.documents, text{id: rnd.Uint64(), blocks: blocks})
	}
	return t
}

// prefixes returns the block hashes of a prompt: perhaps a shared system prompt,
// perhaps a shared document, then text that no other prompt has.
func (g *Generator) prefixes(r Request) []uint64 {
	count := int(r.PromptTokens / engine.PrefixBlockTokens)
	count = min(count, engine.MaxPrefixBlocks)
	chain := newBlockChain(count)
	if g.chance(g.cfg.Mix.SystemPrompt) {
		chain.add(g.texts.systemPrompts[g.content.IntN(len(g.texts.systemPrompts))])
	}
	if r.Band() > wire.BandShort && g.chance(g.cfg.Mix.SharedDocument) {
		chain.add(g.texts.documents[g.content.IntN(len(g.texts.documents))])
	}
	chain.add(text{id: r.BodyDigest, blocks: count})
	return chain.hashes
}

// blockChain collects the hashes of successive blocks. Each hash covers the block
// and all blocks before it.
type blockChain struct {
	hashes []uint64
	limit  int    // number of hashes
	last   uint64 // hash of the last block
}

func newBlockChain(limit int) *blockChain {
	return &blockChain{hashes: make([]uint64, 0, limit), limit: limit}
}

// add appends the hashes of the blocks of t, up to the limit.
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
