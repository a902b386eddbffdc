// Package table provides the storage of the deterministic cores: rows kept in a
// slice, looked up by key, and visited in insertion order.
package table

import "iter"

// Table holds rows of type V under keys of type K. Iteration follows insertion
// order, so that a core that visits a table makes the same decisions on every
// run. A Table is not safe for concurrent use.
type Table[K comparable, V any] struct {
	index map[K]int // position in rows
	rows  []row[K, V]
	live  int // rows that are not deleted
}

type row[K comparable, V any] struct {
	key     K
	val     *V
	deleted bool
}

// minCompactRows is the number of rows below which deleted rows are left in place.
const minCompactRows = 32

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{index: make(map[K]int)}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return t.live }

// Get returns the row under key, or nil.
func (t *Table[K, V]) Get(key K) *V {
	i, ok := t.index[key]
	if !ok {
		return nil
	}
	return t.rows[i].val
}

// Put stores v under key and returns the stored row. An existing row keeps its
// place in the iteration order.
func (t *Table[K, V]) Put(key K, v V) *V {
	if i, ok := t.index[key]; ok {
		*t.rows[i].val = v
		return t.rows[i].val
	}
	p := &v
	t.index[key] = len(t.rows)
	t.rows = append(t.rows, row[K, V]{key: key, val: p})
	t.live++
	return p
}

// Delete removes the row under key and reports whether there was one. Rows may
// be deleted during Each.
func (t *Table[K, V]) Delete(key K) bool {
	i, ok := t.index[key]
	if !ok {
		return false
	}
	delete(t.index, key)
	t.rows[i].deleted = true
	t.rows[i].val = nil
	t.live--
	return true
}

// Each calls f for every row in insertion order until f returns false. Rows
// that f adds are visited too.
func (t *Table[K, V]) Each(f func(key K, v *V) bool) {
	for i := 0; i < len(t.rows); i++ {
		if t.rows[i].deleted {
			continue
		}
		if !f(t.rows[i].key, t.rows[i].val) {
			break
		}
	}
}

// Values iterates over the rows in insertion order. Rows may be deleted during the
// iteration.
func (t *Table[K, V]) Values() iter.Seq[*V] {
	return func(yield func(*V) bool) {
		t.Each(func(_ K, v *V) bool { return yield(v) })
	}
}

// Keys returns the keys in insertion order.
func (t *Table[K, V]) Keys() []K {
	keys := make([]K, 0, t.live)
	for i := range t.rows {
		if !t.rows[i].deleted {
			keys = append(keys, t.rows[i].key)
		}
	}
	return keys
}

// Compact frees the space of deleted rows when they are at least half of all. It must
// not be called during Each.
func (t *Table[K, V]) Compact() {
	if len(t.rows) < minCompactRows || t.live*2 > len(t.rows) {
		return
	}
	kept := t.rows[:0]
	for i := range t.rows {
		if t.rows[i].deleted {
			continue
		}
		t.index[t.rows[i].key] = len(kept)
		kept = append(kept, t.rows[i])
	}
	clear(t.rows[len(kept):])
	t.rows = kept
}
