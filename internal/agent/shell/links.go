package shell

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"trefoilpath.org/trefoilpath/internal/agent"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/sleep"
	"trefoilpath.org/trefoilpath/internal/transport"
	"trefoilpath.org/trefoilpath/internal/wire"
)

const (
	minRedialPause = 100 * time.Millisecond // between dials of one entry
	maxRedialPause = 5 * time.Second
	// firstMessageTimeout bounds the wait for an entry's first message on a stream.
	firstMessageTimeout = 5 * time.Second
	vmListInterval      = 2 * time.Second
	vmListTimeout       = 2 * time.Second
)

// links keeps one stream to each entry of the agent's subset.
type links struct {
	agent  *Agent
	client *http.Client
	vms    *membership.VMListClient // nil: the entries are fixed

	mu      sync.Mutex
	byEntry map[wire.NodeID]*link
	wg      sync.WaitGroup
}

// link is the stream to one entry.
type link struct {
	links *links
	entry membership.EntryNode

	mu        sync.Mutex
	wanted    bool                   // the entry is in the subset
	stream    *transport.EntryStream // nil: not connected
	helloSent bool                   // on stream; no frame is sent before
	outcomes  []wire.ToEntry         // Finished and Failed to send after the frames already queued
	flushing  bool                   // flush runs
}

func newLinks(a *Agent) *links {
	l := &links{agent: a, byEntry: make(map[wire.NodeID]*link), client: transport.NewHTTPClient(a.cfg.TLS)}
	if a.cfg.VMListURL != "" {
		l.vms = membership.NewVMListClient(a.cfg.VMListURL, &http.Client{Timeout: vmListTimeout, Transport: httpconn.NewStrict(http.DefaultTransport.(*http.Transport).Clone())})
	}
	return l
}

// run maintains the streams until ctx ends.
func (l *links) run(ctx context.Context) error {
	defer l.client.CloseIdleConnections()
	defer l.wg.Wait()
	l.setEntries(ctx, l.agent.cfg.Entries)
	if l.vms == nil {
		<-ctx.Done()
		return nil
	}
	for {
		l.refresh(ctx)
		if !sleep.For(ctx, jittered(vmListInterval)) {
			return nil
		}
	}
}

// refresh updates the entries from the VM list. It starts to drain the agent if
// the list marks its VM as leaving. If the list can't be read, nothing changes.
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
		case vm.Endpoint == "" && !vm.Leaving: // only agents' VMs have an endpoint: this is an entry
			entries = append(entries, membership.EntryNode{Node: vm.Node, Address: vm.Address, FailureDomain: vm.FailureDomain})
		}
	}
	l.setEntries(ctx, entries)
}

// setEntries maintains streams to a subset of the entries. A stream to any other entry
// is kept until it breaks, since the VM list may lack an entry that runs.
func (l *links) setEntries(ctx context.Context, entries []membership.EntryNode) {
	subset := membership.Subset(l.agent.cfg.Core.Endpoint, l.agent.cfg.Core.FailureDomain, entries, l.agent.cfg.Subset)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, lk := range l.byEntry {
		lk.setWanted(false)
	}
	for _, entry := range subset {
		if lk := l.byEntry[entry.Node]; lk != nil {
			lk.wantAt(entry)
			continue
		}
		lk := &link{links: l, entry: entry, wanted: true}
		l.byEntry[entry.Node] = lk
		l.wg.Add(1)
		go lk.run(ctx)
	}
}

// removeUnwanted removes a link that is not wanted any more, and reports whether it did.
func (l *links) removeUnwanted(lk *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lk.isWanted() {
		return false
	}
	delete(l.byEntry, lk.entry.Node)
	return true
}

func (l *links) get(entry wire.NodeID) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byEntry[entry]
}

// openStream returns the stream to an entry if Hello has been sent on it, or nil.
func (l *links) openStream(entry wire.NodeID) *transport.EntryStream {
	lk := l.get(entry)
	if lk == nil {
		return nil
	}
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if !lk.helloSent {
		return nil
	}
	return lk.stream
}

