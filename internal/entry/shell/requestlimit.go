package shell

import (
	"sync"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// requestLimit bounds the requests that an entry holds at once, in total and
// per client account. It protects the memory of the entry; the core
// enforces the limits of plans.
type requestLimit struct {
	maxTotal      int64
	maxPerAccount int64

	mu       sync.Mutex
	total    int64
	accounts map[wire.AccountID]int64
}

func newRequestLimit(maxTotal, maxPerAccount int64) *requestLimit {
	return &requestLimit{maxTotal: maxTotal, maxPerAccount: maxPerAccount, accounts: make(map[wire.AccountID]int64)}
}

func (l *requestLimit) acquire(id wire.AccountID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.maxTotal || l.accounts[id] >= l.maxPerAccount {
		return false
	}
	l.total++
	l.accounts[id]++
	return true
}

func (l *requestLimit) release(id wire.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.accounts[id]--
	if l.accounts[id] == 0 {
		delete(l.accounts, id)
	}
}
