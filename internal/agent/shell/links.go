package shell

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/sleep"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	minRedial = 100 * time.Millisecond
	maxRedial = 5 * time.Second
	// answerTimeout bounds the wait for an entry's first message on a stream.
	answerTimeout = 5 * time.Second
	vmListEvery   = 2 * time.Second
	vmListTimeout = 2 * time.Second
)

// links keeps one stream to each entry of the agent's subset.
type links struct {
	agent  *Agent
	client *http.Client
	vms    *membership.HTTPClient // nil: the entries are fixed

	mu   sync.Mutex
	rows map[wire.NodeID]*link
	wg   sync.WaitGroup
}

// link is the stream to one entry.
type link struct {
	links *links
	entry membership.EntryNode

	mu       sync.Mutex
	wanted   bool
	stream   *transport.EntryStream // dialled
	open     bool                   // Hello has gone out on stream
	outcomes []wire.ToEntry         // that follow the frames already queued
	flushing bool
}

func newLinks(a *Agent) *links {
	l := &links{agent: a, rows: make(map[wire.NodeID]*link), client: transport.NewHTTPClient(a.cfg.TLS)}
	if a.cfg.VMListURL != "" {
		l.vms = membership.NewHTTPClient(a.cfg.VMListURL, &http.Client{Timeout: vmListTimeout, Transport: http.DefaultTransport.(*http.Transport).Clone()})
	}
	return l
}

// run keeps the streams until ctx ends.
func (l *links) run(ctx context.Context) error {
	defer l.client.CloseIdleConnections()
	defer l.wg.Wait()
	l.set(ctx, l.agent.cfg.Entries)
	if l.vms == nil {
		<-ctx.Done()
		return nil
	}
	for {
		l.refresh(ctx)
		if !sleep.For(ctx, jittered(vmListEvery)) {
			return nil
		}
	}
}

// refresh takes the entries from the VM list. While the list can't be read, the
// streams stay as they are.
func (l *links) refresh(ctx context.Context) {
	vms, err := l.vms.Fetch(ctx)
	if err != nil {
		l.agent.cfg.Log.Warn().Str("event", "vm-list").Err(err).Send()
		return
	}
	entries := append([]membership.EntryNode(nil), l.agent.cfg.Entries...)
	for _, vm := range vms {
		switch {
		case vm.Endpoint == l.agent.cfg.Core.Endpoint:
			if vm.Leaving {
				l.agent.Leave()
			}
		case vm.Endpoint == "" && !vm.Leaving:
			entries = append(entries, membership.EntryNode{Node: vm.Node, Address: vm.Address, FailureDomain: vm.FailureDomain})
		}
	}
	l.set(ctx, entries)
}

// set keeps streams to a subset of the entries. A stream to any other entry
// stays for as long as it lasts, since the list lags.
func (l *links) set(ctx context.Context, entries []membership.EntryNode) {
	subset := membership.Subset(l.agent.cfg.Core.Endpoint, l.agent.cfg.Core.FailureDomain, entries, l.agent.cfg.Subset)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range l.rows {
		row.setWanted(false)
	}
	for _, entry := range subset {
		if row := l.rows[entry.Node]; row != nil {
			row.redirect(entry)
			continue
		}
		row := &link{links: l, entry: entry, wanted: true}
		l.rows[entry.Node] = row
		l.wg.Add(1)
		go row.run(ctx)
	}
}

// retire removes a link that is not wanted any more.
func (l *links) retire(row *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.isWanted() {
		return false
	}
	delete(l.rows, row.entry.Node)
	return true
}

func (l *links) get(entry wire.NodeID) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rows[entry]
}

// open returns the stream to an entry that is open for frames, or nil.
func (l *links) open(entry wire.NodeID) *transport.EntryStream {
	row := l.get(entry)
	if row == nil {
		return nil
	}
	row.mu.Lock()
	defer row.mu.Unlock()
	if !row.open {
		return nil
	}
	return row.stream
}

