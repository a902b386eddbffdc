package declaration

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// State is one revision of the lists, split into chunks. It is immutable; a state
// built from another one shares its unchanged chunks.
type State struct {
	root     Root
	digest   uint64 // of encoded
	encoded  []byte // encoding of root
	shared   *sharedChunk
	accounts []*accountChunk
}

// sharedContent is everything in the lists but the client accounts, each list
// sorted by name.
type sharedContent struct {
	Plans        []Plan          `cbor:"1,keyasint,omitempty"`
	Entitlements EntitlementList `cbor:"2,keyasint"`
}

type sharedChunk struct {
	digest  uint64
	body    []byte
	content sharedContent
}

type accountChunk struct {
	digest   uint64
	body     []byte
	accounts []ClientAccount // sorted by ID
}

// Header holds the fields of a new revision's root other than the digests of its
// chunks.
type Header struct {
	Revision uint64
	Nonce    uint64 // random; see Update
	Author   string
}

// Build encodes lists that have passed Parse or Validate. Chunks that are equal
// to those of base, which may be nil, are shared with it.
func Build(l *Lists, base *State, h Header) (*State, error) {
	current := 0
	if base != nil {
		current = len(base.accounts)
	}
	groups := groupAccounts(l.Plans.Accounts, chunkCount(len(l.Plans.Accounts), current))
	chunks := make([]*accountChunk, len(groups))
	for i, group := range groups {
		chunks[i] = newAccountChunk(group)
	}
	s := newState(h, newSharedChunk(sortedShared(l)), chunks)
	s.shareChunksOf(base)
	return s, s.checkSizes()
}

// Revision returns the number of the revision.
func (s *State) Revision() uint64 { return s.root.Revision }

// Nonce returns the random number that the writer of the revision chose.
func (s *State) Nonce() uint64 { return s.root.Nonce }

// Author returns who wrote the revision.
func (s *State) Author() string { return s.root.Author }

// Digest returns the digest of the root.
func (s *State) Digest() uint64 { return s.digest }

// EncodedRoot returns the root, encoded as peers exchange it. The caller must not change it.
func (s *State) EncodedRoot() []byte { return s.encoded }

// Digests returns the digests of all chunks, the shared one first.
func (s *State) Digests() []uint64 { return s.root.digests() }

// Lists returns both lists, sorted by name. The caller must not change them.
func (s *State) Lists() *Lists {
	l := &Lists{
		Plans:        PlanList{Plans: s.shared.content.Plans},
		Entitlements: s.shared.content.Entitlements,
	}
	for _, c := range s.accounts {
		l.Plans.Accounts = append(l.Plans.Accounts, c.accounts...)
	}
	slices.SortFunc(l.Plans.Accounts, compareAccounts)
	return l
}

// Snapshot resolves the lists.
func (s *State) Snapshot() *Snapshot {
	snap := Resolve(s.Lists(), s.root.Revision)
	snap.Digest = s.digest
	snap.Author = s.root.Author
	return snap
}

// Bodies returns the chunks by digest. The caller must not change them.
func (s *State) Bodies() map[uint64][]byte {
	out := make(map[uint64][]byte, len(s.accounts)+1)
	out[s.shared.digest] = s.shared.body
	for _, c := range s.accounts {
		out[c.digest] = c.body
	}
	return out
}

// BodiesNotIn returns the bodies of the chunks whose digests are not in have.
func (s *State) BodiesNotIn(have []uint64) [][]byte {
	known := digestSet(have)
	var out [][]byte
	if !known[s.shared.digest] {
		out = append(out, s.shared.body)
	}
	for _, c := range s.accounts {
		if !known[c.digest] {
			known[c.digest] = true
			out = append(out, c.body)
		}
	}
	return out
}

func newState(h Header, shared *sharedChunk, accounts []*accountChunk) *State {
	root := Root{Revision: h.Revision, Nonce: h.Nonce, Author: h.Author, Shared: shared.digest}
	root.Accounts = make([]uint64, len(accounts))
	for i, c := range accounts {
		root.Accounts[i] = c.digest
	}
	encoded := encode(root)
	return &State{root: root, digest: digestOf(encoded), encoded: encoded, shared: shared, accounts: accounts}
}

// shareChunksOf replaces chunks by the equal ones of base, so that both states
// keep them in memory once.
func (s *State) shareChunksOf(base *State) {
	if base == nil {
		return
	}
	if base.shared.digest == s.shared.digest {
		s.shared = base.shared
	}
	if len(base.accounts) != len(s.accounts) {
		return
	}
	for i, c := range base.accounts {
		if c.digest == s.accounts[i].digest {
			s.accounts[i] = c
		}
	}
}

func (s *State) checkSizes() error {
	if len(s.root.Author) > maxAuthorBytes {
		return errors.Errorf("author: %d bytes are more than the bound of %d", len(s.root.Author), maxAuthorBytes)
	}
	if n := len(s.shared.body); n > store.MaxValueBytes {
		return errors.Errorf("plans, models, services and entitlements take %d bytes, more than the store's %d", n, store.MaxValueBytes)
	}
	for _, c := range s.accounts {
		if n := len(c.body); n > store.MaxValueBytes {
			return errors.Errorf("a chunk of %d client accounts takes %d bytes, more than the store's %d", len(c.accounts), n, store.MaxValueBytes)
		}
	}
	return nil
}

func newSharedChunk(content sharedContent) *sharedChunk {
	body := encode(content)
	return &sharedChunk{digest: digestOf(body), body: body, content: content}
}

// newAccountChunk encodes client accounts that are sorted by ID.
func newAccountChunk(accounts []ClientAccount) *accountChunk {
	body := encode(accounts)
	return &accountChunk{digest: digestOf(body), body: body, accounts: accounts}
}

func groupAccounts(accounts []ClientAccount, chunks int) [][]ClientAccount {
	groups := make([][]ClientAccount, chunks)
	for _, a := range accounts {
		i := chunkOf(a.ID, chunks)
		groups[i] = append(groups[i], a)
	}
	for _, g := range groups {
		slices.SortFunc(g, compareAccounts)
	}
	return groups
}

func sortedShared(l *Lists) sharedContent {
	return sharedContent{
		Plans: sortedBy(l.Plans.Plans, Plan.key),
		Entitlements: EntitlementList{
			Models:       sortedBy(l.Entitlements.Models, ModelEntry.key),
			Services:     sortedBy(l.Entitlements.Services, ServiceEntry.key),
			Entitlements: sortedBy(l.Entitlements.Entitlements, Entitlement.key),
		},
	}
}

func sortedBy[T any](list []T, key func(T) string) []T {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return out
}

func compareAccounts(a, b ClientAccount) int {
	return strings.Compare(string(a.ID), string(b.ID))
}

func (r *Root) digests() []uint64 {
	return append([]uint64{r.Shared}, r.Accounts...)
}

func (r *Root) check() error {
	n := len(r.Accounts)
	if n == 0 || n > maxAccountChunks || n&(n-1) != 0 {
		return errors.Errorf("root of revision %d names %d chunks of client accounts; want a power of two up to %d", r.Revision, n, maxAccountChunks)
	}
	if r.Revision == 0 {
		return errors.New("root has revision 0; revisions begin at 1")
	}
	return nil
}

func digestSet(digests []uint64) map[uint64]bool {
	set := make(map[uint64]bool, len(digests))
	for _, d := range digests {
		set[d] = true
	}
	return set
}

// accountIn reports whether the client account belongs to the chunk.
func accountIn(id wire.AccountID, chunk, chunks int) bool { return chunkOf(id, chunks) == chunk }
