// Package servicemodel is a model of a plain service that keeps a ledger, such
// as an order desk: a write call adds a record to the ledger, a read call returns the
// number of records. The model does not remove duplicates; it counts the writes executed
// for each idempotency key, so that a test can detect a call that was executed twice.
package servicemodel

import (
	"net/http"
	"strconv"
)

// Call is one call as the service receives it.
type Call struct {
	Method         string
	Path           string
	IdempotencyKey string // may be empty
	Body           []byte
}

// Answer is the reply to a Call. Body is JSON.
type Answer struct {
	Status int
	Body   []byte
}

// Execution is one write that was executed.
type Execution struct {
	Number         uint64 // position in the ledger, from 1
	Path           string
	IdempotencyKey string
}

// Model is one service. It is not safe for concurrent use.
type Model struct {
	ledger []Execution
	byKey  map[string]int // executed writes by idempotency key
	reads  int
}

// New returns a service with an empty ledger.
func New() *Model { return &Model{byKey: make(map[string]int)} }

// Do executes a call.
func (m *Model) Do(c Call) Answer {
	switch c.Method {
	case http.MethodGet, http.MethodHead:
		m.reads++
		return Answer{Status: http.StatusOK, Body: []byte(`{"entries":` + strconv.Itoa(len(m.ledger)) + `}` + "\n")}
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return m.write(c)
	}
	return Answer{Status: http.StatusMethodNotAllowed, Body: []byte(`{"error":"method not allowed"}` + "\n")}
}

func (m *Model) write(c Call) Answer {
	number := uint64(len(m.ledger) + 1)
	m.ledger = append(m.ledger, Execution{Number: number, Path: c.Path, IdempotencyKey: c.IdempotencyKey})
	if c.IdempotencyKey != "" {
		m.byKey[c.IdempotencyKey]++
	}
	return Answer{Status: http.StatusCreated, Body: []byte(`{"number":` + strconv.FormatUint(number, 10) + `}` + "\n")}
}

// Executions returns how often writes with the idempotency key were executed.
func (m *Model) Executions(key string) int { return m.byKey[key] }

// Ledger returns a copy of all executed writes in order.
func (m *Model) Ledger() []Execution { return append([]Execution(nil), m.ledger...) }

// Reads returns the number of read calls executed.
func (m *Model) Reads() int { return m.reads }

// DuplicatedKeys returns the number of idempotency keys whose write was executed more than
// once.
func (m *Model) DuplicatedKeys() int {
	n := 0
	for _, times := range m.byKey {
		if times > 1 {
			n++
		}
	}
	return n
}
