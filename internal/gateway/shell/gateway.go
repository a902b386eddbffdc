package shell

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/bytebudget"
	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/invariant"
	"trefoilpath.org/trefoilpath/internal/retrybudget"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/storecopy"
	"trefoilpath.org/trefoilpath/internal/upstream"
	"trefoilpath.org/trefoilpath/internal/wire"
)

// idleFraction of Settings.Descriptors are at most idle connections to endpoints.
const idleFraction = 4

// Config holds the settings and dependencies of a gateway.
type Config struct {
	Settings   Settings
	Translator Translator
	Decoder    Decoder
	Store      store.Client
	Log        io.Writer
	// Reload reads the settings again.
	Reload func() (Settings, error)
	// SettingsPath is the file that Reload reads. A change of the file triggers a
	// reload without a signal. If it is empty, no file is watched.
	SettingsPath string
	// Disabled are decisions that are switched off for a measurement.
	Disabled gateway.Mechanisms
}

// Gateway is a gateway process: the core and the connections that it uses.
type Gateway struct {
	cfg                Config
	start              time.Time
	log                zerolog.Logger
	logLines           *boundedWriter
	meters             *meters
	pool               *upstream.Pool
	conns              *httpconn.Tracker   // of callers
	memory             *bytebudget.Account // of what callers and endpoints make the process hold
	peers              *peerSocket
	configSyncer       *storecopy.Syncer
	registrationSyncer *storecopy.Syncer
	evacuationSyncer   *storecopy.Syncer           // nil: failure domains can't be taken out of use
	table              atomic.Pointer[route.Table] // active configuration; nil: none yet
	ready              atomic.Bool
	leaving            atomic.Bool  // shutting down
	exitAt             atomic.Int64 // time on the gateway's clock at which the process exits at the latest, set once it only takes requests that end before; 0: not so
	lastRequestID      atomic.Uint64
	releasing          atomic.Int64  // attempts whose reservations are being released
	copyServing        chan struct{} // holds an element for each copy that is being sent to a peer

	unusableRegistrations unusablePairs
	unusableEvacuations   unusablePairs

	versionsMu sync.Mutex
	versions   gateway.Versions // of the cached copies

	newest newestPeers

	mu        sync.Mutex // guards core, exchanges and coreTimer
	core      *gateway.Core
	exchanges map[gateway.RequestID]*exchange
	coreTimer *time.Timer // fires at the core's next deadline; nil before runTimers
	fatal     chan error  // errors that stop the process
}

// New returns a gateway that does nothing until Run.
func New(cfg Config) *Gateway {
	s := &cfg.Settings
	g := &Gateway{
		cfg: cfg, start: time.Now(), meters: newMeters(), pool: upstream.NewPool(), conns: httpconn.NewTracker(),
		memory:    bytebudget.New(bytebudget.Capacity(s.MemoryBytes)),
		logLines:  newBoundedWriter(cfg.Log),
		exchanges: make(map[gateway.RequestID]*exchange),
		fatal:     make(chan error, 1),
	}
	g.conns.SetLimits(httpconn.Limits{
		Connections: httpconn.MaxConnections(s.Descriptors, s.MemoryBytes), Memory: g.memory, WriteTimeout: writeTimeout,
	})
	g.pool.SetMaxIdle(s.Descriptors / idleFraction)
	g.log = newLogger(g.logLines, s.Node)
	g.core = gateway.New(gateway.Config{
		Incarnation: uint64(g.start.UnixNano()), Addr: s.PeerAddr, Seeds: s.Seeds,
		FailureDomain: wire.FailureDomain(s.FailureDomain),
		Retry:         retrybudget.Config{Ratio: s.RetryRatio, FleetRetriesPerWindow: s.RetrySlack, Window: s.RetryWindow},
		Cold:          gateway.ColdBounds{Ratio: s.ColdRatio, Slack: s.ColdSlack},
		Placement:     gateway.DefaultPlacement(),
		Disabled:      cfg.Disabled,
		Evacuations:   s.Evacuations,
		Regions:       s.Regions,
	})
	return g
}

// now returns the time since the start of the gateway on the monotonic clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// tick passes inputs to the core, carries out its outputs and sets the timer for
// the core's next deadline.
func (g *Gateway) tick(in ...gateway.Input) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.recoverViolation()
	for i := range in {
		if in[i].Config != nil {
			// Requests are admitted by it from now on; they come to the core after it.
			g.table.Store(in[i].Config)
		}
	}
	for _, out := range g.core.Tick(g.now(), in...) {
		g.carryOut(&out)
	}
	if g.coreTimer != nil {
		g.coreTimer.Reset(max(g.core.Next()-g.now(), 0))
	}
}

// recoverViolation is deferred around the core. After a violated invariant it makes
// Run return an error, which stops the process.
func (g *Gateway) recoverViolation() {
	v := invariant.Recover(recover())
	if v == nil {
		return
	}
	g.log.Error().Str("event", "invariant-violated").Str("detail", v.Error()).Send()
	select {
	case g.fatal <- errors.WithStack(v):
	default:
	}
}

// carryOut executes one output of the core. It never blocks.
func (g *Gateway) carryOut(out *gateway.Output) {
	switch {
	case out.Dispatch != nil:
		if x := g.exchanges[out.Dispatch.ID]; x != nil {
			x.startAttempt(out.Dispatch)
		}
	case out.Finish != nil:
		if x := g.exchanges[out.Finish.ID]; x != nil {
			delete(g.exchanges, out.Finish.ID)
			x.finish <- out.Finish
			x.cancelAttempts()
		}
	case out.Cancel != nil:
		if x := g.exchanges[out.Cancel.ID]; x != nil {
			x.cancelAttempt(out.Cancel.Attempt)
		}
	case out.Probe != nil:
		go g.probe(*out.Probe)
	case out.Check != nil:
		go g.checkInstance(*out.Check)
	case out.ToPeer != nil:
		g.peers.send(out.ToPeer)
	case out.Newer != nil:
		g.newest.add(out.Newer.Peer, out.Newer.Versions)
		active := out.Newer.Versions.Active
		g.configSyncer.Announced(out.Newer.Versions.Config, func() bool { return active > g.activeVersion() })
		g.registrationSyncer.Announced(out.Newer.Versions.Registrations, func() bool { return false })
		if g.evacuationSyncer != nil {
			g.evacuationSyncer.Announced(out.Newer.Versions.Evacuations, func() bool { return false })
		}
	case out.Ready != nil:
		g.ready.Store(out.Ready.OK)
	case out.Measured != nil:
		g.meters.firstEventError.Update(out.Measured.Error.Milliseconds())
	case out.Log != nil:
		g.logEvent(out.Log)
	}
}

// activeVersion returns the version of the configuration in force; 0: none.
func (g *Gateway) activeVersion() uint64 {
	if table := g.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// runTimers ticks the core when its next deadline is due, until ctx ends.
func (g *Gateway) runTimers(ctx context.Context) {
	g.mu.Lock()
	g.coreTimer = time.NewTimer(0)
	timer := g.coreTimer
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
	x.id = gateway.RequestID(g.lastRequestID.Add(1))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges[x.id] = x
}

// unregister removes an exchange that ends without a verdict.
func (g *Gateway) unregister(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exchanges, x.id)
}
