package shell

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/storecopy"
	"trefoilpath.org/trefoilpath/internal/upstream"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// Config connects a gateway to its surroundings.
type Config struct {
	Settings   Settings
	Translator Translator
	Decoder    Decoder
	Store      store.Client
	Log        io.Writer
	// Reload reads the settings again.
	Reload func() (Settings, error)
	// SettingsPath is the file that Reload reads; a change of it is noticed without
	// a signal. Empty: none.
	SettingsPath string
}

// Gateway is a running gateway.
type Gateway struct {
	cfg     Config
	start   time.Time
	log     zerolog.Logger
	lines   *boundedWriter
	meters  *meters
	pool    *upstream.Pool
	conns   *callerConns
	peers   *peerSocket
	config  *storecopy.Syncer
	servers *storecopy.Syncer
	table   atomic.Pointer[route.Table]
	ready   atomic.Bool
	leaving atomic.Bool
	lastID  atomic.Uint64
	newest  atomic.Pointer[netip.AddrPort] // the peer with the newest copies

	versionsMu sync.Mutex
	versions   gateway.Versions

	mu        sync.Mutex // guards what follows
	core      *gateway.Core
	exchanges map[gateway.RequestID]*exchange
	wake      *time.Timer
	failed    chan error
}

// New returns a gateway that does nothing until Run.
func New(cfg Config) *Gateway {
	s := &cfg.Settings
	g := &Gateway{
		cfg: cfg, start: time.Now(), meters: newMeters(), pool: upstream.NewPool(), conns: newCallerConns(),
		lines:     newBoundedWriter(cfg.Log),
		exchanges: make(map[gateway.RequestID]*exchange),
		failed:    make(chan error, 1),
	}
	g.log = newLogger(g.lines, s.Node)
	g.core = gateway.New(gateway.Config{
		Incarnation: uint64(g.start.UnixNano()), Addr: s.PeerAddr, Seeds: s.Seeds,
		FailureDomain: wire.FailureDomain(s.FailureDomain),
		Retry:         retrybudget.Config{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		Place:         gateway.DefaultPlace(),
	})
	return g
}

// now returns the time since the start on the monotonic clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// tick hands inputs to the core and carries out what it answers.
func (g *Gateway) tick(in ...gateway.Input) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.recoverViolation()
	for _, out := range g.core.Tick(g.now(), in...) {
		g.carryOut(&out)
	}
	if g.wake != nil {
		g.wake.Reset(max(g.core.Next()-g.now(), 0))
	}
}

// recoverViolation stops the process after a broken invariant.
func (g *Gateway) recoverViolation() {
	v := invariant.Recover(recover())
	if v == nil {
		return
	}
	g.log.Error().Str("event", "invariant-violated").Str("detail", v.Error()).Send()
	select {
	case g.failed <- errors.WithStack(v):
	default:
	}
}

// carryOut carries out one output. It never blocks.
func (g *Gateway) carryOut(out *gateway.Output) {
	switch {
	case out.Dispatch != nil:
		if x := g.exchanges[out.Dispatch.ID]; x != nil {
			x.dispatch <- out.Dispatch
		}
	case out.Finish != nil:
		if x := g.exchanges[out.Finish.ID]; x != nil {
			delete(g.exchanges, out.Finish.ID)
			x.finish <- out.Finish
			x.cancelAttempt(0)
		}
	case out.Cancel != nil:
		if x := g.exchanges[out.Cancel.ID]; x != nil {
			x.cancelAttempt(out.Cancel.Attempt)
		}
	case out.Probe != nil:
		go g.probe(*out.Probe)
	case out.ToPeer != nil:
		g.peers.send(out.ToPeer)
	case out.Newer != nil:
		g.newest.Store(&out.Newer.Peer)
		g.config.Announced(out.Newer.Versions.Config)
		g.servers.Announced(out.Newer.Versions.Registrations)
	case out.Ready != nil:
		g.ready.Store(out.Ready.OK)
	case out.Log != nil:
		g.logEvent(out.Log)
	}
}

// drive ticks the core when one of its timers is due.
func (g *Gateway) drive(ctx context.Context) {
	g.mu.Lock()
	g.wake = time.NewTimer(0)
	timer := g.wake
	g.mu.Unlock()
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			g.tick()
		}
	}
}

// register adds an exchange and gives it an ID.
func (g *Gateway) register(x *exchange) {
	x.id = gateway.RequestID(g.lastID.Add(1))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges[x.id] = x
}

// unregister forgets an exchange that ends without a verdict.
func (g *Gateway) unregister(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exchanges, x.id)
}
