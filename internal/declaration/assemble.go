package declaration

import "github.com/pkg/errors"

// Assembly collects the chunks of one root until a state can be built. It is
// not safe for concurrent use.
type Assembly struct {
	root         Root
	digest       uint64
	bodies       map[uint64][]byte // by digest; nil: still missing
	missingCount int
}

// NewAssembly starts to assemble the revision of an encoded root. Chunks that
// base holds are taken from there; base may be nil.
func NewAssembly(encodedRoot []byte, base *State) (*Assembly, error) {
	a := &Assembly{digest: digestOf(encodedRoot)}
	if err := decode(encodedRoot, &a.root, "root"); err != nil {
		return nil, err
	}
	if err := a.root.check(); err != nil {
		return nil, err
	}
	a.bodies = make(map[uint64][]byte, len(a.root.Accounts)+1)
	for _, d := range a.root.digests() {
		if _, ok := a.bodies[d]; !ok {
			a.bodies[d] = nil
			a.missingCount++
		}
	}
	if base != nil {
		for _, body := range base.Bodies() {
			a.Add(body)
		}
	}
	return a, nil
}

// EncodeRoot returns the encoding of a root. Its digest identifies the revision.
func EncodeRoot(r Root) []byte { return encode(r) }

// Revision returns the number of the revision that is assembled.
func (a *Assembly) Revision() uint64 { return a.root.Revision }

// Digest returns the digest of the root.
func (a *Assembly) Digest() uint64 { return a.digest }

// Add takes a chunk if it is missing, and reports whether it was.
func (a *Assembly) Add(body []byte) bool {
	d := digestOf(body)
	have, wanted := a.bodies[d]
	if !wanted || have != nil {
		return false
	}
	a.bodies[d] = body
	a.missingCount--
	return true
}

// Missing returns the digests of the chunks that are still missing, in the
// order of the root.
func (a *Assembly) Missing() []uint64 {
	var out []uint64
	listed := make(map[uint64]bool)
	for _, d := range a.root.digests() {
		if a.bodies[d] == nil && !listed[d] {
			listed[d] = true
			out = append(out, d)
		}
	}
	return out
}

// Collected returns the digests of the chunks collected so far, in the order of the
// root. A digest that the root names twice is returned twice.
func (a *Assembly) Collected() []uint64 {
	var out []uint64
	for _, d := range a.root.digests() {
		if a.bodies[d] != nil {
			out = append(out, d)
		}
	}
	return out
}

// Complete reports whether no chunk is missing.
func (a *Assembly) Complete() bool { return a.missingCount == 0 }

// State decodes the chunks and checks the lists. It fails if a chunk is missing.
func (a *Assembly) State() (*State, error) {
	if !a.Complete() {
		return nil, errors.Errorf("revision %d lacks %d chunks", a.root.Revision, a.missingCount)
	}
	s := &State{root: a.root, digest: a.digest, encoded: encode(a.root)}
	if digestOf(s.encoded) != a.digest {
		return nil, errors.Errorf("root of revision %d is not in the canonical encoding", a.root.Revision)
	}
	s.shared = &sharedChunk{digest: a.root.Shared, body: a.bodies[a.root.Shared]}
	if err := decode(s.shared.body, &s.shared.content, "shared chunk"); err != nil {
		return nil, err
	}
	for i, d := range a.root.Accounts {
		c, err := decodeAccountChunk(a.bodies[d], i, len(a.root.Accounts))
		if err != nil {
			return nil, err
		}
		s.accounts = append(s.accounts, c)
	}
	return s, errors.Wrapf(Validate(s.Lists()), "revision %d", a.root.Revision)
}

func decodeAccountChunk(body []byte, index, chunks int) (*accountChunk, error) {
	c := &accountChunk{digest: digestOf(body), body: body}
	if err := decode(body, &c.accounts, "account chunk"); err != nil {
		return nil, err
	}
	for _, a := range c.accounts {
		if !accountIn(a.ID, index, chunks) {
			return nil, errors.Errorf("chunk %d holds account %q of another chunk", index, a.ID)
		}
	}
	return c, nil
}

// Assemble builds the state of an encoded root from its chunks. Chunks may come
// in any order; their digests are verified.
func Assemble(encodedRoot []byte, bodies [][]byte) (*State, error) {
	a, err := NewAssembly(encodedRoot, nil)
	if err != nil {
		return nil, err
	}
	for _, body := range bodies {
		a.Add(body)
	}
	return a.State()
}

// AddFrom adds the missing chunks that another assembly has collected.
func (a *Assembly) AddFrom(other *Assembly) {
	for _, body := range other.bodies {
		if body != nil {
			a.Add(body)
		}
	}
}
