package upstream

import (
	"net"
	"net/http"
	"testing"
)

// TestIdleConnectionsToManyEndpointsAreBounded guards against a process whose idle connections leave it no
// descriptors.
func TestIdleConnectionsToManyEndpointsAreBounded(t *testing.T) {
	const endpoints, maxIdleInAll = 40, 16
	p := NewPool()
	p.SetMaxIdle(maxIdleInAll)
	var latest *server
	for range endpoints {
		latest = newServer(t, func(c net.Conn, n int64, r *http.Request) bool { return reply(c, "a", "body", "") })
		if body, err := exchange(p, latest, "a"); err != nil || body != "body" {
			t.Fatal(body, err)
		}
	}
	if open, _ := p.Stats(); open > maxIdleInAll || open == 0 {
		t.Errorf("%d idle connections to %d endpoints are kept, want some, and at most %d", open, endpoints, maxIdleInAll)
	}
	if _, err := exchange(p, latest, "a"); err != nil {
		t.Fatal(err)
	}
	if _, dialed := p.Stats(); dialed != endpoints {
		t.Errorf("%d connections were made, want %d: the latest is kept", dialed, endpoints)
	}
}