// send sends a message without waiting.
func (l *links) send(entry wire.NodeID, msg wire.ToEntry) {
	if lk := l.get(entry); lk != nil {
		lk.send(msg)
	}
}

func (lk *link) setWanted(wanted bool) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.wanted = wanted
}

func (lk *link) isWanted() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.wanted
}

// wantAt marks the link as wanted and sets the entry's address for later dials.
func (lk *link) wantAt(entry membership.EntryNode) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.wanted = true
	lk.entry.Address = entry.Address // only Address may change: Node is read without the lock
}

func (lk *link) address() string {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.entry.Address
}

// run dials the entry repeatedly with jittered exponential backoff, until the
// link is not wanted any more or ctx ends.
func (lk *link) run(ctx context.Context) {
	defer lk.links.wg.Done()
	pause := minRedialPause
	for ctx.Err() == nil {
		if answered := lk.serve(ctx); answered {
			pause = minRedialPause
		}
		if !lk.isWanted() && lk.links.removeUnwanted(lk) {
			return
		}
		if !sleep.For(ctx, jittered(pause)) {
			return
		}
		pause = min(2*pause, maxRedialPause)
	}
}

// serve holds one stream until it ends, and reports whether the entry answered.
func (lk *link) serve(ctx context.Context) bool {
	a := lk.links.agent
	node := lk.entry.Node
	first := make(chan struct{})
	var once sync.Once
	receive := func(msg *wire.ToAgent) {
		once.Do(func() { close(first) })
		a.receive(ctx, node, msg)
	}
	url := transport.URL(lk.address(), a.cfg.TLS)
	stream, err := transport.DialEntry(ctx, lk.links.client, url, receive)
	if err != nil {
		a.cfg.Log.Error().Str("event", "dial").Str("entry", string(node)).Err(err).Send()
		return false
	}
	lk.setStream(stream)
	a.enqueue(ctx, agent.Input{EntryUp: &agent.EntryUp{Entry: node}})
	answered := awaitEnd(ctx, stream, first)
	stream.Close()
	lk.setStream(nil)
	a.enqueue(ctx, agent.Input{EntryDown: &agent.EntryDown{Entry: node}})
	return answered
}

// awaitEnd returns when the stream or ctx has ended, or when the entry has not
// answered in time. It reports whether the entry answered.
func awaitEnd(ctx context.Context, stream *transport.EntryStream, first <-chan struct{}) bool {
	timeout := time.NewTimer(firstMessageTimeout)
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

func (lk *link) setStream(s *transport.EntryStream) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.stream = s
	lk.helloSent = false
	lk.outcomes = nil
}

// send sends a message without waiting. Frames are sent only after Hello;
// Finished and Failed follow the frames of their attempt.
func (lk *link) send(msg wire.ToEntry) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.stream == nil {
		return
	}
	if msg.Finished != nil || msg.Failed != nil {
		lk.sendAfterFrames(msg)
		return
	}
	if lk.stream.Send(msg) != nil {
		return // the stream has ended, or ends now
	}
	if msg.Hello != nil && !lk.helloSent {
		lk.helloSent = true
		go lk.links.agent.answers.replay(lk.links.agent.runContext(), lk.entry.Node)
	}
}

// sendAfterFrames queues a message behind the frames.
func (lk *link) sendAfterFrames(msg wire.ToEntry) {
	lk.outcomes = append(lk.outcomes, msg)
	if lk.flushing {
		return
	}
	lk.flushing = true
	go lk.flush()
}

func (lk *link) flush() {
	for {
		stream, msgs := lk.takeOutcomes()
		if len(msgs) == 0 {
			return
		}
		for _, msg := range msgs {
			if stream.SendBulk(lk.links.agent.runContext(), msg) != nil {
				break // the core resends Finished and Failed over a new stream
			}
		}
	}
}

func (lk *link) takeOutcomes() (*transport.EntryStream, []wire.ToEntry) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	msgs := lk.outcomes
	lk.outcomes = nil
	if lk.stream == nil || len(msgs) == 0 {
		lk.flushing = false
		return nil, nil
	}
	return lk.stream, msgs
}

// jittered returns a random duration from d/2 to d.
func jittered(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
