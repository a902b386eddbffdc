// Package declaration holds the operators' two lists: plans with their client
// accounts, and entitlements that say what each plan may use. It parses,
// validates and compares them, splits them into chunks for the platform's store,
// and resolves them into the Snapshot that the state machines of the entries read.
package declaration

import (
	"slices"
	"strings"
	"time"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Snapshot is one revision of both lists, resolved for lookups. It is immutable
// after construction and may be shared between goroutines.
type Snapshot struct {
	Revision uint64
	Digest   uint64
	Author   string // who applied the revision; for logs
	Accounts map[wire.AccountID]*Account
	Models   []Model   // sorted by name
	Services []Service // sorted by name
	keys     keyIndex
}

// KeyHash is the SHA-256 of a caller's bearer key.
type KeyHash [32]byte

// Account is one client account with the limits, objectives and grants of its
// plan, after its own overrides.
type Account struct {
	ID              wire.AccountID
	Plan            string
	Weight          float64 // share of service relative to other accounts
	Limits          Limits
	Deadlines       [wire.BandCount]time.Duration // by length band
	FirstTokenGoals [wire.BandCount]time.Duration // TTFT objective, by length band
	ServiceDeadline time.Duration                 // deadline of plain service calls
	MaxPriority     int32
	MaxPromptTokens int64 // tokens
	MaxOutputTokens int64 // tokens
	Models          map[string]*ModelGrant
	Services        map[string]*ServiceGrant
}

// Limits bounds what one client account may use across all entries.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64 // prompt and output tokens
	BurstSeconds      float64 // bucket depth as seconds of the rate
	Concurrency       int64   // requests in flight
}

// ModelGrant says which adapters of a model the account may use.
type ModelGrant struct {
	Model    string
	Adapters map[string]bool
}

// ServiceGrant says which calls of a plain service the account may make.
type ServiceGrant struct {
	Service string
	Methods map[string]bool // empty: all
}

// Model is one model that the deployment runs.
type Model struct {
	Name                        string
	Version                     string
	Adapters                    []string // sorted
	MinReplicasPerFailureDomain int      // for each failure domain
	MaxReplicas                 int      // over the whole deployment; 0: no bound
	Weight                      float64  // share of the replicas beyond the minimum, before demand
	MaxGroups                   int      // concurrent groups of engines, each for one request too large for a single engine; 0 counts as 1
	WeightBytes                 int64    // size of the weights
}

// Service is one plain service, which endpoints serve without an engine.
type Service struct {
	Name              string
	IdempotentMethods []string      // HTTP methods that may be repeated
	KeyTTL            time.Duration // how long an idempotency record lasts
}

// NewSnapshot returns a snapshot of accounts, models and services given directly,
// without lists. It copies the slices' elements.
func NewSnapshot(revision uint64, accounts []Account, models []Model, services []Service, keys map[KeyHash]wire.AccountID) *Snapshot {
	s := &Snapshot{
		Revision: revision,
		Accounts: make(map[wire.AccountID]*Account, len(accounts)),
		Models:   slices.SortedFunc(slices.Values(models), compareModels),
		Services: slices.SortedFunc(slices.Values(services), compareServices),
		keys:     make(keyIndex, len(keys)),
	}
	for _, a := range accounts {
		s.Accounts[a.ID] = &a
	}
	for h, id := range keys {
		s.keys.add(h, id)
	}
	return s
}

func compareModels(a, b Model) int { return strings.Compare(a.Name, b.Name) }

func compareServices(a, b Service) int { return strings.Compare(a.Name, b.Name) }

// Lookup returns the account that owns the key hash.
func (s *Snapshot) Lookup(h KeyHash) (*Account, bool) {
	id, ok := s.keys.find(h)
	if !ok {
		return nil, false
	}
	a, ok := s.Accounts[id]
	return a, ok
}
