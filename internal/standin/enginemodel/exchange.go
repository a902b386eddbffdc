package enginemodel

import "sync"

// Exchange holds the exported KV cache handles of a set of engines, so that an engine
// can import the KV cache of another. It is safe for concurrent use.
type Exchange struct {
	mu      sync.Mutex
	handles map[string]int64 // KV cache tokens by handle
}

// NewExchange returns an empty exchange.
func NewExchange() *Exchange {
	return &Exchange{handles: make(map[string]int64)}
}

// Tokens returns the number of KV cache tokens of a handle, and false if the handle
// was never exported, was freed or belonged to a killed engine.
func (x *Exchange) Tokens(handle string) (int64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n, ok := x.handles[handle]
	return n, ok
}

func (x *Exchange) publish(handle string, tokens int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handles[handle] = tokens
}

func (x *Exchange) withdraw(handle string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.handles, handle)
}
