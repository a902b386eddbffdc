package shell

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"trefoilpath.org/trefoilpath/internal/gateway"
)

const (
	// headerTimeout bounds the reading of a request's head, headerBytes its size, and
	// idleTimeout the wait for the next request, whatever the configuration says,
	// and before there is one. They are above the platform's usual limits, which
	// callerConns and admit keep.
	headerTimeout = 6 * time.Second
	headerBytes   = 32 << 10
	idleTimeout   = 20 * time.Second
	// memoryPart of the VM's memory is the target of the garbage collector.
	memoryPart = 0.6
	// balancerLag is how long callers still arrive after this process has said
	// that it isn't ready: two questions of the balancer, one a second, and a
	// request on a connection that was forwarded just before.
	balancerLag = 2600 * time.Millisecond
	// graceMargin is left of the grace when the last requests are cut off.
	graceMargin = 400 * time.Millisecond
	// housekeeping is how often idle connections and the clocks are looked at.
	housekeeping = 250 * time.Millisecond
	// suspended is the difference of the clocks that means that the VM stood still.
	suspended = 200 * time.Millisecond
)

// Run serves until SIGTERM and the end of all requests, or until the grace is
// over. It returns early with an error if the process can't go on.
func (g *Gateway) Run(ctx context.Context) error {
	s := &g.cfg.Settings
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	}
	defer g.lines.close()
	g.log.Info().Str("event", "start").Int("pid", os.Getpid()).Str("callers", s.CallerAddr.String()).
		Str("gateways", s.PeerAddr.String()).Str("store", s.StoreAddr).Int("seeds", len(s.Seeds)).Send()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.newSyncers()
	var err error
	if g.peers, err = listenPeers(s.PeerAddr, g.peerFailed); err != nil {
		return err
	}
	servers, err := g.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){g.drive, g.receive, g.config.Run, g.servers.Run, g.housekeep, g.reloads} {
		wg.Go(func() { loop(ctx) })
	}
	err = g.untilStopped(ctx, servers)
	cancel()
	g.peers.conn.Close()
	wg.Wait()
	g.log.Info().Str("event", "stop").Err(err).Send()
	return err
}

// listen opens the process's ports and serves them.
func (g *Gateway) listen() ([]*http.Server, error) {
	s := &g.cfg.Settings
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", g.serveReady)
	peers := http.NewServeMux()
	peers.HandleFunc("GET "+copyPath, g.serveCopy)
	ports := []struct {
		addr    string
		handler http.Handler
	}{
		{s.CallerAddr.String(), g},
		{s.ReadyAddr.String(), ready},
		{s.PeerAddr.String(), peers},
	}
	if s.MetricsAddr.IsValid() {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.serveMetrics(w) })
		mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { g.serveDump(w) })
		ports = append(ports, struct {
			addr    string
			handler http.Handler
		}{s.MetricsAddr.String(), mux})
	}
	var servers []*http.Server
	for _, p := range ports {
		l, err := net.Listen("tcp4", p.addr)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		server := g.newServer(p.handler)
		if len(servers) == 0 {
			server.ConnState = g.conns.state // the port for callers
		}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(l); err != http.ErrServerClosed {
				g.failed <- errors.Wrap(err, "serve")
			}
		}()
	}
	return servers, nil
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// untilStopped waits for SIGTERM, or a failure, and shuts down.
func (g *Gateway) untilStopped(ctx context.Context, servers []*http.Server) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(stop)
	select {
	case <-ctx.Done():
		return g.shutDown(servers, 0)
	case err := <-g.failed:
		return err
	case <-stop:
	}
	return g.shutDown(servers, min(balancerLag, g.cfg.Settings.Grace/3))
}

// shutDown fails readiness at once, serves what still arrives until the balancer
// has noticed, then closes idle connections and waits for the requests in flight.
func (g *Gateway) shutDown(servers []*http.Server, lag time.Duration) error {
	began := time.Now()
	g.leaving.Store(true)
	g.tick(gateway.Input{Shutdown: &gateway.Shutdown{}})
	g.log.Info().Str("event", "stopping").Int("in_flight", g.inFlight()).Send()
	time.Sleep(lag)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.cfg.Settings.Grace-graceMargin))
	defer cancel()
	err := servers[0].Shutdown(ctx)
	if err != nil {
		g.log.Warn().Str("event", "grace-over").Int("in_flight", g.inFlight()).Send()
	}
	for _, s := range servers[1:] {
		if err := s.Close(); err != nil {
			g.log.Warn().Str("event", "close-failed").Err(err).Send()
		}
	}
	return nil
}

func (g *Gateway) inFlight() int { return ask(g, (*gateway.Core).InFlight) }

// housekeep does what is due at intervals.
func (g *Gateway) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	lag := bootLag()
	next := time.Now().Add(logPeriod)
	file := newWatchedFile(g.cfg.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.pool.Sweep(now)
			g.sweepCallers(now)
			if file.changed() {
				g.reload("changed")
			}
			if l := bootLag(); l-lag > suspended {
				g.log.Warn().Str("event", "resumed").Dur("suspended_ms", l-lag).Send()
				g.config.Reconcile()
				g.servers.Reconcile()
				lag = l
			}
			if now.After(next) {
				next = now.Add(logPeriod)
				g.tellDropped()
			}
		}
	}
}

// sweepCallers closes callers' connections that wait beyond the configuration's limits.
func (g *Gateway) sweepCallers(now time.Time) {
	table := g.table.Load()
	if table == nil {
		return
	}
	if n := g.conns.sweep(now, table.Limits()); n > 0 {
		g.log.Info().Str("event", "caller-connections-closed").Int("count", n).
			Str("detail", "no request within the configuration's limits").Send()
	}
}

func (g *Gateway) tellDropped() {
	if n := g.lines.refill(); n > 0 {
		g.meters.logDrops.Inc(int64(n))
		g.log.Warn().Str("event", "log-lines-dropped").Uint64("count", n).Send()
	}
}

// bootLag returns how far the clock that counts suspension is ahead of the one
// that does not.
func bootLag() time.Duration {
	var boot, mono unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono) != nil {
		return 0 // without the clocks no suspension is noticed; the listings go on
	}
	return time.Duration(boot.Nano() - mono.Nano())
}

// reloads reads the settings again on SIGHUP; housekeep does when the file has
// changed. Requests go on.
func (g *Gateway) reloads(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			g.reload("signal")
		}
	}
}

func (g *Gateway) reload(why string) {
	s, err := g.cfg.Reload()
	if err != nil {
		g.log.Error().Str("event", "reload-failed").Err(err).Send()
		return
	}
	g.log.Info().Str("event", "reload").Str("detail", why).Int("seeds", len(s.Seeds)).Send()
	g.tick(gateway.Input{Seeds: s.Seeds})
}
