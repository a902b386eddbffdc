package shell

import (
	"strings"
	"testing"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestBodiesAreChargedUntilTheirAttemptsEnd(t *testing.T) {
	const size = 100 << 10
	memory := bytebudget.New(4 * size)
	b := newBodies(16<<20, 100, memory)
	held := 0
	for b.expect(attemptID(uint64(held+1)), size) {
		held++
	}
	if held == 0 || memory.Used() > 4*size {
		t.Fatalf("%d bodies, %d bytes charged, want some and at most %d", held, memory.Used(), 4*size)
	}
	if !b.add(&wire.BodyChunk{Attempt: attemptID(1), Data: make([]byte, size), Last: true}) {
		t.Fatal("the body is not complete")
	}
	if len(b.take(attemptID(1))) != size {
		t.Error("the body is not whole")
	}
	next := attemptID(uint64(held + 1))
	if b.expect(next, size) {
		t.Error("a body that was handed to the endpoint is not charged any more")
	}
	b.drop(attemptID(1))
	if !b.expect(next, size) {
		t.Error("the body of an ended attempt is still charged")
	}
	for n := range held + 1 {
		b.drop(attemptID(uint64(n + 1)))
	}
	if memory.Used() != 0 {
		t.Errorf("%d bytes are charged for no body", memory.Used())
	}
}

func TestAttemptWithoutRoomForItsBodyIsRefusedAtOnce(t *testing.T) {
	svc, err := standin.NewService()
	if err != nil {
		t.Fatal(err)
	}
	defer svc.Close()
	e := newFakeEntry(t)
	startAgent(t, e, Config{Core: agent.Config{Kind: wire.KindService, Service: "mostrador-pedidos"}, EndpointURL: svc.URL(), MemoryBytes: 600 << 10})
	e.sendDispatch(serviceDispatch(1), strings.Repeat("x", 190<<10))
	e.until("outcome", func() bool { return e.outcome[attemptID(1)] != "" })
	e.mu.Lock()
	got := e.outcome[attemptID(1)]
	e.mu.Unlock()
	if want := "refused " + wire.RefuseNoCapacity.String(); got != want {
		t.Errorf("outcome is %q, want %q", got, want)
	}
	e.sendDispatch(serviceDispatch(2), "a small body")
	e.until("answer", func() bool { return e.outcome[attemptID(2)] == "finished" })
}
