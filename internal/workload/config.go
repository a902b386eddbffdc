package workload

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes a workload.
type Config struct {
	Deployment Deployment
	Rate       float64 // mean arrivals per second
	Burst      Burst
	Mix        Mix
	Accounts   []Account
	Seed       uint64
}

// Burst modulates a Poisson process. During a burst the arrival rate is Factor
// times the mean; between bursts it is lowered so that the mean stays Rate,
// but not below minQuietFraction of Rate. A zero Burst is a plain Poisson process.
type Burst struct {
	Factor float64
	On     time.Duration // mean length of a burst
	Off    time.Duration // mean time between bursts
}

// DefaultBurst returns bursts of twice the mean rate: 5 s every 25 s on average.
func DefaultBurst() Burst {
	return Burst{Factor: 2, On: 5 * time.Second, Off: 20 * time.Second}
}

// Account is one client account and its share of the arrivals, relative to the
// other accounts.
type Account struct {
	ID          wire.AccountID
	Share       float64
	PromptsOnly bool // makes no service calls; SnapshotAccounts sets it for accounts that may not make both the read and the write call
}

// largeAccounts is the number of accounts that send most of the requests.
const largeAccounts = 3

// largeShare is the share of a large account relative to a small one.
const largeShare = 5

// AccountsWithShares returns one Account per ID. The first largeAccounts get largeShare, the
// others a share of 1.
func AccountsWithShares(ids []wire.AccountID) []Account {
	accounts := make([]Account, 0, len(ids))
	for i, id := range ids {
		share := 1.0
		if i < largeAccounts {
			share = largeShare
		}
		accounts = append(accounts, Account{ID: id, Share: share})
	}
	return accounts
}

// SnapshotAccounts returns the accounts named in ids, in that order, with their shares.
// PromptsOnly is set for those that the snapshot does not allow to make both
// service calls of the deployment.
func SnapshotAccounts(s *declaration.Snapshot, ids []wire.AccountID, d Deployment) []Account {
	accounts := AccountsWithShares(ids)
	for i := range accounts {
		a, ok := s.Accounts[accounts[i].ID]
		accounts[i].PromptsOnly = !ok || !mayCall(a, d)
	}
	return accounts
}

// mayCall reports whether an account may make both the read and the write call of
// the deployment's service.
func mayCall(a *declaration.Account, d Deployment) bool {
	grant, ok := a.Services[d.Service]
	if !ok {
		return false
	}
	all := len(grant.Methods) == 0
	return all || grant.Methods[d.Read.Method] && grant.Methods[d.Write.Method]
}

// Mix sets the kinds and lengths of requests. Each number is a fraction between 0
// and 1 of the requests that its comment names.
type Mix struct {
	Service        float64 // service calls, of all requests
	Medium         float64 // prompts in the medium band, of all prompts
	Long           float64 // prompts above the medium band, of all prompts
	Huge           float64 // prompts in the huge band, of those above the medium band
	OmitLong       bool    // drops prompts above the medium band; the other requests and their times stay the same
	SystemPrompt   float64 // prompts that begin with a shared system prompt, of all prompts
	SharedDocument float64 // prompts that contain a shared document, of those above the short band
	WriteCalls     float64 // non-idempotent calls, of all service calls
	Unkeyed        float64 // calls without an idempotency key, of new non-idempotent calls
	Repeats        float64 // calls that repeat an earlier key and body, of non-idempotent calls
	AskDeadline    float64 // requests that set a deadline, of all requests
}

// DefaultMix returns the mix of the present deployments: prompts of 1,000 to
// 1,000,000 tokens, one in fifty above 100,000.
func DefaultMix() Mix {
	return Mix{
		Service:        0.08,
		Medium:         0.13,
		Long:           0.02,
		Huge:           0.12,
		SystemPrompt:   0.7,
		SharedDocument: 0.4,
		WriteCalls:     0.6,
		Unkeyed:        0.15,
		Repeats:        0.05,
		AskDeadline:    0.05,
	}
}
