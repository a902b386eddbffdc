package transport

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/tlsconfig"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Procedures of an entry.
const (
	AgentProcedure = "/trefoilpath.v1.Entry/Agent"
	PeerProcedure  = "/trefoilpath.v1.Entry/Peer"
)

// maxMessageBytes bounds one received message.
const maxMessageBytes = 16 << 20

// AgentStream is the entry's side of an agent's stream.
type AgentStream struct {
	out *queue[wire.ToAgent]
	// Identity is the name in the agent's certificate, or empty without TLS.
	Identity string
}

// Send queues a control message.
func (s *AgentStream) Send(m wire.ToAgent) error { return s.out.send(m) }

// SendBulk queues part of a body. It blocks while the bulk queue is full.
func (s *AgentStream) SendBulk(ctx context.Context, m wire.ToAgent) error {
	return s.out.sendBulk(ctx, m)
}

// Close ends the stream.
func (s *AgentStream) Close() { s.out.close() }

// AgentServer receives agents' streams. Calls for one stream are sequential;
// calls for different streams are concurrent.
type AgentServer interface {
	// AgentMessage handles one message. An error ends the stream.
	AgentMessage(s *AgentStream, m *wire.ToEntry) error
	// AgentClosed is called once after the last message.
	AgentClosed(s *AgentStream)
}

// PeerServer receives messages from other entries.
type PeerServer interface {
	PeerMessages(from wire.NodeID, msgs []wire.ToPeer)
}

// PeerBatch is one unary call between entries.
type PeerBatch struct {
	From     wire.NodeID   `cbor:"1,keyasint"`
	Messages []wire.ToPeer `cbor:"2,keyasint"`
}

// Ack answers a PeerBatch.
type Ack struct{}

// Handler returns the HTTP handler for both procedures. With requireTLS it refuses
// callers without a certificate for the role that may use the procedure.
func Handler(agents AgentServer, peers PeerServer, requireTLS bool) (http.Handler, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	opts := []connect.HandlerOption{connect.WithCodec(c), connect.WithReadMaxBytes(maxMessageBytes)}
	mux := http.NewServeMux()
	agent := connect.NewBidiStreamHandler(AgentProcedure, func(ctx context.Context, s *connect.BidiStream[Batch[wire.ToEntry], Batch[wire.ToAgent]]) error {
		return serveAgent(ctx, agents, s)
	}, opts...)
	peer := connect.NewUnaryHandler(PeerProcedure, func(ctx context.Context, r *connect.Request[PeerBatch]) (*connect.Response[Ack], error) {
		return servePeer(ctx, peers, r.Msg)
	}, opts...)
	mux.Handle(AgentProcedure, withRole(agent, tlsconfig.RoleAgent, requireTLS))
	mux.Handle(PeerProcedure, withRole(peer, tlsconfig.RoleEntry, requireTLS))
	return mux, nil
}

type identityKey struct{}

// withRole admits only callers with a verified certificate for the role, if required.
func withRole(next http.Handler, role tlsconfig.Role, required bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !required {
			next.ServeHTTP(w, r)
			return
		}
		name, err := tlsconfig.PeerIdentity(r.TLS, role)
		if err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		ctx := context.WithValue(r.Context(), identityKey{}, name)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func identityOf(ctx context.Context) string {
	name, _ := ctx.Value(identityKey{}).(string)
	return name
}

func servePeer(ctx context.Context, peers PeerServer, b *PeerBatch) (*connect.Response[Ack], error) {
	if id := identityOf(ctx); id != "" && id != string(b.From) {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.Errorf("certificate of %q used by %q", id, b.From))
	}
	peers.PeerMessages(b.From, b.Messages)
	return connect.NewResponse(&Ack{}), nil
}

// serveAgent reads until the agent or the server ends the stream.
func serveAgent(ctx context.Context, agents AgentServer, s *connect.BidiStream[Batch[wire.ToEntry], Batch[wire.ToAgent]]) error {
	stream := &AgentStream{out: newQueue[wire.ToAgent](), Identity: identityOf(ctx)}
	written := make(chan struct{})
	go func() {
		defer close(written)
		write(stream.out, s.Send)
	}()
	err := readAgent(agents, stream, s)
	stream.Close()
	<-written
	agents.AgentClosed(stream)
	return err
}

// readAgent passes received messages to agents. It returns nil when the stream fails
// or the entry has closed its own side, and the error of AgentMessage as
// CodeInvalidArgument.
func readAgent(agents AgentServer, stream *AgentStream, s *connect.BidiStream[Batch[wire.ToEntry], Batch[wire.ToAgent]]) error {
	type received struct {
		batch *Batch[wire.ToEntry]
		err   error
	}
	in := make(chan received)
	go func() {
		for {
			b, err := s.Receive()
			select {
			case in <- received{b, err}:
			case <-stream.out.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for {
		select {
		case <-stream.out.done:
			return nil
		case r := <-in:
			if r.err != nil {
				return nil
			}
			for i := range r.batch.Messages {
				if err := agents.AgentMessage(stream, &r.batch.Messages[i]); err != nil {
					return connect.NewError(connect.CodeInvalidArgument, err)
				}
			}
		}
	}
}

// write sends queued messages until the queue is closed or sending fails.
func write[T any](q *queue[T], send func(*Batch[T]) error) {
	var buf []T
	for {
		var ok bool
		buf, ok = q.next(buf)
		if !ok {
			return
		}
		if err := send(&Batch[T]{Messages: buf}); err != nil {
			q.close()
			return
		}
	}
}
