package workload

import (
	"time"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config describes a workload.
type Config struct {
	Deployment Deployment
	Rate       float64 // mean arrivals a second
	Burst      Burst
	Mix        Mix
	Accounts   []Account
	Seed       uint64
}

// Burst modulates a Poisson process. During a burst the arrival rate is Factor
// times the mean; between bursts it is lowered so that the mean holds. A zero
// Burst is a plain Poisson process.
type Burst struct {
	Factor float64
	On     time.Duration // mean length of a burst
	Off    time.Duration // mean time between bursts
}

// DefaultBurst returns short bursts of twice the mean rate.
func DefaultBurst() Burst {
	return Burst{Factor: 2, On: 5 * time.Second, Off: 20 * time.Second}
}

// Account is one client account and its share of the arrivals, relative to the
// other accounts.
type Account struct {
	ID          wire.AccountID
	Share       float64
	PromptsOnly bool // may not call the plain service
}

// largeAccounts is the number of accounts that bring most of the load.
const largeAccounts = 3

// largeShare is the share of a large account relative to a small one.
const largeShare = 5

// Shares gives the first few accounts most of the arrivals.
func Shares(ids []wire.AccountID) []Account {
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

// AccountsOf returns the client accounts of a revision in order of their names
// in ids, with their shares and with what they may call of the deployment.
func AccountsOf(s *declaration.Snapshot, ids []wire.AccountID, d Deployment) []Account {
	accounts := Shares(ids)
	for i := range accounts {
		a, ok := s.Accounts[accounts[i].ID]
		accounts[i].PromptsOnly = !ok || !mayCall(a, d)
	}
	return accounts
}

// mayCall reports whether an account may make both calls of the service.
func mayCall(a *declaration.Account, d Deployment) bool {
	grant, ok := a.Services[d.Service]
	if !ok {
		return false
	}
	all := len(grant.Methods) == 0
	return all || grant.Methods[d.Read.Method] && grant.Methods[d.Write.Method]
}

// Mix gives the kinds and lengths of requests. Fractions are between 0 and 1.
type Mix struct {
	Service      float64 // service calls among all requests
	Medium       float64 // prompts of the medium band among prompts
	Long         float64 // prompts above the medium band among prompts
	Huge         float64 // prompts of the huge band among those above the medium band
	OmitLong     bool    // leaves out prompts above the medium band; the others stay as they are
	SystemPrompt float64 // prompts that begin with a shared system prompt
	Dossier      float64 // prompts above the short band that repeat a shared document
	WriteCalls   float64 // service calls that are not idempotent
	Unkeyed      float64 // such calls without an idempotency key
	Repeats      float64 // such calls that repeat an earlier key and body
	AskDeadline  float64 // requests that ask for a deadline of their own
}

// DefaultMix returns the mix of the deployments of today: prompts of a thousand
// to a million tokens, one in fifty above a hundred thousand.
func DefaultMix() Mix {
	return Mix{
		Service:      0.08,
		Medium:       0.13,
		Long:         0.02,
		Huge:         0.12,
		SystemPrompt: 0.7,
		Dossier:      0.4,
		WriteCalls:   0.6,
		Unkeyed:      0.15,
		Repeats:      0.05,
		AskDeadline:  0.05,
	}
}
