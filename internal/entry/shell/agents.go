package shell

import (
	"bytes"
	"context"
	"sync"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/entry"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// bodyChunkBytes is the chunk size in which request bodies are sent, so that
// the bodies of several attempts interleave on one stream.
const bodyChunkBytes = 32 << 10

// agentStreams holds the agents' streams and passes their messages to the core.
type agentStreams struct {
	e *Entry

	mu         sync.Mutex
	byStream   map[*transport.AgentStream]agentID
	byEndpoint map[wire.EndpointID]*transport.AgentStream
}

type agentID struct {
	endpoint    wire.EndpointID
	incarnation wire.Incarnation
}

func newAgentStreams(e *Entry) *agentStreams {
	return &agentStreams{
		e:          e,
		byStream:   make(map[*transport.AgentStream]agentID),
		byEndpoint: make(map[wire.EndpointID]*transport.AgentStream),
	}
}

// AgentMessage implements transport.AgentServer. The text of its error is sent to
// the agent.
func (a *agentStreams) AgentMessage(s *transport.AgentStream, m *wire.ToEntry) error {
	if m.Frame != nil {
		a.e.exchanges.deliverFrame(a.e, m.Frame)
		return nil
	}
	if m.Hello != nil {
		return a.hello(s, m.Hello)
	}
	id, ok := a.identify(s)
	if !ok {
		return errors.New("hello expected")
	}
	a.e.input(entry.Input{FromAgent: &entry.FromAgent{Endpoint: id.endpoint, Msg: *m}})
	return nil
}

// hello registers a stream. It replaces an earlier stream of the same
// endpoint, unless that stream belongs to a later incarnation.
func (a *agentStreams) hello(s *transport.AgentStream, h *wire.Hello) error {
	if s.Identity != "" && s.Identity != string(h.Endpoint) {
		return errors.Errorf("certificate of %q used by endpoint %q", s.Identity, h.Endpoint)
	}
	a.mu.Lock()
	earlier := a.byEndpoint[h.Endpoint]
	if earlier != nil && a.byStream[earlier].incarnation > h.Incarnation {
		a.mu.Unlock()
		return errors.Errorf("endpoint %q has a later agent", h.Endpoint)
	}
	if earlier != nil {
		delete(a.byStream, earlier)
	}
	a.byEndpoint[h.Endpoint] = s
	a.byStream[s] = agentID{h.Endpoint, h.Incarnation}
	a.mu.Unlock()
	if earlier != nil && earlier != s {
		earlier.Close()
	}
	a.e.input(entry.Input{AgentUp: &entry.AgentUp{Hello: *h}})
	return nil
}

func (a *agentStreams) identify(s *transport.AgentStream) (agentID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id, ok := a.byStream[s]
	return id, ok
}

// AgentClosed implements transport.AgentServer.
func (a *agentStreams) AgentClosed(s *transport.AgentStream) {
	a.mu.Lock()
	id, ok := a.byStream[s]
	delete(a.byStream, s)
	if ok && a.byEndpoint[id.endpoint] == s {
		delete(a.byEndpoint, id.endpoint)
	}
	a.mu.Unlock()
	if ok {
		a.e.input(entry.Input{AgentDown: &entry.AgentDown{Endpoint: id.endpoint, Incarnation: id.incarnation}})
	}
}

func (a *agentStreams) stream(id wire.EndpointID) *transport.AgentStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byEndpoint[id]
}

// send sends one message of the core, and the body after a Dispatch.
func (a *agentStreams) send(m *entry.ToAgent) {
	s := a.stream(m.Endpoint)
	if s == nil {
		return // disconnected: the core gets an AgentDown input
	}
	msg := m.Msg
	if msg.Dispatch == nil {
		a.sendOn(s, msg)
		return
	}
	d := *msg.Dispatch
	ctx, body := a.e.exchanges.body(m.Request, &d)
	d.BodyBytes = int64(len(body))
	a.sendOn(s, wire.ToAgent{Dispatch: &d})
	a.sendBody(ctx, s, d.Attempt, body)
}

func (a *agentStreams) sendOn(s *transport.AgentStream, m wire.ToAgent) {
	if err := s.Send(m); err != nil {
		s.Close()
	}
}

// sendBody sends a body in chunks until ctx ends. A body larger than one chunk is sent
// from its own goroutine, since the loop must not wait for the network.
func (a *agentStreams) sendBody(ctx context.Context, s *transport.AgentStream, id wire.AttemptID, body []byte) {
	if len(body) == 0 {
		return
	}
	if len(body) <= bodyChunkBytes {
		a.sendOn(s, wire.ToAgent{Body: &wire.BodyChunk{Attempt: id, Data: body, Last: true}})
		return
	}
	a.e.background.Add(1)
	go func() {
		defer a.e.background.Done()
		sendChunks(ctx, s, id, body)
	}()
}

// sendChunks sends copies of the chunks: those that are queued would keep the whole body.
func sendChunks(ctx context.Context, s *transport.AgentStream, id wire.AttemptID, body []byte) {
	for offset := 0; offset < len(body); offset += bodyChunkBytes {
		end := min(offset+bodyChunkBytes, len(body))
		chunk := wire.BodyChunk{Attempt: id, Offset: int64(offset), Data: bytes.Clone(body[offset:end]), Last: end == len(body)}
		if err := s.SendBulk(ctx, wire.ToAgent{Body: &chunk}); err != nil {
			return // the stream or the request has ended
		}
	}
}

// closeAll ends all streams.
func (a *agentStreams) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.byStream {
		s.Close()
	}
}
