package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"trefoilpath.org/trefoilpath/internal/tlsconfig"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer answers every Hello with Welcome and a body chunk, and records the
// streams closed and the peer messages received.
type echoServer struct {
	closed chan string
	peers  chan []wire.ToPeer
}

func newEchoServer() *echoServer {
	return &echoServer{closed: make(chan string, 8), peers: make(chan []wire.ToPeer, 8)}
}

func (e *echoServer) AgentMessage(s *AgentStream, m *wire.ToEntry) error {
	if m.Hello == nil {
		return errors.New("message is not a Hello")
	}
	if err := s.Send(wire.ToAgent{Welcome: &wire.Welcome{Entry: wire.NodeID(s.Identity)}}); err != nil {
		return err
	}
	return s.SendBulk(context.Background(), wire.ToAgent{Body: &wire.BodyChunk{Data: []byte("body"), Last: true}})
}

func (e *echoServer) AgentClosed(s *AgentStream) { e.closed <- s.Identity }

func (e *echoServer) PeerMessages(_ wire.NodeID, msgs []wire.ToPeer) { e.peers <- msgs }

// testServer is an entry server on loopback with the authority of its certificates.
type testServer struct {
	echo   *echoServer
	addr   string
	issuer *tlsconfig.Authority
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	ca, err := tlsconfig.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	w := &testServer{echo: newEchoServer(), issuer: ca}
	h, err := Handler(w.echo, w.echo, true)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(l, w.issue(t, "entry-1", tlsconfig.RoleEntry), h)
	t.Cleanup(s.Close)
	w.addr = l.Addr().String()
	return w
}

func (w *testServer) issue(t *testing.T, name string, role tlsconfig.Role) *tlsconfig.Source {
	t.Helper()
	s, err := w.issuer.Issue(name, role)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (w *testServer) dial(t *testing.T, source *tlsconfig.Source, receive func(*wire.ToAgent)) *EntryStream {
	t.Helper()
	client := NewHTTPClient(source)
	s, err := DialEntry(t.Context(), client, URL(w.addr, source), receive)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		client.CloseIdleConnections()
	})
	return s
}

func TestAgentStreamCarriesControlAndBulk(t *testing.T) {
	w := startServer(t)
	got := make(chan wire.ToAgent, 2)
	s := w.dial(t, w.issue(t, "luthier-01", tlsconfig.RoleAgent), func(m *wire.ToAgent) { got <- *m })
	if err := s.Send(wire.ToEntry{Hello: &wire.Hello{Endpoint: "luthier-01"}}); err != nil {
		t.Fatal(err)
	}
	want := []wire.ToAgent{
		{Welcome: &wire.Welcome{Entry: "luthier-01"}},
		{Body: &wire.BodyChunk{Data: []byte("body"), Last: true}},
	}
	if diff := cmp.Diff(want, []wire.ToAgent{<-got, <-got}); diff != "" {
		t.Fatalf("messages differ (-want +got):\n%s", diff)
	}
	s.Close()
	if id := <-w.echo.closed; id != "luthier-01" {
		t.Fatalf("AgentClosed for %q, want luthier-01", id)
	}
}

func TestRefusedMessageEndsStream(t *testing.T) {
	w := startServer(t)
	s := w.dial(t, w.issue(t, "luthier-01", tlsconfig.RoleAgent), func(*wire.ToAgent) {})
	if err := s.Send(wire.ToEntry{Report: &wire.Report{}}); err != nil {
		t.Fatal(err)
	}
	<-s.Done()
}

func TestRoleIsChecked(t *testing.T) {
	w := startServer(t)
	entry := w.issue(t, "entry-2", tlsconfig.RoleEntry)
	agent := w.issue(t, "luthier-01", tlsconfig.RoleAgent)
	msgs := []wire.ToPeer{{Announce: &wire.Announce{Revision: 7}}}

	s := w.dial(t, entry, func(*wire.ToAgent) { t.Error("an entry's certificate was accepted on an agent's stream") })
	if err := s.Send(wire.ToEntry{Hello: &wire.Hello{Endpoint: "entry-2"}}); err != nil {
		t.Fatal(err)
	}
	<-s.Done()
	if err := sendPeer(t, w, agent, "luthier-01", msgs); err == nil {
		t.Fatal("an agent's certificate was accepted between entries")
	}
	if err := sendPeer(t, w, entry, "entry-3", msgs); err == nil {
		t.Fatal("a certificate was accepted for another name")
	}
	if err := sendPeer(t, w, entry, "entry-2", msgs); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(msgs, <-w.echo.peers); diff != "" {
		t.Fatalf("messages differ (-want +got):\n%s", diff)
	}
}

func sendPeer(t *testing.T, w *testServer, source *tlsconfig.Source, self wire.NodeID, msgs []wire.ToPeer) error {
	t.Helper()
	client := NewHTTPClient(source)
	defer client.CloseIdleConnections()
	p, err := NewPeerClient(self, client, source)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.Send(ctx, w.addr, msgs)
}

func TestBatchesAreBounded(t *testing.T) {
	q := newQueue[int]()
	for i := range 10 {
		if err := q.sendBulk(t.Context(), 100+i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 3 {
		if err := q.send(i); err != nil {
			t.Fatal(err)
		}
	}
	first, _ := q.next(nil)
	second, _ := q.next(nil)
	total := append(append([]int{}, first...), second...)
	if len(first) > 1+3+maxBulkPerBatch || len(total) < 8 {
		t.Fatalf("batches %v and %v: the first exceeds one bulk message, 3 control messages and maxBulkPerBatch, or both hold fewer than 8", first, second)
	}
	q.close()
	if err := q.send(1); !errors.Is(err, ErrClosed) {
		t.Fatalf("got %v, want ErrClosed", err)
	}
}
