package declaration

import (
	"bytes"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Difference holds the edits that turn one revision into a later one, byte for
// byte; State.Apply verifies it by the digests of the roots. Lists without edits
// are nil.
type Difference struct {
	FromDigest   uint64                `cbor:"1,keyasint"`
	ToDigest     uint64                `cbor:"2,keyasint"`
	Revision     uint64                `cbor:"3,keyasint"`
	Nonce        uint64                `cbor:"4,keyasint"`
	Author       string                `cbor:"5,keyasint,omitempty"`
	Chunks       int                   `cbor:"6,keyasint"` // number of chunks of client accounts in the later revision
	Accounts     *Edits[ClientAccount] `cbor:"7,keyasint,omitempty"`
	Plans        *Edits[Plan]          `cbor:"8,keyasint,omitempty"`
	Models       *Edits[ModelEntry]    `cbor:"9,keyasint,omitempty"`
	Services     *Edits[ServiceEntry]  `cbor:"10,keyasint,omitempty"`
	Entitlements *Edits[Entitlement]   `cbor:"11,keyasint,omitempty"`
}

// Edits adds, replaces and removes entities of one list by their names.
type Edits[T any] struct {
	Put    []T      `cbor:"1,keyasint,omitempty"` // added or replaced
	Remove []string `cbor:"2,keyasint,omitempty"`
}

// Difference returns the edits from s to a later state.
func (s *State) Difference(later *State) *Difference {
	d := &Difference{
		FromDigest: s.digest,
		ToDigest:   later.digest,
		Revision:   later.root.Revision,
		Nonce:      later.root.Nonce,
		Author:     later.root.Author,
		Chunks:     len(later.accounts),
		Accounts:   editsBetween(s.accountsNotIn(later), later.accountsNotIn(s), ClientAccount.key),
	}
	if s.shared.digest != later.shared.digest {
		a, b := &s.shared.content, &later.shared.content
		d.Plans = editsBetween(a.Plans, b.Plans, Plan.key)
		d.Models = editsBetween(a.Entitlements.Models, b.Entitlements.Models, ModelEntry.key)
		d.Services = editsBetween(a.Entitlements.Services, b.Entitlements.Services, ServiceEntry.key)
		d.Entitlements = editsBetween(a.Entitlements.Entitlements, b.Entitlements.Entitlements, Entitlement.key)
	}
	return d
}

// accountsNotIn returns the client accounts in those chunks of s that other lacks.
func (s *State) accountsNotIn(other *State) []ClientAccount {
	known := digestSet(other.root.Accounts)
	var out []ClientAccount
	for _, c := range s.accounts {
		if !known[c.digest] {
			out = append(out, c.accounts...)
		}
	}
	return out
}

// Apply returns the state that d produces from s. It fails if d starts from
// another state or the digest of the result is not d.ToDigest.
func (s *State) Apply(d *Difference) (*State, error) {
	if d.FromDigest != s.digest {
		return nil, errors.Errorf("difference to revision %d does not start at revision %d", d.Revision, s.root.Revision)
	}
	// Chunks comes from a peer. It is clamped to allocate little; check refuses both
	// clamped values, 0 and maxAccountChunks+1.
	root := Root{Revision: d.Revision, Accounts: make([]uint64, min(max(d.Chunks, 0), maxAccountChunks+1))}
	if err := root.check(); err != nil {
		return nil, err
	}
	h := Header{Revision: d.Revision, Nonce: d.Nonce, Author: d.Author}
	later := newState(h, s.applyShared(d), s.applyAccounts(d))
	if later.digest != d.ToDigest {
		return nil, errors.Errorf("result of the difference to revision %d does not have the digest that it names", d.Revision)
	}
	return later, nil
}

func (s *State) applyShared(d *Difference) *sharedChunk {
	if d.Plans == nil && d.Models == nil && d.Services == nil && d.Entitlements == nil {
		return s.shared
	}
	c := &s.shared.content
	return newSharedChunk(sharedContent{
		Plans: applyEdits(c.Plans, d.Plans, Plan.key),
		Entitlements: EntitlementList{
			Models:       applyEdits(c.Entitlements.Models, d.Models, ModelEntry.key),
			Services:     applyEdits(c.Entitlements.Services, d.Services, ServiceEntry.key),
			Entitlements: applyEdits(c.Entitlements.Entitlements, d.Entitlements, Entitlement.key),
		},
	})
}

func (s *State) applyAccounts(d *Difference) []*accountChunk {
	if d.Chunks != len(s.accounts) {
		return s.regroup(d)
	}
	if d.Accounts == nil {
		return s.accounts
	}
	chunks := slices.Clone(s.accounts)
	edits := make(map[int]*Edits[ClientAccount])
	editsOf := func(id wire.AccountID) *Edits[ClientAccount] {
		i := chunkOf(id, d.Chunks)
		if edits[i] == nil {
			edits[i] = &Edits[ClientAccount]{}
		}
		return edits[i]
	}
	for _, a := range d.Accounts.Put {
		e := editsOf(a.ID)
		e.Put = append(e.Put, a)
	}
	for _, id := range d.Accounts.Remove {
		e := editsOf(wire.AccountID(id))
		e.Remove = append(e.Remove, id)
	}
	for i, e := range edits {
		chunks[i] = newAccountChunk(applyEdits(chunks[i].accounts, e, ClientAccount.key))
	}
	return chunks
}

// regroup applies a difference that changes the number of chunks.
func (s *State) regroup(d *Difference) []*accountChunk {
	var all []ClientAccount
	for _, c := range s.accounts {
		all = append(all, c.accounts...)
	}
	groups := groupAccounts(applyEdits(all, d.Accounts, ClientAccount.key), d.Chunks)
	chunks := make([]*accountChunk, len(groups))
	for i, group := range groups {
		chunks[i] = newAccountChunk(group)
	}
	return chunks
}

// editsBetween returns the edits from old to new, or nil if they hold equal
// entities.
func editsBetween[T any](old, new []T, key func(T) string) *Edits[T] {
	before := byKey(old, key)
	e := &Edits[T]{}
	for _, v := range new {
		was, ok := before[key(v)]
		if !ok || !bytes.Equal(encode(was), encode(v)) {
			e.Put = append(e.Put, v)
		}
		delete(before, key(v))
	}
	e.Remove = mergedKeys(before, map[string]T(nil))
	if len(e.Put) == 0 && len(e.Remove) == 0 {
		return nil
	}
	return e
}

// applyEdits returns an edited copy, sorted by name, or list itself if e is nil.
func applyEdits[T any](list []T, e *Edits[T], key func(T) string) []T {
	if e == nil {
		return list
	}
	dropped := make(map[string]bool, len(e.Remove)+len(e.Put))
	for _, name := range e.Remove {
		dropped[name] = true
	}
	for _, v := range e.Put {
		dropped[key(v)] = true
	}
	out := make([]T, 0, len(list)+len(e.Put))
	for _, v := range list {
		if !dropped[key(v)] {
			out = append(out, v)
		}
	}
	out = append(out, e.Put...)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return out
}

// EncodeDifference encodes a difference as peers exchange it.
func EncodeDifference(d *Difference) []byte { return encode(d) }

// DecodeDifference decodes the result of EncodeDifference.
func DecodeDifference(body []byte) (*Difference, error) {
	d := &Difference{}
	if err := decode(body, d, "difference"); err != nil {
		return nil, err
	}
	return d, nil
}