// send sends a message without waiting.
func (l *links) send(entry wire.NodeID, msg wire.ToEntry) {
	if row := l.get(entry); row != nil {
		row.send(msg)
	}
}

func (r *link) setWanted(wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = wanted
}

func (r *link) isWanted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted
}

// redirect keeps the link, from the next dial on at the entry's new address.
func (r *link) redirect(entry membership.EntryNode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = true
	r.entry.Address = entry.Address // Node is read without the lock
}

func (r *link) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry.Address
}

// run dials the entry again and again, with jittered growing pauses, until the
// link is not wanted any more or ctx ends.
func (r *link) run(ctx context.Context) {
	defer r.links.wg.Done()
	pause := minRedial
	for ctx.Err() == nil {
		if answered := r.serve(ctx); answered {
			pause = minRedial
		}
		if !r.isWanted() && r.links.retire(r) {
			return
		}
		if !sleep.For(ctx, jittered(pause)) {
			return
		}
		pause = min(2*pause, maxRedial)
	}
}

// serve holds one stream until it ends, and reports whether the entry answered.
func (r *link) serve(ctx context.Context) bool {
	a := r.links.agent
	node := r.entry.Node
	first := make(chan struct{})
	var once sync.Once
	receive := func(msg *wire.ToAgent) {
		once.Do(func() { close(first) })
		a.receive(ctx, node, msg)
	}
	url := transport.URL(r.address(), a.cfg.TLS)
	stream, err := transport.DialEntry(ctx, r.links.client, url, receive)
	if err != nil {
		a.cfg.Log.Error().Str("event", "dial").Str("entry", string(node)).Err(err).Send()
		return false
	}
	r.setStream(stream)
	a.give(ctx, agent.Input{EntryUp: &agent.EntryUp{Entry: node}})
	answered := await(ctx, stream, first)
	stream.Close()
	r.setStream(nil)
	a.give(ctx, agent.Input{EntryDown: &agent.EntryDown{Entry: node}})
	return answered
}

// await returns when the stream or ctx has ended, or when the entry has not
// answered in time. It reports whether the entry answered.
func await(ctx context.Context, stream *transport.EntryStream, first <-chan struct{}) bool {
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	select {
	case <-first:
	case <-stream.Done():
		return false
	case <-ctx.Done():
		return false
	case <-timeout.C:
		return false
	}
	select {
	case <-stream.Done():
	case <-ctx.Done():
	}
	return true
}

func (r *link) setStream(s *transport.EntryStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream = s
	r.open = false
	r.outcomes = nil
}

// send sends a message without waiting. Hello opens the stream for frames; the
// end of an attempt follows its frames.
func (r *link) send(msg wire.ToEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream == nil {
		return
	}
	if msg.Finished != nil || msg.Failed != nil {
		r.sendAfterFrames(msg)
		return
	}
	if r.stream.Send(msg) != nil {
		return // the stream has ended, or ends now
	}
	if msg.Hello != nil && !r.open {
		r.open = true
		go r.links.agent.answers.replay(r.links.agent.context(), r.entry.Node)
	}
}

// sendAfterFrames queues a message behind the frames.
func (r *link) sendAfterFrames(msg wire.ToEntry) {
	r.outcomes = append(r.outcomes, msg)
	if r.flushing {
		return
	}
	r.flushing = true
	go r.flush()
}

func (r *link) flush() {
	for {
		stream, msgs := r.takeOutcomes()
		if len(msgs) == 0 {
			return
		}
		for _, msg := range msgs {
			if stream.SendBulk(r.links.agent.context(), msg) != nil {
				break // the core sends outcomes again on a new stream
			}
		}
	}
}

func (r *link) takeOutcomes() (*transport.EntryStream, []wire.ToEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	msgs := r.outcomes
	r.outcomes = nil
	if r.stream == nil || len(msgs) == 0 {
		r.flushing = false
		return nil, nil
	}
	return r.stream, msgs
}

// jittered returns between half and all of d.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
