package servicemodel

import "testing"

func TestDoubledCallIsCounted(t *testing.T) {
	m := New()
	m.Do(Call{Method: "POST", Path: "/reservations", IdempotencyKey: "a"})
	m.Do(Call{Method: "POST", Path: "/reservations", IdempotencyKey: "b"})
	m.Do(Call{Method: "GET", Path: "/stock", IdempotencyKey: "a"})
	if m.DuplicatedKeys() != 0 {
		t.Error("a key counts as executed twice before its write was repeated")
	}
	m.Do(Call{Method: "POST", Path: "/reservations", IdempotencyKey: "a"})
	if m.Executions("a") != 2 || m.Executions("b") != 1 || m.DuplicatedKeys() != 1 || len(m.Ledger()) != 3 {
		t.Errorf("a %d, b %d, doubled %d, ledger %v, want 2, 1, 1 and 3 writes", m.Executions("a"), m.Executions("b"), m.DuplicatedKeys(), m.Ledger())
	}
}
