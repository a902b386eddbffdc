package transport

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/tlsconfig"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Timeouts of connections between processes.
const (
	idleTimeout = 90 * time.Second
	pingAfter   = 15 * time.Second // without any received frame
	pingTimeout = 5 * time.Second
)

// NewHTTPClient returns a client that speaks HTTP/2 to entries, with mutual TLS
// if source is not nil. Close its idle connections when done.
func NewHTTPClient(source *tlsconfig.Source) *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP2(source != nil)
	protocols.SetUnencryptedHTTP2(source == nil)
	t := &http.Transport{
		Protocols:       &protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	if source != nil {
		t.DialTLSContext = source.DialEntry
	}
	return &http.Client{Transport: t}
}

// URL returns the base URL of an entry at address "host:port".
func URL(address string, source *tlsconfig.Source) string {
	if source == nil {
		return "http://" + address
	}
	return "https://" + address
}

// EntryStream is the agent's side of its stream to one entry.
type EntryStream struct {
	out    *queue[wire.ToEntry]
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// DialEntry opens a stream to the entry at the base URL and calls receive for the
// messages in order, all from a single goroutine. DialEntry returns without waiting:
// the connection is made when the first message is sent, and Done is closed if that
// fails.
func DialEntry(ctx context.Context, client *http.Client, baseURL string, receive func(*wire.ToAgent)) (*EntryStream, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	rpc := connect.NewClient[Batch[wire.ToEntry], Batch[wire.ToAgent]](client, baseURL+AgentProcedure, connect.WithCodec(c), connect.WithReadMaxBytes(maxMessageBytes))
	stream := rpc.CallBidiStream(ctx)
	s := &EntryStream{out: newQueue[wire.ToEntry](), cancel: cancel}
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		write(s.out, stream.Send)
		_ = stream.CloseRequest() // the transport sees a cancelled context only once the request body has ended
		cancel()
	}()
	go func() {
		defer s.wg.Done()
		readEntry(stream, receive)
		s.out.close()
		cancel()
	}()
	return s, nil
}

func readEntry(stream *connect.BidiStreamForClient[Batch[wire.ToEntry], Batch[wire.ToAgent]], receive func(*wire.ToAgent)) {
	for {
		b, err := stream.Receive()
		if err != nil {
			return
		}
		for i := range b.Messages {
			receive(&b.Messages[i])
		}
	}
}

// Send queues a control message.
func (s *EntryStream) Send(m wire.ToEntry) error { return s.out.send(m) }

// SendBulk queues an answer frame. It blocks while the bulk queue is full.
func (s *EntryStream) SendBulk(ctx context.Context, m wire.ToEntry) error {
	return s.out.sendBulk(ctx, m)
}

// Done is closed when the stream has ended.
func (s *EntryStream) Done() <-chan struct{} { return s.out.done }

// Close ends the stream and waits for its goroutines.
func (s *EntryStream) Close() {
	s.out.close()
	s.cancel()
	s.wg.Wait()
}

// PeerClient sends batches to other entries. It is safe for concurrent use.
type PeerClient struct {
	self   wire.NodeID
	http   *http.Client
	source *tlsconfig.Source
	codec  *codec
}

// NewPeerClient returns a client that sends as self.
func NewPeerClient(self wire.NodeID, client *http.Client, source *tlsconfig.Source) (*PeerClient, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	return &PeerClient{self: self, http: client, source: source, codec: c}, nil
}

// Send delivers a batch to the entry at address. If it returns an error, the batch
// may or may not have arrived.
func (p *PeerClient) Send(ctx context.Context, address string, msgs []wire.ToPeer) error {
	rpc := connect.NewClient[PeerBatch, Ack](p.http, URL(address, p.source)+PeerProcedure, connect.WithCodec(p.codec), connect.WithReadMaxBytes(maxMessageBytes))
	_, err := rpc.CallUnary(ctx, connect.NewRequest(&PeerBatch{From: p.self, Messages: msgs}))
	return errors.Wrapf(err, "send to peer %s", address)
}
