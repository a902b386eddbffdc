package shell

import (
	"sync"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// streamLimit bounds the requests that an entry holds at once, in all and for
// each client account. It protects the memory of the entry; the limits of plans
// are the core's.
type streamLimit struct {
	most       int64
	perAccount int64

	mu       sync.Mutex
	total    int64
	accounts map[wire.AccountID]int64
}

func newStreamLimit(most, perAccount int64) *streamLimit {
	return &streamLimit{most: most, perAccount: perAccount, accounts: make(map[wire.AccountID]int64)}
}

func (l *streamLimit) take(id wire.AccountID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.most || l.accounts[id] >= l.perAccount {
		return false
	}
	l.total++
	l.accounts[id]++
	return true
}

func (l *streamLimit) release(id wire.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.accounts[id]--
	if l.accounts[id] == 0 {
		delete(l.accounts, id)
	}
}
